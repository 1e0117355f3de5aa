package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.zip.CRC32C;

/**
 * The format of the store's files: a header with magic, version, first sequence number and
 * checksum, then frames. A frame holds the records that were written and forced together: its
 * magic, the length of its content, the sequence number of its first record, the number of its
 * records, a CRC-32C of all these and of the content (RFC 3720 appendix B.4 has the polynomial),
 * and the content, which is its records, each behind its length. All numbers are big-endian.
 */
final class RecordFraming {
  /** Length of a file's header. */
  static final int HEADER_BYTES = 24;

  /** Bounds the content of a frame. */
  static final int MAX_CONTENT_BYTES = 64 << 20;

  private static final long FILE_MAGIC = 0x6d6f74682d6c6f67L; // "moth-log"
  private static final int VERSION = 1;
  private static final int FRAME_MAGIC = 0x6d77f7a3;
  private static final int FRAME_HEADER_BYTES = 24;
  private static final int LENGTH_OFFSET = 4;
  private static final int SEQUENCE_OFFSET = 8;
  private static final int COUNT_OFFSET = 16;
  private static final int CHECKSUM_OFFSET = 20;
  private static final int SEARCH_WINDOW_BYTES = 1 << 16;

  /**
   * A frame that was read.
   *
   * @param firstSequence the sequence number of its first record
   * @param records its records
   * @param end the offset behind it in its file
   */
  record Frame(long firstSequence, List<byte[]> records, long end) {}

  private RecordFraming() {}

  /** The header of a file. */
  static ByteBuffer header(long firstSequence) {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    header.putLong(FILE_MAGIC).putInt(VERSION).putLong(firstSequence);
    CRC32C crc = new CRC32C();
    crc.update(header.array(), 0, HEADER_BYTES - 4);
    return header.putInt((int) crc.getValue()).flip();
  }

  /**
   * The first sequence number of a file, or none where its header is incomplete or damaged.
   *
   * @throws CorruptRecordException where a newer version of this program wrote it
   */
  static OptionalLong firstSequence(Disk.OpenFile file, String name) throws IOException {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    if (file.read(header, 0) < HEADER_BYTES) {
      return OptionalLong.empty();
    }
    CRC32C crc = new CRC32C();
    crc.update(header.array(), 0, HEADER_BYTES - 4);
    header.flip();
    long magic = header.getLong();
    int version = header.getInt();
    long first = header.getLong();
    boolean isComplete = (int) crc.getValue() == header.getInt() && magic == FILE_MAGIC;
    if (isComplete && version > VERSION) {
      throw new CorruptRecordException(name, 0, "written by a newer version of this program");
    }
    return isComplete && version == VERSION && first >= 0
        ? OptionalLong.of(first)
        : OptionalLong.empty();
  }

  /** A frame of these records. */
  static ByteBuffer frame(long firstSequence, List<byte[]> records) {
    int length = records.stream().mapToInt(record -> Integer.BYTES + record.length).sum();
    ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + length);
    frame
        .putInt(FRAME_MAGIC)
        .putInt(length)
        .putLong(firstSequence)
        .putInt(records.size())
        .putInt(0);
    for (byte[] record : records) {
      frame.putInt(record.length).put(record);
    }
    frame.putInt(CHECKSUM_OFFSET, checksum(frame.array(), length));
    return frame.flip();
  }

  private static int checksum(byte[] frame, int length) {
    CRC32C crc = new CRC32C();
    crc.update(frame, 0, CHECKSUM_OFFSET);
    crc.update(frame, FRAME_HEADER_BYTES, length);
    return (int) crc.getValue();
  }

  /** The frame at an offset of a file, or none where it is incomplete or damaged. */
  static Optional<Frame> read(Disk.OpenFile file, long offset) throws IOException {
    ByteBuffer header = ByteBuffer.allocate(FRAME_HEADER_BYTES);
    if (file.read(header, offset) < FRAME_HEADER_BYTES || header.getInt(0) != FRAME_MAGIC) {
      return Optional.empty();
    }
    int length = header.getInt(LENGTH_OFFSET);
    if (length < 0
        || length > MAX_CONTENT_BYTES
        || offset + FRAME_HEADER_BYTES + length > file.size()) {
      return Optional.empty();
    }
    ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + length);
    file.read(frame, offset);
    if (checksum(frame.array(), length) != frame.getInt(CHECKSUM_OFFSET)) {
      return Optional.empty();
    }
    frame.position(FRAME_HEADER_BYTES);
    List<byte[]> records = new ArrayList<>();
    for (int i = 0; i < frame.getInt(COUNT_OFFSET); i++) {
      byte[] record = new byte[frame.getInt()];
      frame.get(record);
      records.add(record);
    }
    return Optional.of(
        new Frame(frame.getLong(SEQUENCE_OFFSET), records, offset + FRAME_HEADER_BYTES + length));
  }

  /**
   * The offset, at or after another, of the next undamaged frame whose first sequence number is at
   * least {@code minSequence}, or none.
   */
  static OptionalLong findFrame(Disk.OpenFile file, long from, long minSequence)
      throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(SEARCH_WINDOW_BYTES);
    for (long at = from;
        at + FRAME_HEADER_BYTES <= file.size();
        at += SEARCH_WINDOW_BYTES - (Integer.BYTES - 1)) {
      bytes.clear();
      int read = file.read(bytes, at);
      for (int i = 0; i + Integer.BYTES <= read; i++) {
        if (bytes.getInt(i) == FRAME_MAGIC) {
          Optional<Frame> frame = read(file, at + i);
          if (frame.isPresent() && frame.get().firstSequence() >= minSequence) {
            return OptionalLong.of(at + i);
          }
        }
      }
    }
    return OptionalLong.empty();
  }
}
