package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mothwing.trial.History.End;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real servers whose system calls fail as Linux documents, and whose wall clock steps: a shim of
 * our own is built and preloaded. It needs a C compiler; where there is none these tests are
 * skipped, and {@code RetryingSocketChannelTest} alone holds the reads.
 */
class SystemCallsTest {
  private static final String TRIAL =
      """
            trial(name = "calls", seconds = 5, seed = 6)
            fleet(servers = 1, cores = 4, work_ms = 30, stop_ms = 5000)
            traffic(rate = 60, orders = 0.3, gateways = 4, retries = 0)
            """;
  private static final List<String> TIMED = List.of("due", "drain", "closes");

  @TempDir private Path folder;
  private Path shim;

  @BeforeEach
  void build() throws Exception {
    shim = folder.resolve("shim.so");
    try {
      Process compiler =
          new ProcessBuilder(
                  "cc",
                  "-shared",
                  "-fPIC",
                  "-O1",
                  "-o",
                  shim.toString(),
                  "src/test/c/syscall_shim.c",
                  "-ldl")
              .inheritIO()
              .start();
      assertTrue(compiler.waitFor(60, TimeUnit.SECONDS));
      assertEquals(0, compiler.exitValue(), "the shim does not compile");
    } catch (IOException none) {
      assumeTrue(false, "no C compiler: " + none.getMessage());
    }
  }

  private History play(String faults, Map<String, String> environment) throws Exception {
    Map<String, String> all = new HashMap<>(environment);
    all.put("LD_PRELOAD", shim.toString());
    Trial trial = TrialScript.read("test.star", (name, most) -> TRIAL + faults);
    try (ProcessStage stage = new ProcessStage(folder.resolve("play"), "mothwing.Main", all)) {
      History history = stage.play(trial, line -> {});
      assertEquals(
          List.of(),
          Oracles.judge(trial, history).breaches().stream()
              .filter(one -> !TIMED.contains(one.rule()))
              .toList());
      assertEquals(0, lost(history));
      return history;
    }
  }

  private static long lost(History history) {
    return history.calls.stream()
        .filter(call -> call.end() == End.LOST || call.end() == End.OPEN)
        .count();
  }

  private static long served(History history) {
    return history.calls.stream().filter(call -> call.end() == End.SERVED).count();
  }

  /** EINTR in a read is no end of the stream. */
  @Test
  void interruptedReadsAndWritesLoseNothing() throws Exception {
    History history =
        play("", Map.of("SHIM_EINTR_READ", "15", "SHIM_EINTR_WRITE", "15", "SHIM_SHORT", "30"));
    assertTrue(served(history) > 250, "served " + served(history));
  }

  @Test
  void acceptsConnectsAndSocketsThatFailForAMomentAreTriedAgain() throws Exception {
    History history =
        play(
            "at(1.5, sever([\"s1\"], [\"s1.pool\"]))\nat(3, sever([\"s1\"], [\"s1.pool\"]))\n",
            Map.of("SHIM_ACCEPT", "40", "SHIM_CONNECT", "40", "SHIM_SOCKET", "40"));
    assertTrue(served(history) > 200, "served " + served(history));
  }

  /**
   * Deadlines, windows and waits are spans of real time: a step of the wall clock answers nothing
   * early or late.
   */
  @Test
  void stepsOfTheWallClockCostNothing() throws Exception {
    Path clock = Files.write(folder.resolve("clock"), new byte[8]);
    Thread stepper =
        new Thread(
            () -> {
              try {
                for (long step : new long[] {3_600_000, -3_600_000, 7_000, -7_000, 0}) {
                  Thread.sleep(1200); // the steps lie between the requests of a running trial
                  Files.write(
                      clock,
                      ByteBuffer.allocate(8).order(ByteOrder.nativeOrder()).putLong(step).array(),
                      java.nio.file.StandardOpenOption.WRITE);
                }
              } catch (IOException | InterruptedException over) {
                Thread.currentThread().interrupt();
              }
            });
    stepper.setDaemon(true);
    stepper.start();
    History history = play("", Map.of("SHIM_CLOCK", clock.toString()));
    stepper.interrupt();
    assertTrue(served(history) > 250, "served " + served(history) + " of " + history.calls.size());
  }
}
