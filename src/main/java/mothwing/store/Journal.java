package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * An append-only log with snapshots, on a {@link Disk}. Records are numbered. Records that are
 * appended together are written as one frame and forced before {@link #append} returns. A snapshot
 * is written to a temporary file, forced and renamed; the log continues in a new file, and the
 * files that the snapshot covers are deleted. Opening reads the newest snapshot and all records
 * after it. A damaged frame at the very end is taken for a torn write that was never acknowledged;
 * it is truncated and logged. A damaged frame before the end was acknowledged, so opening fails
 * with the file and the offset.
 *
 * <p>All operations block. Used by one thread at a time. After a failed append the file is
 * truncated to its acknowledged length; if that fails too, each further append first retries it.
 */
public final class Journal implements AutoCloseable {
  private static final String LOG = "log-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String TEMPORARY = "aside.tmp";
  private static final int SNAPSHOT_FRAME_BYTES = 1 << 20;

  /** Receives the stored data in order: at most one snapshot, then the records after it. */
  public interface Replay {
    /** Receives a chunk of the snapshot. */
    void snapshot(byte[] chunk) throws IOException;

    /** Receives a record. */
    void record(byte[] record) throws IOException;
  }

  private final Disk disk;
  private final Consumer<String> log;
  private Disk.OpenFile file;
  private String name;
  private long acknowledgedBytes;
  private long nextSequence;
  private boolean hasTornFrame;
  private String abandonedFile;

  private Journal(Disk disk, Consumer<String> log) {
    this.disk = disk;
    this.log = log;
  }

  /**
   * Opens a journal, or creates one if the disk holds none.
   *
   * @param disk the disk that holds its files
   * @param replay receives the stored data
   * @param log receives log lines about truncated and abandoned files
   * @return the journal, ready for appends
   * @throws CorruptRecordException if a file is damaged before its end
   * @throws IOException if the files cannot be read or written
   */
  public static Journal open(Disk disk, Replay replay, Consumer<String> log) throws IOException {
    Journal journal = new Journal(disk, log);
    journal.recover(replay);
    return journal;
  }

  private static String fileName(String kind, long sequence) {
    return kind + String.format("%016x", sequence);
  }

  private static long sequence(String file, String kind) {
    return Long.parseUnsignedLong(file, kind.length(), file.length(), 16);
  }

  private void recover(Replay replay) throws IOException {
    List<String> logs = new ArrayList<>();
    List<String> snapshots = new ArrayList<>();
    for (String entry : disk.list()) {
      if (entry.matches("log-[0-9a-f]{16}")) {
        logs.add(entry);
      } else if (entry.matches("snapshot-[0-9a-f]{16}")) {
        snapshots.add(entry);
      } else if (entry.equals(TEMPORARY)) {
        disk.delete(entry);
      }
    }
    nextSequence = 1;
    if (!snapshots.isEmpty()) {
      String newest = snapshots.get(snapshots.size() - 1);
      nextSequence = sequence(newest, SNAPSHOT) + 1;
      SnapshotReader.read(disk, newest, nextSequence - 1, replay);
    }
    // Only log files with records that the snapshot does not cover are read.
    int firstNeeded = logs.size() - 1;
    while (firstNeeded > 0 && sequence(logs.get(firstNeeded), LOG) > nextSequence) {
      firstNeeded--;
    }
    for (int i = Math.max(0, firstNeeded); i < logs.size(); i++) {
      readLog(logs.get(i), i == logs.size() - 1, replay);
    }
    if (file == null) {
      startFile();
    }
    for (String covered : logs.subList(0, Math.max(0, firstNeeded))) {
      disk.delete(covered);
    }
    for (String previous : snapshots.subList(0, Math.max(0, snapshots.size() - 1))) {
      disk.delete(previous);
    }
  }

  private void readLog(String logFile, boolean last, Replay replay) throws IOException {
    Disk.OpenFile opened = disk.open(logFile);
    boolean keepOpen = false;
    try {
      OptionalLong first = RecordFraming.readFirstSequence(opened, logFile);
      if (first.isEmpty() && last && RecordFraming.findFrame(opened, 0, nextSequence).isEmpty()) {
        log.accept("journal-cut file=" + logFile + " at=0 bytes=" + opened.size());
        // Its creation was interrupted, so nothing in it was acknowledged.
        disk.delete(logFile);
        return;
      }
      checkHeader(logFile, first);
      LogEnd end = replayRecords(opened, logFile, last, replay);
      if (last) {
        nextSequence = Math.max(nextSequence, end.sequence());
        // Otherwise a new file starts after the snapshot.
        if (end.sequence() == nextSequence) {
          file = opened;
          name = logFile;
          acknowledgedBytes = end.offset();
          keepOpen = true;
        }
      }
    } finally {
      if (!keepOpen) {
        opened.close();
      }
    }
  }

  private void checkHeader(String logFile, OptionalLong first) throws CorruptRecordException {
    if (first.isPresent() && first.getAsLong() > nextSequence) {
      throw new CorruptRecordException(
          logFile,
          0,
          "records " + nextSequence + " to " + (first.getAsLong() - 1) + " are missing");
    }
    if (first.isEmpty() || first.getAsLong() != sequence(logFile, LOG)) {
      throw new CorruptRecordException(logFile, 0, "the file header is damaged");
    }
  }

  /** The end of the records of a log file: the next sequence number and the offset. */
  private record LogEnd(long sequence, long offset) {}

  private LogEnd replayRecords(Disk.OpenFile opened, String logFile, boolean last, Replay replay)
      throws IOException {
    long expectedSequence = sequence(logFile, LOG);
    long offset = RecordFraming.HEADER_BYTES;
    while (offset < opened.size()) {
      Optional<RecordFraming.Frame> read = RecordFraming.readFrame(opened, offset);
      if (read.isEmpty()) {
        truncateTornTail(opened, logFile, offset, last, expectedSequence);
        break;
      }
      RecordFraming.Frame frame = read.get();
      if (frame.firstSequence() != expectedSequence) {
        throw new CorruptRecordException(
            logFile,
            offset,
            "a frame with record " + frame.firstSequence() + ", expected " + expectedSequence);
      }
      for (byte[] record : frame.records()) {
        // The snapshot covers the records before.
        if (expectedSequence >= nextSequence) {
          replay.record(record);
          nextSequence = expectedSequence + 1;
        }
        expectedSequence++;
      }
      offset = frame.end();
    }
    return new LogEnd(expectedSequence, offset);
  }

  /** Truncates a torn frame at the end of the last file; fails if the damage is elsewhere. */
  private void truncateTornTail(
      Disk.OpenFile opened, String logFile, long offset, boolean last, long expectedSequence)
      throws IOException {
    OptionalLong later = RecordFraming.findFrame(opened, offset + 1, expectedSequence);
    if (!last || later.isPresent()) {
      throw new CorruptRecordException(
          logFile,
          offset,
          "a damaged frame, followed by intact frames"
              + (later.isPresent() ? " at byte " + later.getAsLong() : " in the next file"));
    }
    log.accept(
        "journal-cut file=" + logFile + " at=" + offset + " bytes=" + (opened.size() - offset));
    opened.truncate(offset);
    opened.force();
  }

  /** Starts a new log file, which begins with the next record. */
  private void startFile() throws IOException {
    String newName = fileName(LOG, nextSequence);
    Disk.OpenFile opened = disk.open(newName);
    try {
      opened.truncate(0);
      opened.append(RecordFraming.encodeHeader(nextSequence));
      opened.force();
      disk.forceDirectory();
    } catch (IOException failed) {
      // Recovery would read it as the continuation of the current file.
      abandonedFile = newName;
      opened.close();
      tryRepair();
      throw failed;
    }
    if (file != null) {
      file.close();
    }
    file = opened;
    name = newName;
    acknowledgedBytes = RecordFraming.HEADER_BYTES;
  }

  /**
   * Appends records, all or none, and forces them.
   *
   * @param records the records; without any, an empty frame marks that all records before it were
   *     acknowledged
   * @throws IOException if they could not be written; then none of them is in the journal
   */
  public void append(List<byte[]> records) throws IOException {
    if (records.stream().mapToLong(record -> record.length + (long) Integer.BYTES).sum()
        > RecordFraming.MAX_CONTENT_BYTES) {
      throw new IOException(
          "records of more than " + RecordFraming.MAX_CONTENT_BYTES + " bytes in one append");
    }
    repair();
    ByteBuffer frame = RecordFraming.encodeFrame(nextSequence, records);
    int length = frame.remaining();
    // Reset once the frame is complete.
    hasTornFrame = true;
    try {
      file.append(frame);
      file.force();
      hasTornFrame = false;
    } finally {
      if (hasTornFrame) {
        tryRepair();
      }
    }
    acknowledgedBytes += length;
    nextSequence += records.size();
  }

  private void tryRepair() {
    try {
      repair();
    } catch (IOException stillFailing) {
      log.accept("journal-broken file=" + name + " what=\"" + stillFailing.getMessage() + "\"");
    }
  }

  /**
   * Removes the remains of a frame or file whose write failed. Recovery would read them after a
   * crash.
   */
  private void repair() throws IOException {
    if (abandonedFile != null) {
      disk.delete(abandonedFile);
      disk.forceDirectory();
      abandonedFile = null;
    }
    if (hasTornFrame) {
      file.truncate(acknowledgedBytes);
      file.force();
      hasTornFrame = false;
    }
  }

  /**
   * Returns the length of the log since the last snapshot.
   *
   * @return the length in bytes
   */
  public long size() {
    return acknowledgedBytes;
  }

  /**
   * Returns the sequence number of the last record.
   *
   * @return the sequence number, or 0 if there is no record
   */
  public long lastSequence() {
    return nextSequence - 1;
  }

  /** A snapshot in progress. It is written in steps, between which records can be appended. */
  public final class Snapshot {
    private final long lastCovered;
    private final Iterator<byte[]> chunks;
    private final Disk.OpenFile temporary;
    private long frames;

    private Snapshot(Iterator<byte[]> chunks) throws IOException {
      this.lastCovered = nextSequence - 1;
      this.chunks = chunks;
      repair();
      if (acknowledgedBytes > RecordFraming.HEADER_BYTES
          || !name.equals(fileName(LOG, nextSequence))) {
        // Lets the previous file be deleted.
        startFile();
      }
      temporary = disk.open(TEMPORARY);
      temporary.truncate(0);
      temporary.append(RecordFraming.encodeHeader(lastCovered));
    }

    /**
     * Writes the next frame of the snapshot.
     *
     * @return false once the snapshot is complete and forced and the files that it covers are
     *     deleted
     * @throws IOException if that fails; the snapshot is abandoned, and the journal is as before
     */
    public boolean step() throws IOException {
      try {
        List<byte[]> frame = new ArrayList<>();
        int bytes = 0;
        while (bytes < SNAPSHOT_FRAME_BYTES && chunks.hasNext()) {
          byte[] chunk = chunks.next();
          frame.add(chunk);
          bytes += chunk.length;
        }
        if (!frame.isEmpty()) {
          temporary.append(RecordFraming.encodeFrame(frames++, frame));
          return true;
        }
        byte[] count = ByteBuffer.allocate(Long.BYTES).putLong(frames).array();
        temporary.append(RecordFraming.encodeFrame(SnapshotReader.LAST_FRAME, List.of(count)));
        temporary.force();
      } catch (IOException failed) {
        abandon();
        throw failed;
      }
      temporary.close();
      disk.rename(TEMPORARY, fileName(SNAPSHOT, lastCovered));
      disk.forceDirectory();
      for (String entry : disk.list()) {
        if (isCovered(entry)) {
          disk.delete(entry);
        }
      }
      return false;
    }

    private boolean isCovered(String entry) {
      boolean isPreviousSnapshot =
          entry.startsWith(SNAPSHOT) && sequence(entry, SNAPSHOT) < lastCovered;
      boolean isPreviousLog =
          entry.startsWith(LOG) && sequence(entry, LOG) <= lastCovered && !entry.equals(name);
      return isPreviousSnapshot || isPreviousLog;
    }

    /** Abandons the snapshot; the journal is as before. */
    public void abandon() {
      try {
        temporary.close();
        disk.delete(TEMPORARY);
      } catch (IOException notDeleted) {
        log.accept("journal-left file=" + TEMPORARY + " what=\"" + notDeleted.getMessage() + "\"");
      }
    }
  }

  /**
   * Starts a snapshot of the state after the last record.
   *
   * @param chunks the state, in chunks of at most 16 MiB
   * @return the snapshot, to be written step by step
   * @throws IOException if it cannot be started; the journal is as before
   */
  public Snapshot snapshot(Iterator<byte[]> chunks) throws IOException {
    return new Snapshot(chunks);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
