package mothwing.dns.zone;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The records of one name and type (RFC 2181 section 5): one TTL, and data without duplicates in
 * the order of their bytes. The data lie packed in one array, each behind its length in two bytes,
 * as they stand in a message.
 */
public final class RRset {
  /** Most bytes of the data of all records: what fits into one message. */
  public static final int MOST_BYTES = 60_000;

  private final int type;
  private final int ttl;
  private final byte[] packed;

  private RRset(int type, int ttl, byte[] packed) {
    this.type = type;
    this.ttl = ttl;
    this.packed = packed;
  }

  /**
   * Makes one.
   *
   * @param type the type's number
   * @param ttl seconds, 0 to 2^31 - 1 (RFC 2181 section 8)
   * @param data the data of its records, at least one
   * @return the set
   */
  public static RRset of(int type, int ttl, List<byte[]> data) {
    List<byte[]> sorted = new ArrayList<>(data);
    sorted.sort(Arrays::compareUnsigned);
    for (int i = sorted.size() - 1; i > 0; i--) {
      if (Arrays.equals(sorted.get(i), sorted.get(i - 1))) {
        sorted.remove(i);
      }
    }
    int size = 0;
    for (byte[] one : sorted) {
      size += 2 + one.length;
    }
    byte[] packed = new byte[size];
    int at = 0;
    for (byte[] one : sorted) {
      packed[at++] = (byte) (one.length >> 8);
      packed[at++] = (byte) one.length;
      System.arraycopy(one, 0, packed, at, one.length);
      at += one.length;
    }
    return new RRset(type, ttl, packed);
  }

  /** One of packed data that were made by {@link #packed}. */
  static RRset unpacked(int type, int ttl, byte[] packed) {
    return new RRset(type, ttl, packed);
  }

  /**
   * The type's number.
   *
   * @return the type
   */
  public int type() {
    return type;
  }

  /**
   * The time to live.
   *
   * @return seconds
   */
  public int ttl() {
    return ttl;
  }

  /**
   * The data, each behind its length in two bytes.
   *
   * @return the bytes; not to be changed
   */
  public byte[] packed() {
    return packed;
  }

  /**
   * Where the data after another begin.
   *
   * @param at where the other's length stands, from 0
   * @return where the next length stands, or the length of all
   */
  public int next(int at) {
    return at + 2 + length(at);
  }

  /**
   * How many bytes data have.
   *
   * @param at where their length stands
   * @return the length
   */
  public int length(int at) {
    return (packed[at] & 0xff) << 8 | (packed[at + 1] & 0xff);
  }

  /**
   * How many records it has.
   *
   * @return their number
   */
  public int count() {
    int count = 0;
    for (int at = 0; at < packed.length; at = next(at)) {
      count++;
    }
    return count;
  }

  /**
   * The data of its records, copied.
   *
   * @return a list in order
   */
  public List<byte[]> data() {
    List<byte[]> all = new ArrayList<>();
    for (int at = 0; at < packed.length; at = next(at)) {
      all.add(Arrays.copyOfRange(packed, at + 2, next(at)));
    }
    return all;
  }

  /** Whether it has a record. */
  boolean has(byte[] data) {
    for (int at = 0; at < packed.length; at = next(at)) {
      if (Arrays.equals(packed, at + 2, next(at), data, 0, data.length)) {
        return true;
      }
    }
    return false;
  }

  /** This set with one record more, and another TTL; null where it would be too large. */
  RRset with(byte[] data, int newTtl) {
    if (has(data)) {
      return newTtl == ttl ? this : new RRset(type, newTtl, packed);
    } else if (packed.length + data.length + 2 > MOST_BYTES) {
      return null;
    }
    List<byte[]> all = data();
    all.add(data);
    return of(type, newTtl, all);
  }

  /** This set without a record; null where none is left. */
  RRset without(byte[] data) {
    List<byte[]> all = data();
    all.removeIf(one -> Arrays.equals(one, data));
    return all.isEmpty() ? null : of(type, ttl, all);
  }

  /** Whether another has the same records, whatever their TTL. */
  boolean sameData(RRset other) {
    return other != null && type == other.type && Arrays.equals(packed, other.packed);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RRset set && ttl == set.ttl && sameData(set);
  }

  @Override
  public int hashCode() {
    return 31 * type + Arrays.hashCode(packed);
  }
}
