package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;

/** Reads the snapshots of a journal: numbered frames of chunks, then a frame with their count. */
final class SnapshotReader {
  /** The sequence number of the last frame of a snapshot. */
  static final long LAST_FRAME = -1;

  private SnapshotReader() {}

  /**
   * Reads a snapshot.
   *
   * @param disk the disk that holds the snapshot
   * @param snapshot the name of its file
   * @param sequence the sequence number of the last record that it covers
   * @param replay receives its chunks
   * @throws CorruptRecordException if the snapshot is damaged or incomplete
   */
  static void read(Disk disk, String snapshot, long sequence, Journal.Replay replay)
      throws IOException {
    try (Disk.OpenFile opened = disk.open(snapshot)) {
      OptionalLong lastCovered = RecordFraming.readFirstSequence(opened, snapshot);
      if (lastCovered.isEmpty() || lastCovered.getAsLong() != sequence) {
        throw new CorruptRecordException(snapshot, 0, "the snapshot is truncated");
      }
      long offset = RecordFraming.HEADER_BYTES;
      long frames = 0;
      while (offset < opened.size()) {
        RecordFraming.Frame frame = readFrame(opened, snapshot, offset, frames);
        if (frame.firstSequence() == LAST_FRAME) {
          return;
        }
        for (byte[] chunk : frame.records()) {
          replay.snapshot(chunk);
        }
        frames++;
        offset = frame.end();
      }
      throw new CorruptRecordException(snapshot, offset, "the snapshot is truncated");
    }
  }

  /** Reads a frame of a snapshot. The last frame holds the number of frames before it. */
  private static RecordFraming.Frame readFrame(
      Disk.OpenFile opened, String snapshot, long offset, long frameNumber) throws IOException {
    Optional<RecordFraming.Frame> read = RecordFraming.readFrame(opened, offset);
    if (read.isEmpty()
        || (read.get().firstSequence() != frameNumber
            && read.get().firstSequence() != LAST_FRAME)) {
      throw new CorruptRecordException(snapshot, offset, "a damaged frame of the snapshot");
    }
    RecordFraming.Frame frame = read.get();
    if (frame.firstSequence() == LAST_FRAME
        && (frame.records().size() != 1
            || ByteBuffer.wrap(frame.records().get(0)).getLong() != frameNumber)) {
      throw new CorruptRecordException(snapshot, offset, "frames of the snapshot are missing");
    }
    return frame;
  }
}
