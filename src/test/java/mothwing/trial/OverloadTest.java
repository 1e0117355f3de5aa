package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mothwing.trial.History.Crowd;
import mothwing.trial.History.End;
import mothwing.trial.Oracles.Breach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What a server puts on its machine while it hears of its runs late, in part, or not at all; real
 * processes unless named.
 */
class OverloadTest {
  private static final long SECOND = 1_000_000;

  @TempDir private Path folder;

  private static Trial trial(String head, String faults) throws IOException {
    return TrialScript.read("test.star", (name, most) -> head + faults);
  }

  /** Resets of the link to the pool, a span apart. */
  private static String resets(double from, double until, double every) {
    StringBuilder all = new StringBuilder();
    for (double at = from; at < until; at += every) {
      all.append("at(").append(Fault.number(at)).append(", sever([\"s1\"], [\"s1.pool\"]))\n");
    }
    return all.toString();
  }

  private History processes(Trial trial) throws Exception {
    try (ProcessStage stage = new ProcessStage(folder)) {
      return stage.play(trial, line -> {});
    }
  }

  private static List<Breach> untimed(Trial trial, History history) {
    assertTrue(
        history.calls.stream().filter(call -> call.end() == End.SERVED).count() > 20, "it serves");
    return Oracles.judge(trial, history).breaches().stream()
        .filter(one -> !List.of("due", "drain", "closes").contains(one.rule()))
        .toList();
  }

  private static final String HUNG =
      """
            trial(name = "hung", seconds = 8, seed = 3)
            fleet(servers = 1, cores = 2, work_ms = 100, deadline_ms = 1000, memory_runs = 7)
            traffic(rate = 40, orders = 0.2, gateways = 3, patience_ms = 2000)
            at(0.1, mute(["s1"], share = 0.95, seconds = 2.4))
            at(2, hang(["s1"], seconds = 5))
            """;

  /**
   * Stops that have no effect are no proof that the runs are over, however often the link is opened
   * anew.
   */
  @Test
  void runsOnCoresThatHangAreCountedOverEveryRelink() throws Exception {
    Trial trial = trial(HUNG, resets(1, 7.5, 0.4));
    assertEquals(List.of(), untimed(trial, processes(trial)));
  }

  /** The same on virtual time, where it takes milliseconds. */
  @Test
  void runsOnCoresThatHangAreCountedOnVirtualTimeToo() throws Exception {
    for (long seed = 1; seed <= 20; seed++) {
      Trial trial = trial(HUNG, resets(1, 7.5, 0.4)).withSeed(seed);
      assertEquals(
          List.of(), untimed(trial, new SimulationStage().play(trial, line -> {})), "seed " + seed);
    }
  }

  private static final String CROWD =
      """
            trial(name = "crowd", seconds = 6, seed = 4)
            fleet(servers = 1, cores = 6, work_ms = 175, spread = 0.7, deadline_ms = 2000, memory_runs = 15, halt = "%s")
            traffic(rate = 86, orders = 0.3, gateways = 4, retries = 0, patience_ms = 2200)
            """;
  private static final double MOST_CROWD = 1.5; // of that without a fault
  private static final double LEAST_SERVED = 0.75; // of what is served without a fault

  /**
   * Resets of the link to the pool, spans apart that a seed draws within bounds in milliseconds.
   */
  private static String drawnResets(int least, int most) {
    Random random = new Random(9);
    StringBuilder all = new StringBuilder();
    for (double at = 0.1; at < 5.5; at += (least + random.nextInt(most - least)) / 1000.0) {
      all.append(resets(at, at + 0.0001, 1));
    }
    return all.toString();
  }

  /** The link's faults that a server has to live with at 2.5 times its load, by name. */
  private static Map<String, String> linkFaults() {
    Map<String, String> all = new LinkedHashMap<>();
    all.put("reset every 30 to 400 ms", drawnResets(30, 400));
    all.put("reset every 5 to 60 ms", drawnResets(5, 60));
    all.put("95% of polls unanswered", "at(0.05, mute([\"s1\"], share = 0.95, seconds = 5.5))\n");
    return all;
  }

