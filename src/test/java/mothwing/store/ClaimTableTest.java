package mothwing.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import mothwing.store.ClaimTable.Claim;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One holder a key, whatever process asks. */
class ClaimTableTest {
  private static final int KEYS = 2000;
  private static final long LONG_SPAN = 600_000_000;

  @TempDir private Path folder;
  private final AtomicLong clock = new AtomicLong(1_000_000);

  private ClaimTable open(long owner, long boot) throws IOException {
    return ClaimTable.open(folder.resolve("claims"), owner, boot, clock::get);
  }

  @Test
  void aKeyIsHeldByOneOwnerUntilItsTimeIsOver() throws Exception {
    try (ClaimTable old = open(1, 5);
        ClaimTable next = open(2, 5)) {
      assertEquals(Claim.GRANTED, old.claim("a", 1000));
      assertEquals(Claim.GRANTED, old.claim("a", 500), "again by the same");
      assertEquals(Claim.HELD, next.claim("a", 1000));
      assertEquals(Claim.GRANTED, next.claim("b", 1000));
      clock.addAndGet(999);
      assertEquals(Claim.HELD, next.claim("a", 1000));
      clock.addAndGet(1);
      assertEquals(Claim.GRANTED, next.claim("a", 1000));
      assertEquals(Claim.HELD, old.claim("a", 1000));
    }
    try (ClaimTable later = open(3, 5)) {
      assertEquals(Claim.HELD, later.claim("a", 1000), "it outlives its process");
    }
    try (ClaimTable rebooted = open(4, 6)) {
      assertEquals(Claim.GRANTED, rebooted.claim("a", 1000), "not the machine's clock");
    }
  }

  @Test
  void aFullTableSaysSoAndTakesKeysAgainOnceOthersAreOver() throws Exception {
    try (ClaimTable table = open(1, 5)) {
      int granted = 0;
      while (granted < 2 * ClaimTable.SLOTS && table.claim("k" + granted, 1000) == Claim.GRANTED) {
        granted++;
      }
      assertTrue(granted > ClaimTable.SLOTS / 2 && granted < ClaimTable.SLOTS, "taken: " + granted);
      assertEquals(Claim.FULL, table.claim("k" + granted, 1000));
      clock.addAndGet(1000);
      assertEquals(Claim.GRANTED, table.claim("k" + granted, 1000));
    }
  }

  /** Claims all keys in an order of its own, and prints those that were granted. */
  public static void main(String[] words) throws IOException {
    try (ClaimTable table =
        ClaimTable.open(
            Path.of(words[0]), ProcessHandle.current().pid(), 1, () -> System.nanoTime() / 1000)) {
      for (int i = 0; i < KEYS; i++) {
        String key = "key " + i * Integer.parseInt(words[1]) % KEYS;
        Claim claim = table.claim(key, LONG_SPAN);
        while (claim == Claim.UNKNOWN) {
          claim = table.claim(key, LONG_SPAN);
        }
        System.out.println(claim + " " + key);
      }
    }
  }

  @Test
  void processesThatClaimTheSameKeysAtOnceAreGrantedEachKeyOnce() throws Exception {
    List<Process> all = new ArrayList<>();
    for (String step : List.of("1", "7", "1999")) {
      all.add(
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  ClaimTableTest.class.getName(),
                  folder.resolve("shared").toString(),
                  step)
              .redirectErrorStream(true)
              .start());
    }
    Set<String> granted = new TreeSet<>();
    int answers = 0;
    for (Process one : all) {
      try (BufferedReader out = one.inputReader()) {
        for (String line : out.lines().toList()) {
          answers++;
          assertTrue(
              line.startsWith("HELD ") || (line.startsWith("GRANTED ") && granted.add(line)), line);
        }
      }
      assertEquals(0, one.waitFor());
    }
    assertEquals(KEYS, granted.size());
    assertEquals(all.size() * KEYS, answers);
  }
}
