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
 * A table of key leases that the processes of one machine share: an open-addressing hash table in a
 * file of fixed size, which each process maps and accesses under the file's lock.
 *
 * <p>Invariants: a key is leased to one owner at a time, until a time of the machine's monotonic
 * clock, which is the same for all its processes. A process that dies releases the lock, but not
 * its leases. Where the lock cannot be acquired soon the result is unknown.
 *
 * <p>Bounds: {@link #SLOTS} slots of 24 bytes; a key lies within {@link #MAX_PROBES} slots of the
 * slot of its hash. Used by one thread at a time.
 */
public final class ClaimTable implements AutoCloseable {
  /** The result of a claim. */
  public enum Claim {
    /** The key is leased to this owner. */
    GRANTED,
    /** The key is leased to another owner. */
    HELD,
    /** No slot for the key is free. */
    FULL,
    /** The lock could not be acquired. */
    UNKNOWN
  }

  static final int SLOTS = 8192;
  static final int MAX_PROBES = 128;

  private static final long MAGIC = 0x6d6f7468776b6579L;
  private static final int MAGIC_OFFSET = 0;
  private static final int BOOT_OFFSET = 8;
  private static final int HEADER_BYTES = 64;
  private static final int SLOT_BYTES = 24;
  private static final int OWNER_OFFSET = 8; // within a slot, behind the key
  private static final int EXPIRY_OFFSET = 16;

  /** Attempts to lock for a claim, of some microseconds each; a claim holds the lock as briefly. */
  private static final int MAX_LOCK_ATTEMPTS = 2000;

  /** Attempts to lock at start, while another process may be making the table. */
  private static final int MAX_OPENING_LOCK_ATTEMPTS = 1_000_000;

  private final FileChannel file;
  private final MappedByteBuffer table;
  private final long owner;
  private final LongSupplier clock;

  private ClaimTable(FileChannel file, long owner, LongSupplier clock) throws IOException {
    this.file = file;
    this.owner = owner;
    this.clock = clock;
    table = file.map(FileChannel.MapMode.READ_WRITE, 0, HEADER_BYTES + (long) SLOTS * SLOT_BYTES);
    table.order(ByteOrder.LITTLE_ENDIAN);
  }

  /**
   * Opens the table of a file, which is made where there is none. A table of another boot of the
   * machine, or another content, is cleared.
   *
   * @param path the file
   * @param owner identifies this incarnation of this process; unique among all that share the file
   * @param boot identifies the boot of the machine, as its monotonic clock restarts with it
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
      made.clearUnlessOf(boot);
      return made;
    } catch (IOException | RuntimeException failed) {
      file.close();
      throw failed;
    }
  }

  private void clearUnlessOf(long boot) throws IOException {
    FileLock lock = lock(MAX_OPENING_LOCK_ATTEMPTS);
    if (lock == null) {
      throw new IOException("another process holds the table");
    }
    try (lock) {
      if (table.getLong(MAGIC_OFFSET) != MAGIC || table.getLong(BOOT_OFFSET) != boot) {
        for (int at = HEADER_BYTES; at < table.capacity(); at += Long.BYTES) {
          table.putLong(at, 0);
        }
        table.putLong(BOOT_OFFSET, boot);
        table.putLong(MAGIC_OFFSET, MAGIC);
      }
    }
  }

  /** The lock on the file, or null where it is not acquired within so many attempts. */
  private FileLock lock(int maxAttempts) throws IOException {
    for (int attempt = 0; attempt < maxAttempts; attempt++) {
      try {
        FileLock lock = file.tryLock();
        if (lock != null) {
          return lock;
        }
      } catch (OverlappingFileLockException heldByThisProcess) {
        // another table of this process has it
      }
      Thread.onSpinWait();
    }
    return null;
  }

  /**
   * Claims the lease of a key; its owner may extend it by a further claim.
   *
   * @param key any text
   * @param span microseconds from now for which the key is leased
   * @return the result
   */
  public Claim claim(String key, long span) {
    try (FileLock lock = lock(MAX_LOCK_ATTEMPTS)) {
      return lock == null ? Claim.UNKNOWN : claimLocked(hash(key), clock.getAsLong(), span);
    } catch (IOException failed) {
      return Claim.UNKNOWN;
    }
  }

  private Claim claimLocked(long key, long now, long span) {
    int free = -1;
    for (int probe = 0; probe < MAX_PROBES; probe++) {
      int slot = HEADER_BYTES + Math.floorMod(key + probe, SLOTS) * SLOT_BYTES;
      long there = table.getLong(slot);
      boolean expired = table.getLong(slot + EXPIRY_OFFSET) <= now;
      if (there == key && !expired) {
        return renew(slot, now + span);
      }
      if (free < 0 && (there == 0 || expired)) {
        free = slot;
      }
      if (there == 0) {
        break; // slots are reused but never cleared, so the probe sequence ends here
      }
    }
    if (free < 0) {
      return Claim.FULL;
    }
    table.putLong(free, key);
    table.putLong(free + OWNER_OFFSET, owner);
    table.putLong(free + EXPIRY_OFFSET, now + span);
    return Claim.GRANTED;
  }

  private Claim renew(int slot, long expiry) {
    if (table.getLong(slot + OWNER_OFFSET) != owner) {
      return Claim.HELD;
    }
    table.putLong(slot + EXPIRY_OFFSET, Math.max(expiry, table.getLong(slot + EXPIRY_OFFSET)));
    return Claim.GRANTED;
  }

  /**
   * The first bytes of a key's digest, never 0, which marks an empty slot. Keys are told apart by
   * this hash alone: among 4,096 keys two collide once in 10^12 tables.
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
