package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.function.LongSupplier;

/**
 * A table of keys that the processes of one machine share: a file of fixed size, mapped by each,
 * under the kernel's lock on it.
 *
 * <p>Invariants: a key is held by one owner at a time, until a moment of the machine's monotonic
 * clock, which all its processes read alike. A process that dies lets go of the lock, not of its
 * keys. Where the lock cannot be had at once the answer is unknown, never a guess.
 *
 * <p>Bounds: {@link #SLOTS} slots of 24 bytes; a key lies within {@link #MOST_PROBES} slots of its
 * place. Thread: one at a time.
 */
public final class ClaimTable implements AutoCloseable {
  /** What became of a claim. */
  public enum Claim {
    /** The key is this owner's. */
    GRANTED,
    /** Another owner holds it. */
    HELD,
    /** There is no room for another key. */
    FULL,
    /** The lock could not be had. */
    UNKNOWN
  }

  static final int SLOTS = 8192;
  static final int MOST_PROBES = 128;

  private static final long MAGIC = 0x6d6f7468776b6579L;
  private static final int HEADER = 64;
  private static final int SLOT = 24;
  private static final int OWNER = 8; // within a slot, behind the key
  private static final int UNTIL = 16;
  private static final int MOST_LOCK_TRIES =
      2000; // some microseconds each: the other holds it for as long as one probe takes

  private static final int MOST_OPENING_TRIES =
      1_000_000; // a second or two, before any client is served: the other may be making it

  private final FileChannel file;
  private final MappedByteBuffer table;
  private final long owner;
  private final LongSupplier clock;

  private ClaimTable(FileChannel file, long owner, LongSupplier clock) throws IOException {
    this.file = file;
    this.owner = owner;
    this.clock = clock;
    table = file.map(FileChannel.MapMode.READ_WRITE, 0, HEADER + (long) SLOTS * SLOT);
    table.order(ByteOrder.LITTLE_ENDIAN);
  }

  /**
   * Opens the table of a file, which is made where there is none. What lies there of another boot
   * of the machine, or is no such table, is emptied.
   *
   * @param path the file
   * @param owner names this process among all that share the file; never the same twice
   * @param boot names this run of the machine's monotonic clock
   * @param clock microseconds of that clock
   * @return the table
   * @throws IOException where the file cannot be made, mapped or locked
   */
  public static ClaimTable open(Path path, long owner, long boot, LongSupplier clock)
      throws IOException {
    FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      ClaimTable made = new ClaimTable(file, owner, clock);
      made.begin(boot);
      return made;
    } catch (IOException | RuntimeException failed) {
      file.close();
      throw failed;
    }
  }

  private void begin(long boot) throws IOException {
    FileLock lock = lock(MOST_OPENING_TRIES);
    if (lock == null) {
      throw new IOException("another process holds the table");
    }
    try (lock) {
      if (table.getLong(0) != MAGIC || table.getLong(8) != boot) {
        for (int at = HEADER; at < table.capacity(); at += Long.BYTES) {
          table.putLong(at, 0);
        }
        table.putLong(8, boot);
        table.putLong(0, MAGIC);
      }
    }
  }

  /** The lock on the whole file, or null where another holds on to it. */
  private FileLock lock(int most) throws IOException {
    for (int tries = 0; tries < most; tries++) {
      try {
        FileLock lock = file.tryLock();
        if (lock != null) {
          return lock;
        }
      } catch (OverlappingFileLockException samePlace) {
        // another table of this process has it
      }
      Thread.onSpinWait();
    }
    return null;
  }

  /**
   * Claims a key; its owner may claim it again.
   *
   * @param key any text
   * @param span microseconds from now for which no other owner is granted it
   * @return what became of it
   */
  public Claim claim(String key, long span) {
    try (FileLock lock = lock(MOST_LOCK_TRIES)) {
      return lock == null ? Claim.UNKNOWN : claimLocked(hash(key), clock.getAsLong(), span);
    } catch (IOException failed) {
      return Claim.UNKNOWN;
    }
  }

  private Claim claimLocked(long key, long now, long span) {
    int free = -1;
    for (int probe = 0; probe < MOST_PROBES; probe++) {
      int slot = HEADER + Math.floorMod(key + probe, SLOTS) * SLOT;
      long there = table.getLong(slot);
      boolean over = table.getLong(slot + UNTIL) <= now;
      if (there == key && !over) {
        return renew(slot, now + span);
      }
      if (free < 0 && (there == 0 || over)) {
        free = slot;
      }
      if (there == 0) {
        break; // no key of this chain lies behind an empty slot: slots are filled again, never
        // emptied
      }
    }
    if (free < 0) {
      return Claim.FULL;
    }
    table.putLong(free, key);
    table.putLong(free + OWNER, owner);
    table.putLong(free + UNTIL, now + span);
    return Claim.GRANTED;
  }

  private Claim renew(int slot, long until) {
    if (table.getLong(slot + OWNER) != owner) {
      return Claim.HELD;
    }
    table.putLong(slot + UNTIL, Math.max(until, table.getLong(slot + UNTIL)));
    return Claim.GRANTED;
  }

  /**
   * The first bytes of a key's digest, never 0; two of 4,096 keys are alike once in 10^12 tables.
   */
  private static long hash(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      long first = ByteBuffer.wrap(digest).getLong();
      return first == 0 ? 1 : first;
    } catch (NoSuchAlgorithmException none) {
      throw new IllegalStateException(none); // every Java runtime has it
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
