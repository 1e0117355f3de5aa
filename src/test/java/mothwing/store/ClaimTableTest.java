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

/** Tests that each key is leased to one owner at a time, across tables and processes. */
class ClaimTableTest {
  private static final int KEYS = 2000;
  private static final long LONG_LEASE_MICROS = 600_000_000;

  @TempDir private Path directory;
  private final AtomicLong clock = new AtomicLong(1_000_000);

  private ClaimTable open(long owner, long boot) throws IOException {
    return ClaimTable.open(directory.resolve("claims"), owner, boot, clock::get);
  }

  @Test
  void leasesKeyToOneOwnerUntilItExpires() throws Exception {
    try (ClaimTable first = open(1, 5);
        ClaimTable second = open(2, 5)) {
      assertEquals(Claim.GRANTED, first.claim("a", 1000));
      assertEquals(
          Claim.GRANTED,
          first.claim("a", 500),
          "a shorter claim by the owner is granted and keeps the longer lease");
      assertEquals(Claim.HELD, second.claim("a", 1000));
      assertEquals(Claim.GRANTED, second.claim("b", 1000));
      clock.addAndGet(999);
      assertEquals(Claim.HELD, second.claim("a", 1000));
      clock.addAndGet(1);
      assertEquals(Claim.GRANTED, second.claim("a", 1000));
      assertEquals(Claim.HELD, first.claim("a", 1000));
    }
    try (ClaimTable later = open(3, 5)) {
      assertEquals(Claim.HELD, later.claim("a", 1000), "the lease outlives the table of its owner");
    }
    try (ClaimTable rebooted = open(4, 6)) {
      assertEquals(Claim.GRANTED, rebooted.claim("a", 1000), "another boot clears the table");
    }
  }

  @Test
  void reportsFullTableAndReusesExpiredSlots() throws Exception {
    try (ClaimTable table = open(1, 5)) {
      int granted = 0;
      while (granted < 2 * ClaimTable.SLOTS && table.claim("k" + granted, 1000) == Claim.GRANTED) {
        granted++;
      }
      assertTrue(
          granted > ClaimTable.SLOTS / 2 && granted < ClaimTable.SLOTS, "granted: " + granted);
      assertEquals(Claim.FULL, table.claim("k" + granted, 1000));
      clock.addAndGet(1000);
      assertEquals(Claim.GRANTED, table.claim("k" + granted, 1000));
    }
  }

  /** Claims all keys in the order given by a step, and prints the result of each claim. */
  public static void main(String[] arguments) throws IOException {
    try (ClaimTable table =
        ClaimTable.open(
            Path.of(arguments[0]),
            ProcessHandle.current().pid(),
            1,
            () -> System.nanoTime() / 1000)) {
      for (int i = 0; i < KEYS; i++) {
        String key = "key " + i * Integer.parseInt(arguments[1]) % KEYS;
        Claim claim = table.claim(key, LONG_LEASE_MICROS);
        while (claim == Claim.UNKNOWN) {
          claim = table.claim(key, LONG_LEASE_MICROS);
        }
        System.out.println(claim + " " + key);
      }
    }
  }

  @Test
  void grantsEachKeyToOneOfSeveralConcurrentProcesses() throws Exception {
    List<Process> processes = new ArrayList<>();
    for (String step : List.of("1", "7", "1999")) {
      processes.add(
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  ClaimTableTest.class.getName(),
                  directory.resolve("shared").toString(),
                  step)
              .redirectErrorStream(true)
              .start());
    }
    Set<String> granted = new TreeSet<>();
    int results = 0;
    for (Process process : processes) {
      try (BufferedReader out = process.inputReader()) {
        for (String line : out.lines().toList()) {
          results++;
          assertTrue(
              line.startsWith("HELD ") || (line.startsWith("GRANTED ") && granted.add(line)), line);
        }
      }
      assertEquals(0, process.waitFor());
    }
    assertEquals(KEYS, granted.size());
    assertEquals(processes.size() * KEYS, results);
  }
}
