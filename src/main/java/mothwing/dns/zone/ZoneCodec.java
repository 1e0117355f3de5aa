package mothwing.dns.zone;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mothwing.dns.zone.ChangeSet.Change;

/**
 * Writes sets and change sets as bytes, for the journal and its snapshots, and reads them again.
 */
public final class ZoneCodec {
  private ZoneCodec() {}

  /**
   * Writes a name.
   *
   * @param out takes the bytes
   * @param name the name
   * @throws IOException from {@code out}
   */
  public static void name(DataOutputStream out, DomainName name) throws IOException {
    out.writeByte(name.wire().length);
    out.write(name.wire());
  }

  /**
   * Reads a name.
   *
   * @param in gives the bytes
   * @return the name
   * @throws IOException where there is none
   */
  public static DomainName name(DataInputStream in) throws IOException {
    byte[] wire = in.readNBytes(in.readUnsignedByte());
    DomainName name = DomainName.of(wire, 0);
    if (name == null || name.wire().length != wire.length) {
      throw new IOException("not a name");
    }
    return name;
  }

  /**
   * Writes a set, or that there is none.
   *
   * @param out takes the bytes
   * @param set the set, or null
   * @throws IOException from {@code out}
   */
  public static void set(DataOutputStream out, RRset set) throws IOException {
    out.writeInt(set == null ? -1 : set.packed().length);
    if (set != null) {
      out.writeShort(set.type());
      out.writeInt(set.ttl());
      out.write(set.packed());
    }
  }

  /**
   * Reads a set.
   *
   * @param in gives the bytes
   * @return the set, or null where there was none
   * @throws IOException where the bytes are no set
   */
  public static RRset set(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0) {
      return null;
    } else if (length > RRset.MOST_BYTES) {
      throw new IOException("a set of " + length + " bytes");
    }
    int type = in.readUnsignedShort();
    int ttl = in.readInt();
    byte[] packed = in.readNBytes(length);
    if (packed.length != length) {
      throw new IOException("a set is cut short");
    }
    int at = 0;
    while (at + 2 <= length) {
      at += 2 + ((packed[at] & 0xff) << 8 | (packed[at + 1] & 0xff));
    }
    if (at != length || length == 0) {
      throw new IOException("the records of a set do not fill it");
    }
    return RRset.unpacked(type, ttl, packed);
  }

  /**
   * Writes a change set.
   *
   * @param out takes the bytes
   * @param set the change set
   * @throws IOException from {@code out}
   */
  public static void changes(DataOutputStream out, ChangeSet set) throws IOException {
    out.writeInt(set.changes().size());
    for (Change one : set.changes()) {
      name(out, one.owner());
      set(out, one.before());
      set(out, one.after());
    }
  }

  /**
   * Reads a change set.
   *
   * @param in gives the bytes
   * @return the change set
   * @throws IOException where the bytes are none
   */
  public static ChangeSet changes(DataInputStream in) throws IOException {
    int count = in.readInt();
    List<Change> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      DomainName owner = name(in);
      RRset before = set(in);
      RRset after = set(in);
      if (before == null && after == null) {
        throw new IOException("a change of nothing");
      }
      all.add(new Change(owner, before == null ? after.type() : before.type(), before, after));
    }
    return new ChangeSet(all);
  }

  /** Something that writes. */
  @FunctionalInterface
  public interface Writing {
    /**
     * Writes.
     *
     * @param out takes the bytes
     * @throws IOException from {@code out}
     */
    void to(DataOutputStream out) throws IOException;
  }

  /**
   * Collects what is written.
   *
   * @param writing writes
   * @return the bytes
   */
  public static byte[] bytes(Writing writing) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      writing.to(new DataOutputStream(bytes));
    } catch (IOException never) {
      throw new IllegalStateException(never);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads from bytes.
   *
   * @param bytes the bytes
   * @return their stream
   */
  public static DataInputStream read(byte[] bytes) {
    return new DataInputStream(new ByteArrayInputStream(bytes));
  }
}
