package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import mothwing.member.Claim;
import mothwing.member.Message;
import mothwing.member.State;
import mothwing.peer.CodecAccess;
import org.junit.jupiter.api.Test;

/** Each kind of message between servers as recorded: written again to the byte, and read again. */
class PeerMessageTest {
  private static final Claim SELF =
      new Claim("cairo-1", 0x0123456789abcdefL, "10.1.0.7:7946", "west", 0, State.ALIVE, "cairo-1");
  private static final List<Claim> CLAIMS =
      List.of(
          new Claim("giza-2", 1, "[2001:db8::7]:7946", "", 127, State.ALIVE, "giza-2"),
          new Claim("luxor", 128, "10.1.0.9:1", "west", 128, State.SUSPECT, "cairo-1"),
          new Claim("n".repeat(31), 65_535, "h:2", "z".repeat(31), 65_536, State.DEAD, "luxor"),
          new Claim("n".repeat(32), 1L << 32, "h:3", "z", 1L << 33, State.LEFT, ""),
          new Claim(
              "\u0645\u0635\u0631", Long.MAX_VALUE, "h:4", "", Long.MAX_VALUE, State.DEAD, "x"));

  private static void assertRecorded(String name, Message message) throws IOException {
    HexFile.assertRecorded("peer/" + name, CodecAccess.bytes(message));
    assertEquals(message, CodecAccess.message(HexFile.read("peer/" + name)));
  }

  private static Message message(Message.Kind kind, long seq, String about, List<Claim> claims) {
    return new Message("cairo", kind, seq, about, SELF, claims);
  }

  @Test
  void ping() throws IOException {
    assertRecorded("ping", message(Message.Kind.PING, 0, "", List.of()));
    assertRecorded("ping-with-claims", message(Message.Kind.PING, 300, "", CLAIMS));
  }

  @Test
  void ack() throws IOException {
    assertRecorded("ack", message(Message.Kind.ACK, 127, "", CLAIMS.subList(0, 1)));
  }

  @Test
  void ask() throws IOException {
    assertRecorded("ask", message(Message.Kind.ASK, 128, "giza-2", CLAIMS.subList(1, 2)));
  }

  @Test
  void nack() throws IOException {
    assertRecorded("nack", message(Message.Kind.NACK, Long.MAX_VALUE, "", List.of()));
  }

  @Test
  void sync() throws IOException {
    assertRecorded("sync", message(Message.Kind.SYNC, 70_000, "", CLAIMS));
  }

  @Test
  void syncedWithMoreClaimsThanAShortArrayHas() throws IOException {
    List<Claim> sixteen =
        java.util.stream.IntStream.range(0, 16)
            .mapToObj(i -> new Claim("m" + i, i, "h:" + i, "z", i, State.ALIVE, "m" + i))
            .toList();
    assertRecorded("synced", message(Message.Kind.SYNCED, 5_000_000_000L, "", sixteen));
  }

  @Test
  void passesOverFieldsOfALaterProgram() throws IOException {
    Message expected = message(Message.Kind.ACK, 127, "", CLAIMS.subList(0, 1));
    assertEquals(expected, CodecAccess.message(HexFile.read("peer/ack-with-unknown-fields")));
  }

  private static void assertDropped(String code, byte[] bytes) {
    assertEquals(
        code, assertThrows(IOException.class, () -> CodecAccess.message(bytes)).getMessage());
  }

  @Test
  void saysWhyDamagedBytesAreNoMessage() throws IOException {
    byte[] ack = HexFile.read("peer/ack");
    for (int length = 0; length < ack.length; length++) {
      assertDropped(length < 7 ? "not-ours" : "checksum", Arrays.copyOf(ack, length));
    }
    for (int at = 0; at < ack.length; at++) {
      byte[] flipped = ack.clone();
      flipped[at] ^= 1;
      assertDropped(at < 2 ? "not-ours" : "checksum", flipped);
    }
    assertDropped("newer-version", HexFile.read("peer/newer-version"));
    assertDropped("malformed", HexFile.read("peer/unknown-kind"));
    assertDropped("malformed", HexFile.read("peer/without-cluster"));
    assertDropped("malformed", HexFile.read("peer/bytes-behind"));
  }
}
