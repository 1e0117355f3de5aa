package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mothwing.store.CorruptRecordException;
import mothwing.store.Disk;
import mothwing.store.Journal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the files of a journal against recordings: they are written byte for byte as recorded,
 * read back, and rejected or truncated if damaged.
 */
class StoredJournalTest {
  private static final String FIRST_LOG = "log-0000000000000001";
  private static final String LOG = "log-0000000000000004";
  private static final String SNAPSHOT = "snapshot-0000000000000003";

  /** The bytes after which a snapshot starts another frame. */
  private static final int SNAPSHOT_FRAME_BYTES = 1 << 20;

  private static final int HEADER_BYTES = 24;

  /** The offset of each frame of the first log, then its length. */
  private static final int[] FIRST_LOG_OFFSETS = {24, 66, 100};

  @TempDir private Path folder;
  private final List<String> lines = new ArrayList<>();
  private final List<String> snapshotParts = new ArrayList<>();
  private final List<String> records = new ArrayList<>();

  private Journal open() throws IOException {
    snapshotParts.clear();
    records.clear();
    lines.clear();
    return Journal.open(
        Disk.of(folder),
        new Journal.Replay() {
          @Override
          public void snapshot(byte[] part) {
            snapshotParts.add(new String(part, StandardCharsets.ISO_8859_1));
          }

          @Override
          public void record(byte[] record) {
            records.add(new String(record, StandardCharsets.ISO_8859_1));
          }
        },
        lines::add);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static List<byte[]> encode(String... records) {
    return Arrays.stream(records).map(StoredJournalTest::bytes).toList();
  }

  private byte[] stored(String file) throws IOException {
    return Files.readAllBytes(folder.resolve(file));
  }

  private void store(String file, byte[] content) throws IOException {
    Files.write(folder.resolve(file), content);
  }

  private void assertCorrupt(String message) {
    assertEquals(message, assertThrows(CorruptRecordException.class, this::open).getMessage());
  }

  private static byte[] flipped(byte[] content, int offset) {
    byte[] changed = content.clone();
    changed[offset] ^= 1;
    return changed;
  }

  @Test
  void writesRecordedFiles() throws IOException {
    try (Journal journal = open()) {
      journal.append(encode("alpha", "bravo"));
      journal.append(encode("\0\1\u00fe\u00ff\r\n"));
      HexFile.assertRecorded("journal/" + FIRST_LOG, stored(FIRST_LOG));
      Journal.Snapshot snapshot =
          journal.snapshot(
              List.of(new byte[SNAPSHOT_FRAME_BYTES], bytes("piece two"), bytes("")).iterator());
      snapshot.step();
      journal.append(encode("charlie"));
      while (snapshot.step()) {
        journal.append(List.of());
      }
      journal.append(encode("delta", ""));
      assertEquals(6, journal.lastSequence());
      assertEquals(stored(LOG).length, journal.size());
    }
    assertEquals(List.of(LOG, SNAPSHOT), Disk.of(folder).list());
    HexFile.assertRecorded("journal/" + LOG, stored(LOG));
    HexFile.assertRecorded("journal/" + SNAPSHOT, stored(SNAPSHOT));
  }

  @Test
  void readsRecordedFiles() throws IOException {
    store(LOG, HexFile.read("journal/" + LOG));
    store(SNAPSHOT, HexFile.read("journal/" + SNAPSHOT));
    try (Journal journal = open()) {
      assertEquals(List.of("\0".repeat(SNAPSHOT_FRAME_BYTES), "piece two", ""), snapshotParts);
      assertEquals(List.of("charlie", "delta", ""), records);
      assertEquals(6, journal.lastSequence());
      assertEquals(List.of(), lines);
    }
    assertArrayEquals(HexFile.read("journal/" + LOG), stored(LOG));
    assertArrayEquals(HexFile.read("journal/" + SNAPSHOT), stored(SNAPSHOT));
  }

  @Test
  void readsRecordedLogWithoutSnapshotAndAppends() throws IOException {
    store(FIRST_LOG, HexFile.read("journal/" + FIRST_LOG));
    try (Journal journal = open()) {
      assertEquals(List.of("alpha", "bravo", "\0\1\u00fe\u00ff\r\n"), records);
      assertEquals(3, journal.lastSequence());
      assertEquals(FIRST_LOG_OFFSETS[2], journal.size());
      journal.append(encode("four"));
    }
    HexFile.assertRecorded("journal/continued-log", stored(FIRST_LOG));
  }

  @Test
  void truncatesRecordedLogAtIncompleteFrame() throws IOException {
    byte[] whole = HexFile.read("journal/" + FIRST_LOG);
    assertEquals(FIRST_LOG_OFFSETS[2], whole.length);
    for (int length = FIRST_LOG_OFFSETS[1] + 1; length < whole.length; length++) {
      store(FIRST_LOG, Arrays.copyOf(whole, length));
      try (Journal journal = open()) {
        assertEquals(List.of("alpha", "bravo"), records);
        assertEquals(2, journal.lastSequence());
      }
      int truncatedBytes = length - FIRST_LOG_OFFSETS[1];
      assertEquals(
          List.of("journal-cut file=" + FIRST_LOG + " at=66 bytes=" + truncatedBytes), lines);
      assertArrayEquals(Arrays.copyOf(whole, FIRST_LOG_OFFSETS[1]), stored(FIRST_LOG));
    }
  }

  @Test
  void truncatesRecordedLogAtDamagedLastFrame() throws IOException {
    byte[] whole = HexFile.read("journal/" + FIRST_LOG);
    for (int offset = FIRST_LOG_OFFSETS[1]; offset < whole.length; offset++) {
      store(FIRST_LOG, flipped(whole, offset));
      open().close();
      assertEquals(List.of("alpha", "bravo"), records);
      assertEquals(List.of("journal-cut file=" + FIRST_LOG + " at=66 bytes=34"), lines);
      assertArrayEquals(Arrays.copyOf(whole, FIRST_LOG_OFFSETS[1]), stored(FIRST_LOG));
    }
  }

  @Test
  void restartsLogWithIncompleteHeader() throws IOException {
    byte[] whole = HexFile.read("journal/" + FIRST_LOG);
    for (int length = 0; length < HEADER_BYTES; length++) {
      store(FIRST_LOG, Arrays.copyOf(whole, length));
      open().close();
      assertEquals(List.of(), records);
      assertEquals(List.of("journal-cut file=" + FIRST_LOG + " at=0 bytes=" + length), lines);
      assertArrayEquals(Arrays.copyOf(whole, HEADER_BYTES), stored(FIRST_LOG));
    }
  }

  @Test
  void rejectsRecordedLogDamagedInTheMiddle() throws IOException {
    byte[] whole = HexFile.read("journal/" + FIRST_LOG);
    for (int offset = FIRST_LOG_OFFSETS[0]; offset < FIRST_LOG_OFFSETS[1]; offset++) {
      store(FIRST_LOG, flipped(whole, offset));
      assertCorrupt(
          FIRST_LOG + " at byte 24: a damaged frame, followed by intact frames at byte 66");
      assertArrayEquals(flipped(whole, offset), stored(FIRST_LOG));
    }
    for (int offset = 0; offset < HEADER_BYTES; offset++) {
      store(FIRST_LOG, flipped(whole, offset));
      assertCorrupt(FIRST_LOG + " at byte 0: the file header is damaged");
    }
  }

  @Test
  void rejectsRecordedFilesWithMissingRecords() throws IOException {
    store(LOG, HexFile.read("journal/" + LOG));
    assertCorrupt(LOG + " at byte 0: records 1 to 3 are missing");
    store(FIRST_LOG, Arrays.copyOf(HexFile.read("journal/" + FIRST_LOG), 99));
    assertCorrupt(
        FIRST_LOG + " at byte 66: a damaged frame, followed by intact frames in the next file");
  }

  @Test
  void rejectsDamagedOrTruncatedRecordedSnapshot() throws IOException {
    byte[] whole = HexFile.read("journal/" + SNAPSHOT);
    store(LOG, HexFile.read("journal/" + LOG));
    int secondFrame = HEADER_BYTES + HEADER_BYTES + 4 + SNAPSHOT_FRAME_BYTES;
    int lastFrame = secondFrame + HEADER_BYTES + 4 + "piece two".length() + 4;
    store(SNAPSHOT, flipped(whole, 0));
    assertCorrupt(SNAPSHOT + " at byte 0: the snapshot is truncated");
    store(SNAPSHOT, flipped(whole, HEADER_BYTES + 100));
    assertCorrupt(SNAPSHOT + " at byte 24: a damaged frame of the snapshot");
    store(SNAPSHOT, flipped(whole, secondFrame));
    assertCorrupt(SNAPSHOT + " at byte " + secondFrame + ": a damaged frame of the snapshot");
    store(SNAPSHOT, flipped(whole, lastFrame));
    assertCorrupt(SNAPSHOT + " at byte " + lastFrame + ": a damaged frame of the snapshot");
    store(SNAPSHOT, Arrays.copyOf(whole, lastFrame));
    assertCorrupt(SNAPSHOT + " at byte " + lastFrame + ": the snapshot is truncated");
  }

  @Test
  void rejectsFileOfANewerVersion() throws IOException {
    store(FIRST_LOG, HexFile.read("journal/later-version"));
    assertCorrupt(FIRST_LOG + " at byte 0: written by a newer version of this program");
  }
}
