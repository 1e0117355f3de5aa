package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The quotas of two processes at one address, and the kernel's socket table that they poll. */
class SharedPortQuotaTest {
  private static final int MAX_CONNECTIONS = 800;
  private static final long STEP_MICROS = 10_000;

  /**
   * Most arrivals, starts and ends per step: at most an eighth of the limit arrives while a poll is
   * valid.
   */
  private static final int MAX_CHANGES_PER_STEP = 2;

  @TempDir private Path folder;
  private final List<ProcessModel> processes = new ArrayList<>();
  private Random random;

  /** One process, to which many clients connect. */
  private final class ProcessModel {
    final SharedPortQuota quota;
    int idle;
    int busy;
    boolean listens = true;
    long pollAnsweredAt = Long.MAX_VALUE;
    long pollStartedAt;
    boolean otherListened;
    int otherConnections;

    ProcessModel(long now) {
      quota = new SharedPortQuota(MAX_CONNECTIONS, now);
    }

    int open() {
      return idle + busy;
    }

    void step(long now) {
      ProcessModel otherProcess =
          processes.size() < 2 ? null : processes.get(processes.get(0) == this ? 1 : 0);
      if (pollAnsweredAt == Long.MAX_VALUE && quota.isPollDue(now, open())) {
        pollStartedAt = now;
        // Some results arrive very late.
        pollAnsweredAt = now + random.nextInt(random.nextInt(4) == 0 ? 400 : 20) * STEP_MICROS;
        // The state when the poll began.
        otherListened = otherProcess != null && otherProcess.listens;
        otherConnections = otherProcess == null ? 0 : otherProcess.open();
      }
      if (now >= pollAnsweredAt) {
        quota.update(pollStartedAt, otherListened, otherConnections);
        pollAnsweredAt = Long.MAX_VALUE;
      }
      idle -= Math.min(idle, quota.excess(now, open()));
      for (int i = random.nextInt(MAX_CHANGES_PER_STEP + 1);
          i > 0 && listens && open() < quota.limit(now);
          i--) {
        idle++;
      }
      int started = Math.min(idle, random.nextInt(MAX_CHANGES_PER_STEP + 1));
      idle -= started;
      busy += started;
      int finished = Math.min(busy, random.nextInt(MAX_CHANGES_PER_STEP + 1));
      busy -= finished;
      idle += finished;
    }
  }

  /**
   * Guards against two processes that together hold more connections than one may, however late
   * polls are answered, and against a process that does not use its whole limit when it is alone.
   */
  @Test
  void keepsBothProcessesWithinTheLimitOfOne() {
    int seedsNearLimit = 0;
    int seedsAboveHalf = 0;
    for (int seed = 0; seed < 300; seed++) {
      random = new Random(seed);
      processes.clear();
      processes.add(new ProcessModel(0));
      long secondStartsAt = 4_000_000L + random.nextInt(4_000_000);
      long firstStopsAt = secondStartsAt + random.nextInt(4_000_000);
      long stepsNearLimit = 0;
      for (long now = 0; now < 40_000_000; now += STEP_MICROS) {
        if (now >= secondStartsAt && processes.size() == 1) {
          processes.add(new ProcessModel(now));
        }
        if (now >= firstStopsAt) {
          ProcessModel stopping = processes.get(0);
          stopping.listens = false;
          stopping.idle =
              Math.max(0, stopping.idle - (now / STEP_MICROS % 8 == 0 ? seed % 8 + 1 : 0));
        }
        for (ProcessModel process : List.copyOf(processes)) {
          process.step(now);
        }
        int total = processes.stream().mapToInt(ProcessModel::open).sum();
        assertTrue(total <= MAX_CONNECTIONS, "seed " + seed + " at " + now + ": " + total);
        stepsNearLimit += total > MAX_CONNECTIONS * 7 / 8 ? 1 : 0;
      }
      seedsNearLimit += stepsNearLimit > 100 ? 1 : 0;
      seedsAboveHalf += processes.get(1).open() > MAX_CONNECTIONS / 2 ? 1 : 0;
    }
    assertTrue(
        seedsNearLimit > 200 && seedsAboveHalf > 200,
        "of 300 seeds "
            + seedsNearLimit
            + " came near the limit, and "
            + seedsAboveHalf
            + " had more than half at the end");
  }

  @Test
  void readsSocketTablesOfIpv4AndIpv6() throws IOException {
    Path ipv4 =
        Files.writeString(
            folder.resolve("tcp"),
            """
                  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid
                   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0
                   1: 0100007F:1F90 0100007F:C001 01 00000000:00000000 00:00000000 00000000     0
                   2: 0100007F:1F90 0100007F:C002 06 00000000:00000000 00:00000000 00000000     0
                   3: 0100007F:C001 0100007F:1F90 01 00000000:00000000 00:00000000 00000000     0
                   4: 0200007F:1F90 0100007F:C003 01 00000000:00000000 00:00000000 00000000     0
                """);
    Path ipv6 =
        Files.writeString(
            folder.resolve("tcp6"),
            """
                  sl  local_address                         remote_address                        st
                   0: 0000000000000000FFFF00000100007F:1F90 00000000000000000000000000000000:0000 0A 0:0 0
                   1: 0000000000000000FFFF00000100007F:1F90 0000000000000000FFFF00000100007F:C004 08 0:0 0
                   2: 00000000000000000000000001000000:1F90 00000000000000000000000000000000:0000 0A 0:0 0
                cut
                """);
    Path missing = folder.resolve("none");
    assertEquals(
        new SocketTable(2, 2),
        SocketTable.read(new InetSocketAddress("127.0.0.1", 8080), List.of(ipv4, ipv6)));
    assertEquals(
        new SocketTable(1, 0),
        SocketTable.read(new InetSocketAddress("::1", 8080), List.of(missing, ipv6)));
    assertEquals(
        new SocketTable(0, 1),
        SocketTable.read(new InetSocketAddress("127.0.0.1", 0xC001), List.of(ipv4)));
    assertThrows(
        IOException.class,
        () -> SocketTable.read(new InetSocketAddress("127.0.0.1", 1), List.of(missing)));
  }
}
