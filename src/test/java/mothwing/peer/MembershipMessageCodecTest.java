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

/** Messages as bytes, whole, damaged and of another version. */
class MembershipMessageCodecTest {
  private static MemberRecord claim(Random random) {
    int long31 = random.nextInt(31) + 1;
    return new MemberRecord(
        "n".repeat(long31),
        random.nextLong() >>> random.nextInt(64) & Long.MAX_VALUE,
        "127.0.0.1:" + random.nextInt(65_536),
        "z".repeat(random.nextInt(31) + 1),
        random.nextLong() >>> (1 + random.nextInt(62)),
        MemberState.values()[random.nextInt(MemberState.values().length)],
        "b".repeat(long31));
  }

  private static MembershipMessage message(long seed) {
    Random random = new Random(seed);
    List<MemberRecord> claims = new ArrayList<>();
    for (int i = random.nextInt(20); i > 0; i--) {
      claims.add(claim(random));
    }
    return new MembershipMessage(
        "cairo",
        MembershipMessage.Kind.values()[random.nextInt(MembershipMessage.Kind.values().length)],
        random.nextLong() >>> 1,
        random.nextBoolean() ? "" : "s1",
        claim(random),
        claims);
  }

  /** Guards against a datagram that is larger than the core took it for. */
  @Property(seed = "1764630001", tries = 500)
  void comesBackAsItWasAndIsNoLargerThanSaid(@ForAll long seed) throws IOException {
    MembershipMessage message = message(seed);
    byte[] bytes = MembershipMessageCodec.encode(message);
    assertEquals(message, MembershipMessageCodec.decode(bytes));
    assertTrue(
        bytes.length <= message.maxEncodedBytes(),
        bytes.length + " bytes, said " + message.maxEncodedBytes());
  }

  @Property(seed = "1764630002", tries = 500)
  void whatIsDamagedOrCutIsNoMessage(@ForAll long seed, @ForAll long other) throws IOException {
    byte[] bytes = MembershipMessageCodec.encode(message(seed));
    Random random = new Random(other);
    byte[] flipped = bytes.clone();
    flipped[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
    assertThrows(MembershipMessageCodec.Bad.class, () -> MembershipMessageCodec.decode(flipped));
    assertThrows(
        MembershipMessageCodec.Bad.class,
        () -> MembershipMessageCodec.decode(Arrays.copyOf(bytes, random.nextInt(bytes.length))));
    byte[] noise = new byte[random.nextInt(200)];
    random.nextBytes(noise);
    assertThrows(MembershipMessageCodec.Bad.class, () -> MembershipMessageCodec.decode(noise));
    assertThrows(
        MembershipMessageCodec.Bad.class, () -> MembershipMessageCodec.decode(sealed(noise, 1)));
  }

  /** Bytes as a map that is whole by its checksum. */
  private static byte[] sealed(byte[] map, int version) {
    byte[] all = new byte[MembershipMessageCodec.HEAD + map.length];
    all[0] = 'm';
    all[1] = 'P';
    all[2] = (byte) version;
    System.arraycopy(map, 0, all, MembershipMessageCodec.HEAD, map.length);
    CRC32C crc = new CRC32C();
    crc.update(all, 0, 3);
    crc.update(map, 0, map.length);
    for (int i = 0; i < 4; i++) {
      all[3 + i] = (byte) (crc.getValue() >> ((3 - i) * 8));
    }
    return all;
  }

  /** A later program may say more: what is not known is passed over. */
  @Example
  void whatIsNotKnownIsPassedOver() throws IOException {
    byte[] bytes = MembershipMessageCodec.encode(message(7));
    byte[] map = Arrays.copyOfRange(bytes, MembershipMessageCodec.HEAD, bytes.length);
    assertArrayEquals(bytes, sealed(map, 1));
    try (MessageBufferPacker more = MessagePack.newDefaultBufferPacker()) {
      more.packInt(99)
          .packMapHeader(1)
          .packString("later")
          .packArrayHeader(2)
          .packNil()
          .packDouble(1.5);
      byte[] tail = more.toByteArray();
      byte[] longer = Arrays.copyOf(map, map.length + tail.length);
      System.arraycopy(tail, 0, longer, map.length, tail.length);
      longer[0]++; // one more pair
      assertEquals(message(7), MembershipMessageCodec.decode(sealed(longer, 1)));
    }
    assertEquals(
        "newer-version",
        assertThrows(
                MembershipMessageCodec.Bad.class,
                () -> MembershipMessageCodec.decode(sealed(map, 2)))
            .getMessage());
  }
}
