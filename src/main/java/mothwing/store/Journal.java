package mothwing.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * One append log with snapshots, on a {@link Disk}. Records are numbered; those that are appended
 * at once are written as one frame and forced before {@link #append} returns. A snapshot is written
 * aside, forced and renamed; the log goes on in a new file, and what the snapshot covers is
 * deleted. Opening reads the newest snapshot and all records after it. A frame that is cut at the
 * very end was never acknowledged: it is cut off and logged. A frame that is damaged before the end
 * was: then opening fails, naming the place.
 *
 * <p>It blocks, and belongs to one thread at a time. After a failure the file is cut back to what
 * was acknowledged; while that fails too, each further append tries it again first.
 */
public final class Journal implements AutoCloseable {
  private static final String LOG = "log-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String ASIDE = "aside.tmp";
  private static final int CHUNK = 1 << 20; // bytes of a snapshot's frame

  /** Takes what was stored, in order: at most one snapshot, then the records after it. */
  public interface Replay {
    /** A piece of the snapshot. */
    void snapshot(byte[] piece) throws IOException;

    /** A record. */
    void record(byte[] record) throws IOException;
  }

  private final Disk disk;
  private final Consumer<String> log;
  private Disk.Opened file;
  private String name;
  private long good;
  private long next;
  private boolean broken;
  private String leftover;

  private Journal(Disk disk, Consumer<String> log) {
    this.disk = disk;
    this.log = log;
  }

  /**
   * Opens a journal, or makes one.
   *
   * @param disk where its files are
   * @param replay takes what it holds
   * @param log takes lines on what was cut or is left over
   * @return the journal, to be appended to
   * @throws Corrupt where a file is damaged before its end
   * @throws IOException where the files cannot be read or written
   */
  public static Journal open(Disk disk, Replay replay, Consumer<String> log) throws IOException {
    Journal journal = new Journal(disk, log);
    journal.recover(replay);
    return journal;
  }

  private static String named(String kind, long sequence) {
    return kind + String.format("%016x", sequence);
  }

  private static long sequence(String file, String kind) {
    return Long.parseUnsignedLong(file, kind.length(), file.length(), 16);
  }

  private void recover(Replay replay) throws IOException {
    List<String> logs = new ArrayList<>();
    List<String> snapshots = new ArrayList<>();
    for (String one : disk.list()) {
      if (one.matches("log-[0-9a-f]{16}")) {
        logs.add(one);
      } else if (one.matches("snapshot-[0-9a-f]{16}")) {
        snapshots.add(one);
      } else if (one.equals(ASIDE)) {
        disk.delete(one);
      }
    }
    next = 1;
    if (!snapshots.isEmpty()) {
      String newest = snapshots.get(snapshots.size() - 1);
      next = sequence(newest, SNAPSHOT) + 1;
      readSnapshot(newest, replay);
    }
    // A log is needed where it holds records that the snapshot does not cover.
    int from = logs.size() - 1;
    while (from > 0 && sequence(logs.get(from), LOG) > next) {
      from--;
    }
    for (int i = Math.max(0, from); i < logs.size(); i++) {
      readLog(logs.get(i), i == logs.size() - 1, replay);
    }
    if (file == null) {
      begin();
    }
    for (String one : logs.subList(0, Math.max(0, from))) {
      disk.delete(one);
    }
    for (String one : snapshots.subList(0, Math.max(0, snapshots.size() - 1))) {
      disk.delete(one);
    }
  }

  private void readSnapshot(String snapshot, Replay replay) throws IOException {
    try (Disk.Opened opened = disk.open(snapshot)) {
      long at =
          RecordFraming.first(opened, snapshot) == sequence(snapshot, SNAPSHOT)
              ? RecordFraming.HEAD
              : -1;
      long pieces = 0;
      while (at >= 0 && at < opened.size()) {
        RecordFraming.Frame frame = RecordFraming.read(opened, at);
        if (frame == null || (frame.first() != pieces && frame.first() != -1)) {
          throw new CorruptRecordException(snapshot, at, "a damaged piece of the snapshot");
        }
        if (frame.first() == -1) { // the last: says how many there were
          if (frame.records().size() != 1
              || java.nio.ByteBuffer.wrap(frame.records().get(0)).getLong() != pieces) {
            throw new CorruptRecordException(snapshot, at, "pieces of the snapshot are missing");
          }
          return;
        }
        for (byte[] piece : frame.records()) {
          replay.snapshot(piece);
        }
        pieces++;
        at = frame.end();
      }
      throw new CorruptRecordException(snapshot, Math.max(0, at), "the snapshot is cut short");
    }
  }

  private void readLog(String log, boolean last, Replay replay) throws IOException {
    Disk.Opened opened = disk.open(log);
    boolean kept = false;
    try {
      long first = RecordFraming.first(opened, log);
      if (first < 0 && last && RecordFraming.findAfter(opened, 0, next) < 0) {
        this.log.accept("journal-cut file=" + log + " at=0 bytes=" + opened.size());
        disk.delete(log); // it was being made; nothing in it was acknowledged
        return;
      } else if (first < 0 || first != sequence(log, LOG) || first > next) {
        throw new CorruptRecordException(
            log,
            0,
            first > next
                ? "records " + next + " to " + (first - 1) + " are missing"
                : "the head is damaged");
      }
      long at = RecordFraming.HEAD;
      long expected = first;
      while (at < opened.size()) {
        RecordFraming.Frame frame = RecordFraming.read(opened, at);
        if (frame != null && frame.first() != expected) {
          throw new CorruptRecordException(
              log, at, "a frame with record " + frame.first() + ", expected " + expected);
        } else if (frame == null) {
          cut(opened, log, at, last, expected);
          break;
        }
        for (byte[] record : frame.records()) {
          if (expected >= next) { // those before are in the snapshot
            replay.record(record);
            next = expected + 1;
          }
          expected++;
        }
        at = frame.end();
      }
      if (last) {
        next = Math.max(next, expected);
        if (expected < next) {
          return; // all of it is in the snapshot, and more: a new file goes on
        }
        file = opened;
        name = log;
        good = at;
        kept = true;
      }
    } finally {
      if (!kept) {
        opened.close();
      }
    }
  }

  private void cut(Disk.Opened opened, String log, long at, boolean last, long expected)
      throws IOException {
    long later = RecordFraming.findAfter(opened, at + 1, expected);
    if (!last || later >= 0) {
      throw new CorruptRecordException(
          log,
          at,
          "a damaged frame, followed by whole ones"
              + (later >= 0 ? " at byte " + later : " in the next file"));
    }
    this.log.accept("journal-cut file=" + log + " at=" + at + " bytes=" + (opened.size() - at));
    opened.truncate(at);
    opened.force();
  }

  /** Begins a new file, from the next record on. */
  private void begin() throws IOException {
    String fresh = named(LOG, next);
    Disk.Opened opened = disk.open(fresh);
    try {
      opened.truncate(0);
      opened.append(RecordFraming.head(next));
      opened.force();
      disk.forceNames();
    } catch (IOException failed) {
      leftover =
          fresh; // a later file beside one that goes on would be read as the one that went on
      opened.close();
      tryRepair();
      throw failed;
    }
    if (file != null) {
      file.close();
    }
    file = opened;
    name = fresh;
    good = RecordFraming.HEAD;
  }

  /**
   * Appends records, all or none, and forces them.
   *
   * @param records the records; none writes a frame without any, which marks that all before was
   *     acknowledged
   * @throws IOException where they could not be written: none of them is in the journal
   */
  public void append(List<byte[]> records) throws IOException {
    if (records.stream().mapToLong(one -> one.length + 4L).sum() > RecordFraming.MOST_FRAME) {
      throw new IOException("records of more than " + RecordFraming.MOST_FRAME + " bytes at once");
    }
    repair();
    java.nio.ByteBuffer frame = RecordFraming.frame(next, records);
    int length = frame.remaining();
    broken = true; // until it is known to be whole
    try {
      file.append(frame);
      file.force();
      broken = false;
    } finally {
      if (broken) {
        tryRepair();
      }
    }
    good += length;
    next += records.size();
  }

  private void tryRepair() {
    try {
      repair();
    } catch (IOException still) {
      log.accept("journal-broken file=" + name + " what=\"" + still.getMessage() + "\"");
    }
  }

  /**
   * Takes away what may be left of a frame or file that failed: else it could come back after a
   * crash.
   */
  private void repair() throws IOException {
    if (leftover != null) {
      disk.delete(leftover);
      disk.forceNames();
      leftover = null;
    }
    if (broken) {
      file.truncate(good);
      file.force();
      broken = false;
    }
  }

  /**
   * Bytes of the log since the last snapshot.
   *
   * @return the size
   */
  public long size() {
    return good;
  }

  /**
   * The number of the last record.
   *
   * @return its sequence number, 0 where there is none
   */
  public long last() {
    return next - 1;
  }

  /** A snapshot that is being written: piece by piece, so that appends can come between. */
  public final class Snapshot {
    private final long covers;
    private final Iterator<byte[]> pieces;
    private final Disk.Opened aside;
    private long frames;

    private Snapshot(Iterator<byte[]> pieces) throws IOException {
      this.covers = next - 1;
      this.pieces = pieces;
      repair();
      if (good > RecordFraming.HEAD || !name.equals(named(LOG, next))) {
        begin(); // what comes from now on is in a file of its own
      }
      aside = disk.open(ASIDE);
      aside.truncate(0);
      aside.append(RecordFraming.head(covers));
    }

    /**
     * Writes some more of it.
     *
     * @return false once it is whole, forced, and has taken the place of what it covers
     * @throws IOException where that fails; the snapshot is given up, and all is as before
     */
    public boolean step() throws IOException {
      try {
        List<byte[]> some = new ArrayList<>();
        int bytes = 0;
        while (bytes < CHUNK && pieces.hasNext()) {
          byte[] one = pieces.next();
          some.add(one);
          bytes += one.length;
        }
        if (!some.isEmpty()) {
          aside.append(RecordFraming.frame(frames++, some));
          return true;
        }
        byte[] count = java.nio.ByteBuffer.allocate(8).putLong(frames).array();
        aside.append(RecordFraming.frame(-1, List.of(count)));
        aside.force();
      } catch (IOException failed) {
        giveUp();
        throw failed;
      }
      aside.close();
      disk.rename(ASIDE, named(SNAPSHOT, covers));
      disk.forceNames();
      for (String one : disk.list()) {
        if ((one.startsWith(SNAPSHOT) && sequence(one, SNAPSHOT) < covers)
            || (one.startsWith(LOG) && sequence(one, LOG) <= covers && !one.equals(name))) {
          disk.delete(one);
        }
      }
      return false;
    }

    /** Gives it up. */
    public void giveUp() {
      try {
        aside.close();
        disk.delete(ASIDE);
      } catch (IOException left) {
        log.accept("journal-left file=" + ASIDE + " what=\"" + left.getMessage() + "\"");
      }
    }
  }

  /**
   * Begins a snapshot of the state after the last record.
   *
   * @param pieces the state, in pieces of 16 MiB at most
   * @return what writes it
   * @throws IOException where it cannot be begun; all is as before
   */
  public Snapshot snapshot(Iterator<byte[]> pieces) throws IOException {
    return new Snapshot(pieces);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
