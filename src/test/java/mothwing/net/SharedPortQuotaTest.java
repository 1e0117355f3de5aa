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

/** Two processes at one address, and what the kernel's list says of them. */
class SharedPortQuotaTest {
  private static final int MOST = 800;
  private static final long STEP = 10_000; // microseconds
  private static final int COME =
      2; // in a step: fewer than an eighth of the bound within the time of a fresh look

  @TempDir private Path folder;
  private final List<Side> sides = new ArrayList<>();
  private Random random;

  /** One process with a crowd before it. */
  private final class Side {
    final SharedPortQuota quota;
    int quiet;
    int busy;
    boolean listens = true;
    long answerAt = Long.MAX_VALUE;
    long askedAt;
    boolean sawOther;
    int sawOpen;

    Side(long now) {
      quota = new SharedPortQuota(MOST, now);
    }

    int open() {
      return quiet + busy;
    }

    void step(long now) {
      Side other = sides.size() < 2 ? null : sides.get(sides.get(0) == this ? 1 : 0);
      if (answerAt == Long.MAX_VALUE && quota.isPollDue(now, open())) {
        askedAt = now;
        answerAt =
            now + random.nextInt(random.nextInt(4) == 0 ? 400 : 20) * STEP; // some come very late
        sawOther = other != null && other.listens; // the truth of the moment at which it began
        sawOpen = other == null ? 0 : other.open();
      }
      if (now >= answerAt) {
        quota.update(askedAt, sawOther, sawOpen);
        answerAt = Long.MAX_VALUE;
      }
      quiet -= Math.min(quiet, quota.excess(now, open()));
      for (int i = random.nextInt(COME + 1); i > 0 && listens && open() < quota.limit(now); i--) {
        quiet++;
      }
      int turn = Math.min(quiet, random.nextInt(COME + 1));
      quiet -= turn;
      busy += turn;
      int done = Math.min(busy, random.nextInt(COME + 1));
      busy -= done;
      quiet += done;
    }
  }

  /**
   * Guards against both holding more than one may, whatever is answered late; and one alone that
   * holds less.
   */
  @Test
  void togetherTheyStayUnderTheBoundOfOne() {
    int nearBound = 0;
    int moreThanHalf = 0;
    for (int seed = 0; seed < 300; seed++) {
      random = new Random(seed);
      sides.clear();
      sides.add(new Side(0));
      long comes = 4_000_000L + random.nextInt(4_000_000);
      long leaves = comes + random.nextInt(4_000_000);
      long full = 0;
      for (long now = 0; now < 40_000_000; now += STEP) {
        if (now >= comes && sides.size() == 1) {
          sides.add(new Side(now));
        }
        if (now >= leaves) {
          Side old = sides.get(0);
          old.listens = false;
          old.quiet = Math.max(0, old.quiet - (now / STEP % 8 == 0 ? seed % 8 + 1 : 0));
        }
        for (Side one : List.copyOf(sides)) {
          one.step(now);
        }
        int all = sides.stream().mapToInt(Side::open).sum();
        assertTrue(all <= MOST, "seed " + seed + " at " + now + ": " + all);
        full += all > MOST * 7 / 8 ? 1 : 0;
      }
      nearBound += full > 100 ? 1 : 0;
      moreThanHalf += sides.get(1).open() > MOST / 2 ? 1 : 0;
    }
    assertTrue(
        nearBound > 200 && moreThanHalf > 200,
        "of 300 "
            + nearBound
            + " came near the bound, and "
            + moreThanHalf
            + " had more than half at the end");
  }

  @Test
  void theListIsReadForBothKindsOfAddress() throws IOException {
    Path four =
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
    Path six =
        Files.writeString(
            folder.resolve("tcp6"),
            """
                  sl  local_address                         remote_address                        st
                   0: 0000000000000000FFFF00000100007F:1F90 00000000000000000000000000000000:0000 0A 0:0 0
                   1: 0000000000000000FFFF00000100007F:1F90 0000000000000000FFFF00000100007F:C004 08 0:0 0
                   2: 00000000000000000000000001000000:1F90 00000000000000000000000000000000:0000 0A 0:0 0
                cut
                """);
    Path none = folder.resolve("none");
    assertEquals(
        new SocketTable(2, 2),
        SocketTable.at(new InetSocketAddress("127.0.0.1", 8080), List.of(four, six)));
    assertEquals(
        new SocketTable(1, 0),
        SocketTable.at(new InetSocketAddress("::1", 8080), List.of(none, six)));
    assertEquals(
        new SocketTable(0, 1),
        SocketTable.at(new InetSocketAddress("127.0.0.1", 0xC001), List.of(four)));
    assertThrows(
        IOException.class,
        () -> SocketTable.at(new InetSocketAddress("127.0.0.1", 1), List.of(none)));
  }
}
