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
 * Table of key leases that the processes of one machine share: an open-addressing hash table in a
 * memory-mapped file of fixed size, accessed under the lock of the file.
 *
 * <p>Invariants: a key is leased to one owner at a time. A lease expires at a time of the machine's
 * monotonic clock, which is the same for all processes of the machine. A process that dies releases
 * the file lock, but its leases stay until they expire. If the lock is not acquired within a
 * bounded number of attempts, the result is {@link Claim#UNKNOWN}.
 *
 * <p>Bounds: {@link #SLOTS} slots of 24 bytes; a key is stored within {@link #MAX_PROBES} slots of
 * the slot of its hash. Used by one thread at a time.
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

  // Offsets within a slot, which begins with the key.
  private static final int OWNER_OFFSET = 8;
  private static final int EXPIRY_OFFSET = 16;

  /**
   * The maximum number of attempts to acquire the lock for a claim. Each attempt takes some
   * microseconds, about as long as a claim holds the lock.
   */
  private static final int MAX_LOCK_ATTEMPTS = 2000;

  /**
   * The maximum number of attempts to acquire the lock on opening, while another process may
   * initialize the table.
   */
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
   * Opens the table in a file, which is created if absent. A table of another boot of the machine
   * is cleared, and so is a file with other content.
   *
   * @param path the file
   * @param owner identifies this incarnation of this process; unique among all that share the file
   * @param boot identifies the boot of the machine, because its monotonic clock restarts on boot
   * @param clock the monotonic clock of the machine, in microseconds
   * @return the table
   * @throws IOException if the file cannot be created, mapped or locked
   */
  public static ClaimTable open(Path path, long owner, long boot, LongSupplier clock)
      throws IOException {
    FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      ClaimTable opened = new ClaimTable(file, owner, clock);
      opened.clearIfStale(boot);
      return opened;
    } catch (IOException | RuntimeException failed) {
      file.close();
      throw failed;
    }
  }

  private void clearIfStale(long boot) throws IOException {
    FileLock lock = acquireLock(MAX_OPENING_LOCK_ATTEMPTS);
    if (lock == null) {
      throw new IOException("the lock of the claim table is held elsewhere");
    }
    try (lock) {
      if (table.getLong(MAGIC_OFFSET) != MAGIC || table.getLong(BOOT_OFFSET) != boot) {
        for (int offset = HEADER_BYTES; offset < table.capacity(); offset += Long.BYTES) {
          table.putLong(offset, 0);
        }
        table.putLong(BOOT_OFFSET, boot);
        table.putLong(MAGIC_OFFSET, MAGIC);
      }
    }
  }

  /** Returns the lock on the file, or null if it is not acquired within the given attempts. */
  private FileLock acquireLock(int maxAttempts) throws IOException {
    for (int attempt = 0; attempt < maxAttempts; attempt++) {
      try {
        FileLock lock = file.tryLock();
        if (lock != null) {
          return lock;
        }
      } catch (OverlappingFileLockException heldByThisProcess) {
        // Another table of this process holds it.
      }
      Thread.onSpinWait();
    }
    return null;
  }

  /**
   * Claims the lease of a key. The owner may extend its lease by claiming again; a shorter claim
   * does not shorten it.
   *
   * @param key any text
   * @param durationMicros microseconds from now for which the key is leased
   * @return the result
   */
  public Claim claim(String key, long durationMicros) {
    try (FileLock lock = acquireLock(MAX_LOCK_ATTEMPTS)) {
      return lock == null
          ? Claim.UNKNOWN
          : claimLocked(hash(key), clock.getAsLong(), durationMicros);
    } catch (IOException failed) {
      return Claim.UNKNOWN;
    }
  }

  private Claim claimLocked(long key, long now, long durationMicros) {
    int freeSlot = -1;
    for (int probe = 0; probe < MAX_PROBES; probe++) {
      int slot = HEADER_BYTES + Math.floorMod(key + probe, SLOTS) * SLOT_BYTES;
      long storedKey = table.getLong(slot);
      boolean expired = table.getLong(slot + EXPIRY_OFFSET) <= now;
      if (storedKey == key && !expired) {
        return renew(slot, now + durationMicros);
      }
      if (freeSlot < 0 && (storedKey == 0 || expired)) {
        freeSlot = slot;
      }
      if (storedKey == 0) {
        // Slots are reused but never cleared, so the probe sequence of the key ends here.
        break;
      }
    }
    if (freeSlot < 0) {
      return Claim.FULL;
    }
    table.putLong(freeSlot, key);
    table.putLong(freeSlot + OWNER_OFFSET, owner);
    table.putLong(freeSlot + EXPIRY_OFFSET, now + durationMicros);
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
   * Returns the first 8 bytes of the SHA-256 digest of a key; never 0, which marks an empty slot.
   * Keys are distinguished by this hash alone: among 4,096 keys two collide once in 10^12 tables.
   */
  private static long hash(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      long hash = ByteBuffer.wrap(digest).getLong();
      return hash == 0 ? 1 : hash;
    } catch (NoSuchAlgorithmException unavailable) {
      // Every Java runtime provides SHA-256.
      throw new IllegalStateException(unavailable);
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
