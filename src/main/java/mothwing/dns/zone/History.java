package mothwing.dns.zone;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;

/**
 * What must survive a restart, of one zone: the file as it was last read, the version in force, and
 * the updates that may still be repeated. It is rebuilt from a snapshot and the records after it.
 */
public final class History {
  /**
   * What tells one signed update from another (RFC 8945): a repeat has the same.
   *
   * @param key the key's name
   * @param id the message's id
   * @param mac its MAC
   */
  public record Signature(DomainName key, int id, byte[] mac) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Signature one
          && key.equals(one.key)
          && id == one.id
          && Arrays.equals(mac, one.mac);
    }

    @Override
    public int hashCode() {
      return 31 * Arrays.hashCode(mac) + id;
    }
  }

  private static final int SETS = 1;
  private static final int REPEATS = 2;
  private static final int UPDATE = 3;
  private static final int RELOAD = 4;
  private static final int IN_BASE = 1;
  private static final int IN_CURRENT = 2;
  private static final int PIECE = 64 << 10;

  private Zone base;
  private Zone current;
  private final Map<Signature, Long> repeats = new LinkedHashMap<>();

  /**
   * Makes one of nothing.
   *
   * @param origin the zone's origin
   */
  public History(DomainName origin) {
    base = Zone.empty(origin);
    current = base;
  }

  /**
   * The file as it was last read.
   *
   * @return that version
   */
  public Zone base() {
    return base;
  }

  /**
   * The version in force.
   *
   * @return that version
   */
  public Zone current() {
    return current;
  }

  /**
   * The updates that may still be repeated, each with the Unix second after which its signature is
   * too old.
   *
   * @return a copy in the order in which they were accepted
   */
  public Map<Signature, Long> repeats() {
    return new LinkedHashMap<>(repeats);
  }

  /**
   * Writes an accepted update.
   *
   * @param signature what tells it from others
   * @param until the Unix second after which its signature is too old
   * @param changes what it changed
   * @return a record of the journal
   */
  public static byte[] update(Signature signature, long until, ChangeSet changes) {
    return ZoneCodec.bytes(
        out -> {
          out.writeByte(UPDATE);
          repeat(out, signature, until);
          ZoneCodec.changes(out, changes);
        });
  }

  private static void repeat(java.io.DataOutputStream out, Signature signature, long until)
      throws IOException {
    ZoneCodec.name(out, signature.key);
    out.writeShort(signature.id);
    out.writeShort(signature.mac.length);
    out.write(signature.mac);
    out.writeLong(until);
  }

  private void repeat(DataInputStream in) throws IOException {
    DomainName key = ZoneCodec.name(in);
    int id = in.readUnsignedShort();
    byte[] mac = in.readNBytes(in.readUnsignedShort());
    repeats.put(new Signature(key, id, mac), in.readLong());
  }

  /**
   * Writes a reload.
   *
   * @param merge what came of it
   * @return a record of the journal
   */
  public static byte[] reload(Merge merge) {
    return ZoneCodec.bytes(
        out -> {
          out.writeByte(RELOAD);
          ZoneCodec.changes(out, merge.edits().changes());
          ZoneCodec.changes(out, merge.changes());
        });
  }

  /**
   * Takes a record of the journal, or a piece of its snapshot.
   *
   * @param bytes the record
   * @throws IOException where it is none, or not for the version at hand
   */
  public void take(byte[] bytes) throws IOException {
    DataInputStream in = ZoneCodec.read(bytes);
    int kind = in.readUnsignedByte();
    try {
      switch (kind) {
        case SETS -> sets(in);
        case REPEATS -> {
          for (int left = in.readInt(); left > 0; left--) {
            repeat(in);
          }
        }
        case UPDATE -> {
          repeat(in);
          current = ZoneCodec.changes(in).apply(current);
        }
        case RELOAD -> {
          base = ZoneCodec.changes(in).apply(base);
          current = ZoneCodec.changes(in).apply(current);
        }
        default ->
            throw new IOException(
                "a record of kind " + kind + ", made by a newer version of this program");
      }
    } catch (ChangeSet.Mismatch wrong) {
      throw new IOException(
          "a record that does not follow from those before it: " + wrong.getMessage());
    }
    if (in.read() >= 0) {
      throw new IOException("a record of kind " + kind + " with more bytes than it should have");
    }
  }

  private void sets(DataInputStream in) throws IOException {
    for (int left = in.readInt(); left > 0; left--) {
      int where = in.readUnsignedByte();
      DomainName owner = ZoneCodec.name(in);
      RRset set = ZoneCodec.set(in);
      base = (where & IN_BASE) == 0 ? base : base.with(owner, set);
      current = (where & IN_CURRENT) == 0 ? current : current.with(owner, set);
    }
  }

  /** Forgets the updates whose signatures are too old at a Unix second. */
  public void forget(long second) {
    repeats.values().removeIf(until -> until < second);
  }

  /**
   * Cuts a state into the pieces of a snapshot; they are made as they are asked for, from versions
   * that do not change.
   *
   * @param base the file as it was last read
   * @param current the version in force
   * @param repeats the updates that may still be repeated; not to be changed any more
   * @return the pieces
   */
  public static Iterator<byte[]> pieces(Zone base, Zone current, Map<Signature, Long> repeats) {
    ChangeSet differences = ChangeSet.between(base, current);
    Map<DomainName, Map<Integer, Boolean>> differing = new HashMap<>();
    ArrayDeque<byte[]> extra = new ArrayDeque<>();
    extra.add(
        ZoneCodec.bytes(
            out -> {
              out.writeByte(REPEATS);
              out.writeInt(repeats.size());
              for (Map.Entry<Signature, Long> one : repeats.entrySet()) {
                repeat(out, one.getKey(), one.getValue());
              }
            }));
    for (ChangeSet.Change one : differences.changes()) {
      differing.computeIfAbsent(one.owner(), owner -> new HashMap<>()).put(one.type(), true);
      extra.add(
          ZoneCodec.bytes(
              out -> {
                out.writeByte(SETS);
                out.writeInt((one.before() == null ? 0 : 1) + (one.after() == null ? 0 : 1));
                if (one.before() != null) {
                  entry(out, IN_BASE, one.owner(), one.before());
                }
                if (one.after() != null) {
                  entry(out, IN_CURRENT, one.owner(), one.after());
                }
              }));
    }
    List<DomainName> owners = new ArrayList<>();
    List<RRset> sets = new ArrayList<>();
    base.forEach(
        (owner, set) -> {
          if (!differing.getOrDefault(owner, Map.of()).containsKey(set.type())) {
            owners.add(owner);
            sets.add(set);
          }
        });
    return new Iterator<>() {
      private int next;

      @Override
      public boolean hasNext() {
        return next < sets.size() || !extra.isEmpty();
      }

      @Override
      public byte[] next() {
        if (next == sets.size()) {
          if (extra.isEmpty()) {
            throw new NoSuchElementException();
          }
          return extra.poll();
        }
        int from = next;
        for (int bytes = 0; next < sets.size() && bytes < PIECE; next++) {
          bytes += sets.get(next).packed().length + owners.get(next).wire().length + 16;
        }
        return ZoneCodec.bytes(
            out -> {
              out.writeByte(SETS);
              out.writeInt(next - from);
              for (int i = from; i < next; i++) {
                entry(out, IN_BASE | IN_CURRENT, owners.get(i), sets.get(i));
              }
            });
      }
    };
  }

  private static void entry(java.io.DataOutputStream out, int where, DomainName owner, RRset set)
      throws IOException {
    out.writeByte(where);
    ZoneCodec.name(out, owner);
    ZoneCodec.set(out, set);
  }
}
