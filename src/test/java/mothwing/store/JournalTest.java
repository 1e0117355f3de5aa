package mothwing.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the journal with a list of the acknowledged records: after write failures, power losses
 * and torn frames it recovers exactly those.
 */
class JournalTest {
  private final List<String> logLines = new ArrayList<>();

  /** A journal and the records that were recovered when it was opened. */
  private record OpenedJournal(List<String> records, Journal journal) {}

  private OpenedJournal open(Disk disk) throws IOException {
    List<String> records = new ArrayList<>();
    Journal journal =
        Journal.open(
            disk,
            new Journal.Replay() {
              @Override
              public void snapshot(byte[] chunk) {
                records.add(new String(chunk, StandardCharsets.UTF_8));
              }

              @Override
              public void record(byte[] record) {
                records.add(new String(record, StandardCharsets.UTF_8));
              }
            },
            logLines::add);
    return new OpenedJournal(records, journal);
  }

  private static List<byte[]> bytes(List<String> records) {
    return records.stream().map(String::getBytes).toList();
  }

  /** Guards against lost and repeated records after power losses at random operations. */
  @Property(seed = "1764576021", tries = 300)
  void recoversEachAcknowledgedRecordOnceAfterPowerLoss(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    List<String> acknowledged = new ArrayList<>();
    int nextRecord = 0;
    for (int incarnation = 0; incarnation < 6; incarnation++) {
      List<String> attempted = new ArrayList<>();
      try {
        disk.failOperations(random.nextInt(40), Integer.MAX_VALUE);
        OpenedJournal opened = open(disk);
        assertEquals(acknowledged, opened.records);
        while (true) {
          if (random.nextInt(6) == 0) {
            Journal.Snapshot snapshot = opened.journal.snapshot(bytes(acknowledged).iterator());
            boolean more = snapshot.step();
            if (more && random.nextBoolean()) {
              attempted = List.of("r" + nextRecord++);
              opened.journal.append(bytes(attempted));
              acknowledged.addAll(attempted);
              attempted = new ArrayList<>();
            }
            while (more) {
              more = snapshot.step();
            }
          }
          attempted = new ArrayList<>();
          for (int i = random.nextInt(4); i >= 0; i--) {
            attempted.add("r" + nextRecord++ + "x".repeat(random.nextInt(90)));
          }
          opened.journal.append(bytes(attempted));
          acknowledged.addAll(attempted);
          attempted = new ArrayList<>();
        }
      } catch (CorruptRecordException damaged) {
        throw new AssertionError(damaged);
      } catch (IOException injected) {
        disk.powerLoss();
      }
      OpenedJournal after = open(disk);
      // The last batch may have been stored, as a whole.
      if (!after.records.equals(acknowledged)) {
        acknowledged.addAll(attempted);
        assertEquals(acknowledged, after.records);
      }
      after.journal.close();
      disk.powerLoss();
    }
  }

  /**
   * Guards against failed appends that reappear after a restart, and against a journal that stays
   * unusable after the disk was full for a while.
   */
  @Property(seed = "1764576022", tries = 200)
  void continuesAfterDiskWasFull(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    OpenedJournal opened = open(disk);
    List<String> acknowledged = new ArrayList<>();
    int failed = 0;
    for (int i = 0; i < 60; i++) {
      if (i % 12 == 6) {
        int from = 1 + random.nextInt(4);
        disk.failOperations(from, from + 1 + random.nextInt(6));
      }
      try {
        if (random.nextInt(8) == 0) {
          Journal.Snapshot snapshot = opened.journal.snapshot(bytes(acknowledged).iterator());
          while (snapshot.step()) {
            assertTrue(opened.journal.lastSequence() == acknowledged.size());
          }
        }
        opened.journal.append(bytes(List.of("r" + i)));
        acknowledged.add("r" + i);
      } catch (IOException full) {
        failed++;
      }
    }
    assertTrue(failed > 0 && acknowledged.size() > 20);
    disk.powerLoss();
    assertEquals(acknowledged, open(disk).records);
  }

  /**
   * Guards against undetected corruption: a flipped bit before the last frame is reported, and a
   * last frame with a flipped bit is truncated and logged.
   */
  @Property(seed = "1764576023", tries = 150)
  void detectsFlippedBit(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    OpenedJournal opened = open(disk);
    int lastFrame = 0;
    for (int i = 0; i < 5; i++) {
      lastFrame = disk.size("log-0000000000000001");
      opened.journal.append(bytes(List.of("record " + i, "more")));
    }
    int offset = random.nextInt(disk.size("log-0000000000000001"));
    disk.flipBit("log-0000000000000001", offset);
    if (offset < lastFrame) {
      CorruptRecordException corrupt = assertThrows(CorruptRecordException.class, () -> open(disk));
      assertTrue(
          corrupt.getMessage().startsWith("log-0000000000000001 at byte "), corrupt::getMessage);
    } else {
      assertEquals(8, open(disk).records.size());
      assertTrue(
          logLines.toString().contains("journal-cut file=log-0000000000000001 at=" + lastFrame),
          logLines::toString);
      logLines.clear();
    }
  }

  @Test
  void storesFilesInDirectory(@TempDir Path directory) throws IOException {
    OpenedJournal opened = open(Disk.of(directory));
    opened.journal.append(bytes(List.of("a", "b")));
    Journal.Snapshot snapshot = opened.journal.snapshot(bytes(List.of("a+b")).iterator());
    opened.journal.append(bytes(List.of("c")));
    while (snapshot.step()) {
      opened.journal.append(List.of());
    }
    opened.journal.close();
    OpenedJournal reopened = open(Disk.of(directory));
    assertEquals(List.of("a+b", "c"), reopened.records);
    assertEquals(3, reopened.journal.lastSequence());
    assertEquals(
        List.of("log-0000000000000003", "snapshot-0000000000000002"), Disk.of(directory).list());
    assertFalse(logLines.toString().contains("cut"));
  }
}