  private interface Play {
    History of(Trial trial) throws Exception;
  }

  /**
   * No fault of the link makes the crowd much larger or costs much service, and nothing is left
   * behind at the pool.
   */
  private static void compare(String halt, Play play) throws Exception {
    String head = String.format(CROWD, halt);
    Trial calm = trial(head, "");
    History usual = play.of(calm);
    assertEquals(List.of(), untimed(calm, usual), halt + ", no fault");
    for (Map.Entry<String, String> fault : linkFaults().entrySet()) {
      Trial trial = trial(head, fault.getValue());
      History history = play.of(trial);
      String what =
          halt
              + ", "
              + fault.getKey()
              + ": mean "
              + Oracles.worstMean(history.crowds)
              + " where "
              + Oracles.worstMean(usual.crowds)
              + " is usual, served "
              + served(history)
              + " of "
              + served(usual);
      System.out.println(what);
      assertEquals(List.of(), untimed(trial, history), what);
      assertTrue(
          Oracles.worstMean(history.crowds)
              < MOST_CROWD * Math.max(6, Oracles.worstMean(usual.crowds)),
          what);
      assertTrue(served(history) >= LEAST_SERVED * served(usual), what);
      assertEquals(
          0, history.crowds.get(history.crowds.size() - 1).kept(), what + ", left at the pool");
    }
  }

  private static long served(History history) {
    return history.calls.stream().filter(call -> call.end() == End.SERVED).count();
  }

  @Test
  void aFaultyLinkToThePoolDoesNotCrowdTheMachine() throws Exception {
    int[] number = {0};
    compare(
        "suspend",
        trial -> {
          try (ProcessStage stage = new ProcessStage(folder.resolve("play" + number[0]++))) {
            return stage.play(trial, line -> {});
          }
        });
  }

  @Test
  void aFaultyLinkToThePoolDoesNotCrowdTheMachineWhateverAStopDoes() throws Exception {
    for (String halt : List.of("suspend", "abort", "silent")) {
      compare(halt, trial -> new SimulationStage().play(trial, line -> {}));
    }
  }

  /**
   * The kill may come 0.7 s behind the longest deadline, 3 s at most, whatever time to leave was
   * told: all is answered by then.
   */
  @Test
  void aServerThatLeavesHasAnsweredAllBeforeTheEarliestKill() throws Exception {
    Trial trial =
        trial(
            """
                trial(name = "leaves", seconds = 3, seed = 2)
                fleet(servers = 1, cores = 2, work_ms = 100, deadline_ms = 4500, stop_ms = 9000)
                traffic(rate = 20, orders = 0.5, gateways = 2, retries = 0, patience_ms = 8000)
                at(1.5, hang(["s1"]))
                at(2, leave(["s1"], seconds = 20))
                """,
            "");
    History history = processes(trial);
    History.Life life = history.lives.get(0);
    assertTrue(
        life.endedAt - life.noticeAt < 3.7 * SECOND,
        "it left after " + (life.endedAt - life.noticeAt) / 1000 + " ms");
    assertEquals(0, life.status);
    assertTrue(
        history.calls.stream().noneMatch(call -> call.end() == End.LOST || call.end() == End.OPEN));
    assertTrue(
        history.calls.stream()
            .anyMatch(call -> call.end() == End.FAILED && call.endedAt() > life.noticeAt));
  }

  /** The oracle's own arithmetic, against a crowd of which the mean is known. */
  @Test
  void theWorstMeanOfACrowdIsThatOfItsWorstSpan() {
    List<Crowd> steps =
        List.of(
            new Crowd("s1", 0, 0, 0),
            new Crowd("s1", 5 * SECOND, 40, 40),
            new Crowd("s1", 6 * SECOND, 10, 10),
            new Crowd("s1", 20 * SECOND, 0, 0));
    assertEquals(25, Oracles.worstMean(steps), 0.01);
  }
}
