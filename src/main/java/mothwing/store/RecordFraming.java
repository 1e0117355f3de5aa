package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The form of the store's files: a head with magic, version, kind and a first sequence number, then
 * frames. A frame is what was written and forced at once: its magic, the length of its content, the
 * sequence number of its first record, the number of its records, a CRC-32C of all that (RFC 3720
 * appendix B.4 has the polynomial) and its records, each behind its length. All numbers are
 * big-endian.
 */
final class RecordFraming {
  /** Bytes of a file's head. */
  static final int HEAD = 24;

  /** Most bytes of a frame's content. */
  static final int MOST_FRAME = 64 << 20;

  private static final long FILE_MAGIC = 0x6d6f74682d6c6f67L; // "moth-log"
  private static final int VERSION = 1;
  private static final int FRAME_MAGIC = 0x6d77f7a3;
  private static final int FRAME_HEAD = 24;
  private static final int CRC_AT = 20;

  /** What a frame says: its first sequence number, its records, and where it ends. */
  record Frame(long first, List<byte[]> records, long end) {}

  private RecordFraming() {}

  static ByteBuffer head(long first) {
    ByteBuffer head = ByteBuffer.allocate(HEAD);
    head.putLong(FILE_MAGIC).putInt(VERSION).putLong(first);
    CRC32C crc = new CRC32C();
    crc.update(head.array(), 0, HEAD - 4);
    return head.putInt((int) crc.getValue()).flip();
  }

  /** The first sequence number of a file, or -1 where it has no whole head. */
  static long first(Disk.Opened file, String name) throws IOException {
    ByteBuffer head = ByteBuffer.allocate(HEAD);
    if (file.read(head, 0) < HEAD) {
      return -1;
    }
    CRC32C crc = new CRC32C();
    crc.update(head.array(), 0, HEAD - 4);
    head.flip();
    long magic = head.getLong();
    int version = head.getInt();
    long first = head.getLong();
    boolean whole = (int) crc.getValue() == head.getInt();
    if (whole && magic == FILE_MAGIC && version > VERSION) {
      throw new CorruptRecordException(name, 0, "written by a newer version of this program");
    }
    return whole && magic == FILE_MAGIC && version == VERSION ? first : -1;
  }

  static ByteBuffer frame(long first, List<byte[]> records) {
    int length = records.stream().mapToInt(one -> 4 + one.length).sum();
    ByteBuffer frame = ByteBuffer.allocate(FRAME_HEAD + length);
    frame.putInt(FRAME_MAGIC).putInt(length).putLong(first).putInt(records.size()).putInt(0);
    for (byte[] one : records) {
      frame.putInt(one.length).put(one);
    }
    frame.putInt(CRC_AT, crc(frame.array(), 0, length));
    return frame.flip();
  }

  private static int crc(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, CRC_AT);
    crc.update(bytes, from + FRAME_HEAD, length);
    return (int) crc.getValue();
  }

  /** The frame at a place of a file, or null where there is no whole one. */
  static Frame read(Disk.Opened file, long at) throws IOException {
    ByteBuffer head = ByteBuffer.allocate(FRAME_HEAD);
    if (file.read(head, at) < FRAME_HEAD || head.getInt(0) != FRAME_MAGIC) {
      return null;
    }
    int length = head.getInt(4);
    if (length < 0 || length > MOST_FRAME || at + FRAME_HEAD + length > file.size()) {
      return null;
    }
    ByteBuffer whole = ByteBuffer.allocate(FRAME_HEAD + length);
    file.read(whole, at);
    if (crc(whole.array(), 0, length) != whole.getInt(CRC_AT)) {
      return null;
    }
    whole.position(FRAME_HEAD);
    List<byte[]> records = new ArrayList<>();
    for (int i = 0; i < whole.getInt(16); i++) {
      byte[] record = new byte[whole.getInt()];
      whole.get(record);
      records.add(record);
    }
    return new Frame(whole.getLong(8), records, at + FRAME_HEAD + length);
  }

  /**
   * Where a whole frame with a sequence number of at least {@code least} begins at or after a
   * place, or -1.
   */
  static long findAfter(Disk.Opened file, long from, long least) throws IOException {
    int window = 1 << 16;
    ByteBuffer bytes = ByteBuffer.allocate(window);
    for (long at = from; at + FRAME_HEAD <= file.size(); at += window - 3) {
      bytes.clear();
      int read = file.read(bytes, at);
      for (int i = 0; i + 4 <= read; i++) {
        if (bytes.getInt(i) == FRAME_MAGIC) {
          Frame found = read(file, at + i);
          if (found != null && found.first() >= least) {
            return at + i;
          }
        }
      }
    }
    return -1;
  }
}
