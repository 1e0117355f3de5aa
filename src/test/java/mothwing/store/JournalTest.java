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
 * The journal against a list of what was acknowledged: whatever fails or is cut, that is what comes
 * back.
 */
class JournalTest {
  private final List<String> cuts = new ArrayList<>();

  /** What a journal holds, and the journal. */
  private record Held(List<String> records, Journal journal) {}

  private Held open(Disk disk) throws IOException {
    List<String> records = new ArrayList<>();
    Journal journal =
        Journal.open(
            disk,
            new Journal.Replay() {
              @Override
              public void snapshot(byte[] piece) {
                records.add(new String(piece, StandardCharsets.UTF_8));
              }

              @Override
              public void record(byte[] record) {
                records.add(new String(record, StandardCharsets.UTF_8));
              }
            },
            cuts::add);
    return new Held(records, journal);
  }

  private static List<byte[]> bytes(List<String> records) {
    return records.stream().map(String::getBytes).toList();
  }

  /** The power goes at a random write, force, rename or deletion, again and again. */
  @Property(seed = "1764576021", tries = 300)
  void nothingAcknowledgedIsLostAndNothingComesTwice(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    List<String> acknowledged = new ArrayList<>();
    int made = 0;
    for (int life = 0; life < 6; life++) {
      List<String> attempted = new ArrayList<>();
      try {
        disk.failOperations(random.nextInt(40), Integer.MAX_VALUE);
        Held held = open(disk);
        assertEquals(acknowledged, held.records);
        while (true) {
          if (random.nextInt(6) == 0) {
            Journal.Snapshot snapshot = held.journal.snapshot(bytes(acknowledged).iterator());
            boolean more = snapshot.step();
            if (more && random.nextBoolean()) {
              attempted = List.of("r" + made++);
              held.journal.append(bytes(attempted));
              acknowledged.addAll(attempted);
              attempted = new ArrayList<>();
            }
            while (more) {
              more = snapshot.step();
            }
          }
          attempted = new ArrayList<>();
          for (int i = random.nextInt(4); i >= 0; i--) {
            attempted.add("r" + made++ + "x".repeat(random.nextInt(90)));
          }
          held.journal.append(bytes(attempted));
          acknowledged.addAll(attempted);
          attempted = new ArrayList<>();
        }
      } catch (CorruptRecordException damaged) {
        throw new AssertionError(damaged);
      } catch (IOException off) {
        disk.powerLoss();
      }
      Held after = open(disk);
      if (!after.records.equals(acknowledged)) { // the last batch may have made it, whole
        acknowledged.addAll(attempted);
        assertEquals(acknowledged, after.records);
      }
      after.journal.close();
      disk.powerLoss();
    }
  }

  /**
   * The disk is full for a while: appends fail, none of them comes back, and it goes on without a
   * new start.
   */
  @Property(seed = "1764576022", tries = 200)
  void recoversFromAFullDisk(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    Held held = open(disk);
    List<String> acknowledged = new ArrayList<>();
    int failed = 0;
    for (int i = 0; i < 60; i++) {
      if (i % 12 == 6) {
        int from = 1 + random.nextInt(4);
        disk.failOperations(from, from + 1 + random.nextInt(6));
      }
      try {
        if (random.nextInt(8) == 0) {
          Journal.Snapshot snapshot = held.journal.snapshot(bytes(acknowledged).iterator());
          while (snapshot.step()) {
            assertTrue(held.journal.lastSequence() == acknowledged.size());
          }
        }
        held.journal.append(bytes(List.of("r" + i)));
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
   * A flipped bit before the last frame is found, wherever it is; in the last frame it is cut off
   * and said.
   */
  @Property(seed = "1764576023", tries = 150)
  void aFlippedBitIsNeverPassedOver(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    Held held = open(disk);
    int lastFrame = 0;
    for (int i = 0; i < 5; i++) {
      lastFrame = disk.size("log-0000000000000001");
      held.journal.append(bytes(List.of("record " + i, "more")));
    }
    int at = random.nextInt(disk.size("log-0000000000000001"));
    disk.flipBit("log-0000000000000001", at);
    if (at < lastFrame) {
      CorruptRecordException found = assertThrows(CorruptRecordException.class, () -> open(disk));
      assertTrue(found.getMessage().startsWith("log-0000000000000001 at byte "), found::getMessage);
    } else {
      assertEquals(8, open(disk).records.size());
      assertTrue(
          cuts.toString().contains("journal-cut file=log-0000000000000001 at=" + lastFrame),
          cuts::toString);
      cuts.clear();
    }
  }

  @Test
  void keepsRealFiles(@TempDir Path folder) throws IOException {
    Held held = open(Disk.of(folder));
    held.journal.append(bytes(List.of("a", "b")));
    Journal.Snapshot snapshot = held.journal.snapshot(bytes(List.of("a+b")).iterator());
    held.journal.append(bytes(List.of("c")));
    while (snapshot.step()) {
      held.journal.append(List.of());
    }
    held.journal.close();
    Held again = open(Disk.of(folder));
    assertEquals(List.of("a+b", "c"), again.records);
    assertEquals(3, again.journal.lastSequence());
    assertEquals(
        List.of("log-0000000000000003", "snapshot-0000000000000002"), Disk.of(folder).list());
    assertFalse(cuts.toString().contains("cut"));
  }
}
