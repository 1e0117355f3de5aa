package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the files of the store. A file is a header with magic, version, first
 * sequence number and checksum, followed by frames. A frame holds the records that were written and
 * forced together: its magic, the length of its content, the sequence number of its first record,
 * the number of its records, a CRC-32C of all these and of the content (polynomial in RFC 3720
 * appendix B.4), and the content, in which each record follows its length. All numbers are
 * big-endian.
 */
final class RecordFraming {
  /** The length of the header of a file. */
  static final int HEADER_BYTES = 24;

  /** The maximum length of the content of a frame. */
  static final int MAX_CONTENT_BYTES = 64 << 20;

  // The ASCII characters "moth-log".
  private static final long FILE_MAGIC = 0x6d6f74682d6c6f67L;
  private static final int VERSION = 1;
  private static final int FRAME_MAGIC = 0x6d77f7a3;
  private static final int FRAME_HEADER_BYTES = 24;
  private static final int LENGTH_OFFSET = 4;
  private static final int SEQUENCE_OFFSET = 8;
  private static final int COUNT_OFFSET = 16;
  private static final int CHECKSUM_OFFSET = 20;
  private static final int SEARCH_WINDOW_BYTES = 1 << 16;

  /**
   * A frame read from a file.
   *
   * @param firstSequence the sequence number of its first record
   * @param records its records
   * @param end the offset of its end in the file
   */
  record Frame(long firstSequence, List<byte[]> records, long end) {}

  private RecordFraming() {}

  /** Encodes the header of a file. */
  static ByteBuffer encodeHeader(long firstSequence) {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    header.putLong(FILE_MAGIC).putInt(VERSION).putLong(firstSequence);
    CRC32C crc = new CRC32C();
    crc.update(header.array(), 0, HEADER_BYTES - 4);
    return header.putInt((int) crc.getValue()).flip();
  }

  /**
   * Reads the first sequence number of a file; empty if its header is incomplete or damaged.
   *
   * @throws CorruptRecordException if a newer version of this program wrote the file
   */
  static OptionalLong readFirstSequence(Disk.OpenFile file, String name) throws IOException {
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
    boolean isIntact = (int) crc.getValue() == header.getInt() && magic == FILE_MAGIC;
    if (isIntact && version > VERSION) {
      throw new CorruptRecordException(name, 0, "written by a newer version of this program");
    }
    return isIntact && version == VERSION && first >= 0
        ? OptionalLong.of(first)
        : OptionalLong.empty();
  }

  /** Encodes a frame of records. */
  static ByteBuffer encodeFrame(long firstSequence, List<byte[]> records) {
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

  /** Reads the frame at an offset of a file; empty if it is incomplete or damaged. */
  static Optional<Frame> readFrame(Disk.OpenFile file, long offset) throws IOException {
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
   * Returns the offset of the next undamaged frame, at or after {@code from}, whose first sequence
   * number is at least {@code minSequence}; empty if there is none.
   */
  static OptionalLong findFrame(Disk.OpenFile file, long from, long minSequence)
      throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(SEARCH_WINDOW_BYTES);
    for (long windowStart = from;
        windowStart + FRAME_HEADER_BYTES <= file.size();
        windowStart += SEARCH_WINDOW_BYTES - (Integer.BYTES - 1)) {
      bytes.clear();
      int read = file.read(bytes, windowStart);
      for (int i = 0; i + Integer.BYTES <= read; i++) {
        if (bytes.getInt(i) == FRAME_MAGIC) {
          Optional<Frame> frame = readFrame(file, windowStart + i);
          if (frame.isPresent() && frame.get().firstSequence() >= minSequence) {
            return OptionalLong.of(windowStart + i);
          }
        }
      }
    }
    return OptionalLong.empty();
  }
}
