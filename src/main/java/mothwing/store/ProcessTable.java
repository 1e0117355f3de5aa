package mothwing.store;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * State that the processes of one server share: a row of numbers for each live process, and one
 * word for all of them, in a memory-mapped file of fixed size.
 *
 * <p>Invariants: a row is written by its process only. A process holds a lock on its row for as
 * long as it lives, which the kernel releases if it dies; the row of a process that does not live
 * is cleared by the others. Writes are visible to all processes in order, without a lock. A file of
 * another boot of the machine, or with other content, is cleared. Used by one thread at a time.
 */
public final class ProcessTable implements AutoCloseable {
  /** The number of numbers in a row. */
  public static final int COLUMNS = 6;

  /** The maximum number of processes. */
  static final int ROWS = 4;

  private static final long MAGIC = 0x6d6f746870726f63L;
  private static final int MAGIC_OFFSET = 0;
  private static final int BOOT_OFFSET = 8;
  private static final int WORD_OFFSET = 16;
  private static final int HEADER_BYTES = 64;
  private static final int ROW_BYTES = 64;
  private static final int MAX_LOCK_ATTEMPTS = 1_000_000;
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

  private final FileChannel file;
  private final MappedByteBuffer table;
  private int ownRow = -1;
  private FileLock ownLock;

  private ProcessTable(FileChannel file) throws IOException {
    this.file = file;
    table = file.map(FileChannel.MapMode.READ_WRITE, 0, HEADER_BYTES + ROWS * ROW_BYTES);
  }

  /**
   * Opens the table in a file, which is created if absent, and takes a row for this process.
   *
   * @param path the file
   * @param boot identifies the boot of the machine
   * @return the table
   * @throws IOException if the file cannot be created, mapped or locked, or has no free row
   */
  public static ProcessTable open(Path path, long boot) throws IOException {
    FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      ProcessTable opened = new ProcessTable(file);
      opened.join(boot);
      return opened;
    } catch (IOException | RuntimeException failed) {
      file.close();
      throw failed;
    }
  }

  private void join(long boot) throws IOException {
    FileLock headerLock = lockHeader();
    try {
      if (read(MAGIC_OFFSET) != MAGIC || read(BOOT_OFFSET) != boot) {
        for (int offset = 0; offset < table.capacity(); offset += Long.BYTES) {
          write(offset, 0);
        }
        write(BOOT_OFFSET, boot);
        write(MAGIC_OFFSET, MAGIC);
      }
      takeRow();
    } finally {
      headerLock.release();
    }
  }

  private FileLock lockHeader() throws IOException {
    for (int i = 0; i < MAX_LOCK_ATTEMPTS; i++) {
      FileLock lock = tryLock(0, HEADER_BYTES);
      if (lock != null) {
        return lock;
      }
      Thread.onSpinWait();
    }
    throw new IOException("the lock of the process table is held elsewhere");
  }

  private void takeRow() throws IOException {
    for (int row = 0; row < ROWS && ownLock == null; row++) {
      ownLock = tryLock(rowOffset(row), ROW_BYTES);
      ownRow = row;
    }
    if (ownLock == null) {
      throw new IOException("the process table has no free row");
    }
    clear(ownRow);
  }

  private static int rowOffset(int row) {
    return HEADER_BYTES + row * ROW_BYTES;
  }

  private FileLock tryLock(long position, long size) throws IOException {
    try {
      return file.tryLock(position, size, false);
    } catch (OverlappingFileLockException heldByThisProcess) {
      // Another table of this process holds it.
      return null;
    }
  }

  private long read(int offset) {
    return (long) LONGS.getVolatile(table, offset);
  }

  private void write(int offset, long value) {
    LONGS.setVolatile(table, offset, value);
  }

  private void clear(int row) {
    for (int column = 0; column < COLUMNS; column++) {
      write(rowOffset(row) + column * Long.BYTES, 0);
    }
  }

  /**
   * Writes a number of this process.
   *
   * @param column the column, from 0 inclusive to {@link #COLUMNS} exclusive
   * @param value the number
   */
  public void put(int column, long value) {
    write(rowOffset(ownRow) + column * Long.BYTES, value);
  }

  /**
   * Returns the number of processes that may have a row, with this one.
   *
   * @return the number of rows
   */
  public int rows() {
    return ROWS;
  }

  /**
   * Returns whether a row is that of this process.
   *
   * @param row the row, below {@link #rows}
   * @return true if it is
   */
  public boolean isOwn(int row) {
    return row == ownRow;
  }

  /**
   * Reads a number of a process.
   *
   * @param row the row, below {@link #rows}
   * @param column the column, below {@link #COLUMNS}
   * @return the number, 0 if the row belongs to no process
   */
  public long get(int row, int column) {
    return read(rowOffset(row) + column * Long.BYTES);
  }

  /**
   * Returns the word that all processes share.
   *
   * @return the word, 0 if it was never set
   */
  public long word() {
    return read(WORD_OFFSET);
  }

  /**
   * Sets the word that all processes share.
   *
   * @param value the word
   */
  public void setWord(long value) {
    write(WORD_OFFSET, value);
  }

  /**
   * Clears the rows of processes that do not live.
   *
   * @throws IOException if the locks cannot be examined
   */
  public void clearRowsOfEndedProcesses() throws IOException {
    for (int row = 0; row < ROWS; row++) {
      if (row != ownRow && !isClear(row)) {
        try (FileLock lock = tryLock(rowOffset(row), ROW_BYTES)) {
          if (lock != null) {
            clear(row);
          }
        }
      }
    }
  }

  /**
   * Returns whether another process has a row.
   *
   * @return true if one is alive
   * @throws IOException if the locks cannot be examined
   */
  public boolean isOtherProcessAlive() throws IOException {
    for (int row = 0; row < ROWS; row++) {
      if (row != ownRow && isLocked(row)) {
        return true;
      }
    }
    return false;
  }

  private boolean isLocked(int row) throws IOException {
    FileLock lock = tryLock(rowOffset(row), ROW_BYTES);
    if (lock != null) {
      lock.release();
    }
    return lock == null;
  }

  private boolean isClear(int row) {
    for (int column = 0; column < COLUMNS; column++) {
      if (get(row, column) != 0) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    clear(ownRow);
    ownLock.release();
    file.close();
  }
}
