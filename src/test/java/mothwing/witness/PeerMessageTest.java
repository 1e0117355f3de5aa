package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import mothwing.membership.MemberRecord;
import mothwing.membership.MemberState;
import mothwing.membership.MembershipMessage;
import mothwing.peer.MembershipMessageCodecAccess;
import org.junit.jupiter.api.Test;

/**
 * Checks each kind of message between fleet members against recordings: it is encoded byte for byte
 * as recorded, and the recorded bytes are decoded.
 */
class PeerMessageTest {
  private static final MemberRecord SELF =
      new MemberRecord(
          "cairo-1", 0x0123456789abcdefL, "10.1.0.7:7946", "west", 0, MemberState.ALIVE, "cairo-1");
  private static final List<MemberRecord> RECORDS =
      List.of(
          new MemberRecord("giza-2", 1, "[2001:db8::7]:7946", "", 127, MemberState.ALIVE, "giza-2"),
          new MemberRecord("luxor", 128, "10.1.0.9:1", "west", 128, MemberState.SUSPECT, "cairo-1"),
          new MemberRecord(
              "n".repeat(31), 65_535, "h:2", "z".repeat(31), 65_536, MemberState.DEAD, "luxor"),
          new MemberRecord("n".repeat(32), 1L << 32, "h:3", "z", 1L << 33, MemberState.LEFT, ""),
          new MemberRecord(
              "\u0645\u0635\u0631",
              Long.MAX_VALUE,
              "h:4",
              "",
              Long.MAX_VALUE,
              MemberState.DEAD,
              "x"));

  private static void assertRecorded(String name, MembershipMessage message) throws IOException {
    HexFile.assertRecorded("peer/" + name, MembershipMessageCodecAccess.encode(message));
    assertEquals(message, MembershipMessageCodecAccess.decode(HexFile.read("peer/" + name)));
  }

  private static MembershipMessage message(
      MembershipMessage.Kind kind, long seq, String target, List<MemberRecord> records) {
    return new MembershipMessage("cairo", kind, seq, target, SELF, records);
  }

  @Test
  void encodesAndDecodesPing() throws IOException {
    assertRecorded("ping", message(MembershipMessage.Kind.PING, 0, "", List.of()));
    assertRecorded("ping-with-claims", message(MembershipMessage.Kind.PING, 300, "", RECORDS));
  }

  @Test
  void encodesAndDecodesAck() throws IOException {
    assertRecorded("ack", message(MembershipMessage.Kind.ACK, 127, "", RECORDS.subList(0, 1)));
  }

  @Test
  void encodesAndDecodesPingRequest() throws IOException {
    assertRecorded(
        "ask", message(MembershipMessage.Kind.PING_REQUEST, 128, "giza-2", RECORDS.subList(1, 2)));
  }

  @Test
  void encodesAndDecodesNack() throws IOException {
    assertRecorded("nack", message(MembershipMessage.Kind.NACK, Long.MAX_VALUE, "", List.of()));
  }

  @Test
  void encodesAndDecodesSyncRequest() throws IOException {
    assertRecorded("sync", message(MembershipMessage.Kind.SYNC_REQUEST, 70_000, "", RECORDS));
  }

  @Test
  void encodesAndDecodesSyncResponseWithMoreRecordsThanAShortArrayHolds() throws IOException {
    List<MemberRecord> sixteenRecords =
        java.util.stream.IntStream.range(0, 16)
            .mapToObj(
                i -> new MemberRecord("m" + i, i, "h:" + i, "z", i, MemberState.ALIVE, "m" + i))
            .toList();
    assertRecorded(
        "synced",
        message(MembershipMessage.Kind.SYNC_RESPONSE, 5_000_000_000L, "", sixteenRecords));
  }

  @Test
  void ignoresFieldsOfANewerVersion() throws IOException {
    MembershipMessage expected =
        message(MembershipMessage.Kind.ACK, 127, "", RECORDS.subList(0, 1));
    assertEquals(
        expected,
        MembershipMessageCodecAccess.decode(HexFile.read("peer/ack-with-unknown-fields")));
  }

  private static void assertRejected(String code, byte[] bytes) {
    assertEquals(
        code,
        assertThrows(IOException.class, () -> MembershipMessageCodecAccess.decode(bytes))
            .getMessage());
  }

  @Test
  void rejectsDamagedBytesWithTheirReason() throws IOException {
    byte[] ack = HexFile.read("peer/ack");
    for (int length = 0; length < ack.length; length++) {
      assertRejected(length < 7 ? "not-ours" : "checksum", Arrays.copyOf(ack, length));
    }
    for (int offset = 0; offset < ack.length; offset++) {
      byte[] flipped = ack.clone();
      flipped[offset] ^= 1;
      assertRejected(offset < 2 ? "not-ours" : "checksum", flipped);
    }
    assertRejected("newer-version", HexFile.read("peer/newer-version"));
    assertRejected("malformed", HexFile.read("peer/unknown-kind"));
    assertRejected("malformed", HexFile.read("peer/without-cluster"));
    assertRejected("malformed", HexFile.read("peer/bytes-behind"));
  }
}
