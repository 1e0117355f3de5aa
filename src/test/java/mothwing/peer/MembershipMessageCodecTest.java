package mothwing.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import mothwing.membership.MemberRecord;
import mothwing.membership.MemberState;
import mothwing.membership.MembershipMessage;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encoding and decoding of intact, damaged and newer messages. */
class MembershipMessageCodecTest {
  private static MemberRecord randomRecord(Random random) {
    int nameLength = random.nextInt(31) + 1;
    return new MemberRecord(
        "n".repeat(nameLength),
        random.nextLong() >>> random.nextInt(64) & Long.MAX_VALUE,
        "127.0.0.1:" + random.nextInt(65_536),
        "z".repeat(random.nextInt(31) + 1),
        random.nextLong() >>> (1 + random.nextInt(62)),
        MemberState.values()[random.nextInt(MemberState.values().length)],
        "b".repeat(nameLength));
  }

  private static MembershipMessage randomMessage(long seed) {
    Random random = new Random(seed);
    List<MemberRecord> records = new ArrayList<>();
    for (int i = random.nextInt(20); i > 0; i--) {
      records.add(randomRecord(random));
    }
    return new MembershipMessage(
        "cairo",
        MembershipMessage.Kind.values()[random.nextInt(MembershipMessage.Kind.values().length)],
        random.nextLong() >>> 1,
        random.nextBoolean() ? "" : "s1",
        randomRecord(random),
        records);
  }

  /** Guards against a datagram that is larger than the bound by which gossip is added to it. */
  @Property(seed = "1764630001", tries = 500)
  void decodesEncodedMessageThatStaysWithinItsSizeBound(@ForAll long seed) throws IOException {
    MembershipMessage message = randomMessage(seed);
    byte[] encoded = MembershipMessageCodec.encode(message);
    assertEquals(message, MembershipMessageCodec.decode(encoded));
    assertTrue(
        encoded.length <= message.maxEncodedBytes(),
        encoded.length + " bytes, bound " + message.maxEncodedBytes());
  }

  @Property(seed = "1764630002", tries = 500)
  void rejectsDamagedAndTruncatedMessages(@ForAll long seed, @ForAll long damageSeed)
      throws IOException {
    byte[] encoded = MembershipMessageCodec.encode(randomMessage(seed));
    Random random = new Random(damageSeed);
    byte[] flipped = encoded.clone();
    flipped[random.nextInt(encoded.length)] ^= (byte) (1 << random.nextInt(8));
    assertThrows(
        MembershipMessageCodec.DecodeException.class, () -> MembershipMessageCodec.decode(flipped));
    assertThrows(
        MembershipMessageCodec.DecodeException.class,
        () ->
            MembershipMessageCodec.decode(Arrays.copyOf(encoded, random.nextInt(encoded.length))));
    byte[] noise = new byte[random.nextInt(200)];
    random.nextBytes(noise);
    assertThrows(
        MembershipMessageCodec.DecodeException.class, () -> MembershipMessageCodec.decode(noise));
    assertThrows(
        MembershipMessageCodec.DecodeException.class,
        () -> MembershipMessageCodec.decode(withHeader(noise, 1)));
  }

  /** Puts a header with a valid checksum before a map. */
  private static byte[] withHeader(byte[] map, int version) {
    byte[] encoded = new byte[MembershipMessageCodec.HEADER_BYTES + map.length];
    encoded[0] = 'm';
    encoded[1] = 'P';
    encoded[2] = (byte) version;
    System.arraycopy(map, 0, encoded, MembershipMessageCodec.HEADER_BYTES, map.length);
    CRC32C crc = new CRC32C();
    crc.update(encoded, 0, 3);
    crc.update(map, 0, map.length);
    for (int i = 0; i < 4; i++) {
      encoded[3 + i] = (byte) (crc.getValue() >> ((3 - i) * 8));
    }
    return encoded;
  }

  /** Guards against a release that rejects messages with fields added by a later one. */
  @Example
  void skipsUnknownFieldsAndRejectsNewerVersion() throws IOException {
    byte[] encoded = MembershipMessageCodec.encode(randomMessage(7));
    byte[] map = Arrays.copyOfRange(encoded, MembershipMessageCodec.HEADER_BYTES, encoded.length);
    assertArrayEquals(encoded, withHeader(map, 1));
    try (MessageBufferPacker unknownField = MessagePack.newDefaultBufferPacker()) {
      unknownField
          .packInt(99)
          .packMapHeader(1)
          .packString("later")
          .packArrayHeader(2)
          .packNil()
          .packDouble(1.5);
      byte[] suffix = unknownField.toByteArray();
      byte[] extended = Arrays.copyOf(map, map.length + suffix.length);
      System.arraycopy(suffix, 0, extended, map.length, suffix.length);
      extended[0]++; // the map header counts one more pair
      assertEquals(randomMessage(7), MembershipMessageCodec.decode(withHeader(extended, 1)));
    }
    assertEquals(
        "newer-version",
        assertThrows(
                MembershipMessageCodec.DecodeException.class,
                () -> MembershipMessageCodec.decode(withHeader(map, 2)))
            .getMessage());
  }
}
