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
 * An append-only log with snapshots, on a {@link Disk}. Records are numbered; those that are
 * appended together are written as one frame and forced before {@link #append} returns. A snapshot
 * is written to a temporary file, forced and renamed; the log continues in a new file, and the
 * files that the snapshot covers are deleted. Opening reads the newest snapshot and all records
 * after it. A torn frame at the very end was never acknowledged: it is truncated and logged. A
 * damaged frame before the end was acknowledged: opening fails and names the place.
 *
 * <p>It blocks, and belongs to one thread at a time. After a failed append the file is truncated to
 * what was acknowledged; while that fails too, each further append retries it first.
 */
public final class Journal implements AutoCloseable {
  private static final String LOG = "log-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String TEMPORARY = "aside.tmp";
  private static final int SNAPSHOT_FRAME_BYTES = 1 << 20;

  /** Receives what was stored, in order: at most one snapshot, then the records after it. */
  public interface Replay {
    /** A piece of the snapshot. */
    void snapshot(byte[] piece) throws IOException;

    /** A record. */
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
   * Opens a journal, or makes one.
   *
   * @param disk where its files are
   * @param replay receives what it holds
   * @param log takes lines of the log on truncated and abandoned files
   * @return the journal, to be appended to
   * @throws CorruptRecordException where a file is damaged before its end
   * @throws IOException where the files cannot be read or written
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
    for (String found : disk.list()) {
      if (found.matches("log-[0-9a-f]{16}")) {
        logs.add(found);
      } else if (found.matches("snapshot-[0-9a-f]{16}")) {
        snapshots.add(found);
      } else if (found.equals(TEMPORARY)) {
        disk.delete(found);
      }
    }
    nextSequence = 1;
    if (!snapshots.isEmpty()) {
      String newest = snapshots.get(snapshots.size() - 1);
      nextSequence = sequence(newest, SNAPSHOT) + 1;
      SnapshotReader.read(disk, newest, nextSequence - 1, replay);
    }
    // needed are the log files with records that the snapshot does not cover
    int from = logs.size() - 1;
    while (from > 0 && sequence(logs.get(from), LOG) > nextSequence) {
      from--;
    }
    for (int i = Math.max(0, from); i < logs.size(); i++) {
      readLog(logs.get(i), i == logs.size() - 1, replay);
    }
    if (file == null) {
      startFile();
    }
    for (String covered : logs.subList(0, Math.max(0, from))) {
      disk.delete(covered);
    }
    for (String former : snapshots.subList(0, Math.max(0, snapshots.size() - 1))) {
      disk.delete(former);
    }
  }

  private void readLog(String log, boolean last, Replay replay) throws IOException {
    Disk.OpenFile opened = disk.open(log);
    boolean kept = false;
    try {
      OptionalLong first = RecordFraming.firstSequence(opened, log);
      if (first.isEmpty() && last && RecordFraming.findFrame(opened, 0, nextSequence).isEmpty()) {
        this.log.accept("journal-cut file=" + log + " at=0 bytes=" + opened.size());
        disk.delete(log); // its creation was interrupted: nothing in it was acknowledged
        return;
      }
      checkHeader(log, first);
      LogEnd end = replayRecords(opened, log, last, replay);
      if (last) {
        nextSequence = Math.max(nextSequence, end.sequence());
        if (end.sequence() == nextSequence) { // else a new file starts behind the snapshot
          file = opened;
          name = log;
          acknowledgedBytes = end.offset();
          kept = true;
        }
      }
    } finally {
      if (!kept) {
        opened.close();
      }
    }
  }

  private void checkHeader(String log, OptionalLong first) throws CorruptRecordException {
    if (first.isPresent() && first.getAsLong() > nextSequence) {
      throw new CorruptRecordException(
          log, 0, "records " + nextSequence + " to " + (first.getAsLong() - 1) + " are missing");
    }
    if (first.isEmpty() || first.getAsLong() != sequence(log, LOG)) {
      throw new CorruptRecordException(log, 0, "the file header is damaged");
    }
  }

  /** Where the records of a log file end: the next sequence number, and the offset. */
  private record LogEnd(long sequence, long offset) {}

  private LogEnd replayRecords(Disk.OpenFile opened, String log, boolean last, Replay replay)
      throws IOException {
    long expected = sequence(log, LOG);
    long offset = RecordFraming.HEADER_BYTES;
    while (offset < opened.size()) {
      Optional<RecordFraming.Frame> read = RecordFraming.read(opened, offset);
      if (read.isEmpty()) {
        truncateTornTail(opened, log, offset, last, expected);
        break;
      }
      RecordFraming.Frame frame = read.get();
      if (frame.firstSequence() != expected) {
        throw new CorruptRecordException(
            log, offset, "a frame with record " + frame.firstSequence() + ", expected " + expected);
      }
      for (byte[] record : frame.records()) {
        if (expected >= nextSequence) { // the snapshot covers those before
          replay.record(record);
          nextSequence = expected + 1;
        }
        expected++;
      }
      offset = frame.end();
    }
    return new LogEnd(expected, offset);
  }

  /** Truncates a torn frame at the end; fails if it is not at the end of the last file. */
  private void truncateTornTail(
      Disk.OpenFile opened, String log, long at, boolean last, long expected) throws IOException {
    OptionalLong later = RecordFraming.findFrame(opened, at + 1, expected);
    if (!last || later.isPresent()) {
      throw new CorruptRecordException(
          log,
          at,
          "a damaged frame, followed by intact frames"
              + (later.isPresent() ? " at byte " + later.getAsLong() : " in the next file"));
    }
    this.log.accept("journal-cut file=" + log + " at=" + at + " bytes=" + (opened.size() - at));
    opened.truncate(at);
    opened.force();
  }

  /** Starts a new file, for the next record on. */
  private void startFile() throws IOException {
    String fresh = fileName(LOG, nextSequence);
    Disk.OpenFile opened = disk.open(fresh);
    try {
      opened.truncate(0);
      opened.append(RecordFraming.header(nextSequence));
      opened.force();
      disk.forceDirectory();
    } catch (IOException failed) {
      abandonedFile = fresh; // recovery would take it for the continuation of the current file
      opened.close();
      tryRepair();
      throw failed;
    }
    if (file != null) {
      file.close();
    }
    file = opened;
    name = fresh;
    acknowledgedBytes = RecordFraming.HEADER_BYTES;
  }

  /**
   * Appends records, all or none, and forces them.
   *
   * @param records the records; if there are none, an empty frame marks that all before it was
   *     acknowledged
   * @throws IOException where they could not be written: none of them is in the journal
   */
  public void append(List<byte[]> records) throws IOException {
    if (records.stream().mapToLong(record -> record.length + (long) Integer.BYTES).sum()
        > RecordFraming.MAX_CONTENT_BYTES) {
      throw new IOException(
          "records of more than " + RecordFraming.MAX_CONTENT_BYTES + " bytes at once");
    }
    repair();
    ByteBuffer frame = RecordFraming.frame(nextSequence, records);
    int length = frame.remaining();
    hasTornFrame = true; // until the frame is complete
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
   * Removes the remains of a frame or file whose write failed, which recovery would read after a
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
   * Bytes of the log since the last snapshot.
   *
   * @return the size
   */
  public long size() {
    return acknowledgedBytes;
  }

  /**
   * The sequence number of the last record.
   *
   * @return its sequence number, 0 where there is none
   */
  public long lastSequence() {
    return nextSequence - 1;
  }

  /** A snapshot that is being written, in steps between which records can be appended. */
  public final class Snapshot {
    private final long covers;
    private final Iterator<byte[]> pieces;
    private final Disk.OpenFile temporary;
    private long frames;

    private Snapshot(Iterator<byte[]> pieces) throws IOException {
      this.covers = nextSequence - 1;
      this.pieces = pieces;
      repair();
      if (acknowledgedBytes > RecordFraming.HEADER_BYTES
          || !name.equals(fileName(LOG, nextSequence))) {
        startFile(); // so that the file before it can be deleted
      }
      temporary = disk.open(TEMPORARY);
      temporary.truncate(0);
      temporary.append(RecordFraming.header(covers));
    }

    /**
     * Writes the next frame of it.
     *
     * @return false once it is complete and forced, and the files that it covers are deleted
     * @throws IOException where that fails; the snapshot is abandoned, and the journal is as before
     */
    public boolean step() throws IOException {
      try {
        List<byte[]> frame = new ArrayList<>();
        int bytes = 0;
        while (bytes < SNAPSHOT_FRAME_BYTES && pieces.hasNext()) {
          byte[] piece = pieces.next();
          frame.add(piece);
          bytes += piece.length;
        }
        if (!frame.isEmpty()) {
          temporary.append(RecordFraming.frame(frames++, frame));
          return true;
        }
        byte[] count = ByteBuffer.allocate(Long.BYTES).putLong(frames).array();
        temporary.append(RecordFraming.frame(SnapshotReader.LAST_FRAME, List.of(count)));
        temporary.force();
      } catch (IOException failed) {
        abandon();
        throw failed;
      }
      temporary.close();
      disk.rename(TEMPORARY, fileName(SNAPSHOT, covers));
      disk.forceDirectory();
      for (String found : disk.list()) {
        if (isCovered(found)) {
          disk.delete(found);
        }
      }
      return false;
    }

    private boolean isCovered(String found) {
      boolean formerSnapshot = found.startsWith(SNAPSHOT) && sequence(found, SNAPSHOT) < covers;
      boolean formerLog =
          found.startsWith(LOG) && sequence(found, LOG) <= covers && !found.equals(name);
      return formerSnapshot || formerLog;
    }

    /** Abandons it; the journal is as before. */
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
   * @param pieces the state, in pieces of 16 MiB at most
   * @return the snapshot, to be written step by step
   * @throws IOException where it cannot be started; the journal is as before
   */
  public Snapshot snapshot(Iterator<byte[]> pieces) throws IOException {
    return new Snapshot(pieces);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
