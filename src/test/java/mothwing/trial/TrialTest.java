package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mothwing.trial.History.End;
import mothwing.trial.Oracles.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Trials on both stages; and the oracles, against doubles that break the rules. */
class TrialTest {
  private static final Set<String> UNTIMED =
      Set.of("one-answer", "own-result", "once-a-server", "refused-never-ran", "bounds", "alive");

  @TempDir private Path folder;

  private static Trial trial(String text) throws IOException {
    return TrialScript.read("test.star", (name, most) -> text);
  }

  private static History play(Trial trial, Path folder, String program)
      throws IOException, InterruptedException {
    try (ProcessStage stage = new ProcessStage(folder, program)) {
      return stage.play(trial, line -> {});
    }
  }

  /**
   * The fixed trial of every build. Two rigs at once do not disturb each other. A slow machine
   * gives no verdict on time.
   */
  @Test
  void realServersKeepTheRulesWhileMachinesAndLinksFail() throws Exception {
    Trial trial =
        trial(
            """
                trial(name = "fixed", seconds = 7, seed = 5)
                fleet(servers = 3, cores = 2, work_ms = 40, stop_ms = 10000)
                traffic(rate = 60, gateways = 3, habits = ["round_robin", "stick", "checked"])
                at(1, wipe(["s1"], seconds = 2))
                at(1.5, cut(["s2"], ["g1"], one_way = True, seconds = 1))
                at(3.5, stop(["s3"], seconds = 0.6))
                at(4, sever(["s2"], ["s2.pool"]))
                at(5, upgrade(["s2"]))
                """);
    CompletableFuture<History> beside =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return play(trial.withFaults(List.of()), folder.resolve("beside"), "mothwing.Main");
              } catch (IOException | InterruptedException failed) {
                throw new IllegalStateException(failed);
              }
            });
    History history = play(trial, folder.resolve("faults"), "mothwing.Main");
    for (History one : List.of(history, beside.get())) {
      Verdict verdict = Oracles.judge(trial, one);
      boolean cutOff =
          one.lives.stream()
              .anyMatch(life -> life.overstayed); // on a machine too slow for an upgrade
      assertTrue(
          verdict.breaches().stream()
              .noneMatch(
                  breach ->
                      UNTIMED.contains(breach.rule())
                          && !(cutOff && breach.rule().equals("one-answer"))),
          verdict::toString);
      assertTrue(one.troubles.isEmpty(), one.troubles::toString);
      assertTrue(one.calls.stream().filter(call -> call.end() == End.SERVED).count() > 100);
    }
    assertEquals(5, history.lives.size(), "three, one started again, one upgraded");
    assertTrue(
        history.calls.stream()
            .anyMatch(call -> call.server().equals("s1") && call.end() != End.SERVED));
    assertTrue(
        history.applied.stream().allMatch(one -> one.until() < Long.MAX_VALUE / 2),
        history.applied::toString);
    assertTrue(
        history.lives.stream().allMatch(one -> one.status == 0 || one.killed),
        "all that were not killed left well");
    history.write(folder.resolve("history"));
    assertEquals(
        new Gson().toJson(history.calls),
        new Gson().toJson(History.read(folder.resolve("history")).calls));
  }

  /** Each double breaks one rule, and the oracle of that rule names it. */
  @Test
  void everyPlantedBreachIsCaughtByItsOracle() throws Exception {
    Trial trial =
        trial(
            """
                trial(name = "planted", seconds = 3, seed = 2)
                fleet(servers = 7, cores = 2, work_ms = 5, deadline_ms = 1000)
                traffic(rate = 60, orders = 0.5, gateways = 1, heed = 0, retries = 0, patience_ms = 2500)
                """);
    Verdict verdict = Oracles.judge(trial, play(trial, folder, "mothwing.trial.FaultyServer"));
    Map<String, String> wanted =
        new TreeMap<>(
            Map.of(
                "one-answer",
                "s1",
                "once-a-server",
                "s2",
                "due",
                "s3",
                "closes",
                "s4",
                "own-result",
                "s5",
                "refused-never-ran",
                "s6",
                "alive",
                "s7"));
    List<String> all =
        new ArrayList<>(
            verdict.breaches().stream().map(one -> one.rule() + " " + one.words()).toList());
    verdict.doubts().forEach(one -> all.add(one.replaceFirst("unjudged, ([a-z-]+):", "$1")));
    wanted.forEach(
        (rule, server) ->
            assertTrue(
                all.stream()
                    .anyMatch(
                        one ->
                            one.startsWith(rule + " ") && one.matches(".*\\b" + server + "\\b.*")),
                () -> rule + " of " + server + " was not seen in " + all));
    verdict.breaches().stream()
        .filter(one -> UNTIMED.contains(one.rule()))
        .forEach(
            one ->
                assertTrue(
                    one.words().matches(".*\\b(" + wanted.get(one.rule()) + "|s7)\\b.*"),
                    () -> "an oracle accuses the wrong one: " + one));
  }

  @Test
  void aProcessThatDiesAtItsStartIsNamedWithItsLastWords() throws Exception {
    Trial trial = trial("trial(name = \"dies\", seconds = 1)\nfleet(servers = 2)\n");
    IOException failed =
        assertThrows(IOException.class, () -> play(trial, folder, "mothwing.NoSuchClass"));
    assertTrue(
        failed.getMessage().startsWith("s1 ended as it started")
            && failed.getMessage().contains("NoSuchClass"),
        failed.getMessage());
  }

  /**
   * A rig that is killed cannot tidy up: its servers end all the same, also those that stand still.
   */
  @Test
  void nothingIsLeftOfAKilledRig() throws Exception {
    Path script =
        Files.writeString(
            folder.resolve("long.star"),
            """
                trial(name = "long", seconds = 600)
                fleet(servers = 2)
                at(0.1, stop(["s2"]))
                """);
    Process rig =
        new ProcessBuilder(
                SupervisedProcess.java(
                    List.of("-Xmx128m"), "mothwing.Main", "trial", "run", script.toString()))
            .redirectErrorStream(true)
            .start();
    List<ProcessHandle> started;
    try (BufferedReader out = rig.inputReader()) {
      String line = out.readLine();
      while (line != null && !line.contains("stop([")) {
        line = out.readLine();
      }
      assertTrue(line != null, "it ended by itself");
      started = rig.descendants().toList();
    } finally {
      rig.destroyForcibly().waitFor();
    }
    assertTrue(started.size() >= 4, "two servers, and a guard for each");
    for (ProcessHandle one : started) {
      one.onExit().get(30, TimeUnit.SECONDS);
    }
  }

  /** 500 schedules of drawn faults on virtual time; and the same seed gives the same bytes. */
  @Test
  void simulatedSchedulesKeepTheRules() throws Exception {
    Trial trial =
        trial(
            """
                trial(name = "drawn", seconds = 6, seed = 1)
                fleet(servers = 3, cores = 2, work_ms = 60)
                traffic(rate = 50, gateways = 3, habits = ["round_robin", "stick", "checked"])
                drawn(faults = 6, longest = 3)
                """);
    int served = 0;
    int lost = 0;
    for (long seed = 1; seed <= 500; seed++) {
      Trial one = trial.withSeed(seed).settled();
      History history = new SimulationStage().play(one, line -> {});
      Verdict verdict = Oracles.judge(one, history);
      assertEquals(0, verdict.status(), () -> verdict + "\n" + one.script());
      TrialStatistics figures = TrialStatistics.of(one, history);
      served += figures.served();
      lost += figures.tries().get("lost") + figures.tries().get("unreached");
      if (seed % 100 == 0) {
        Trial again = trial(one.script());
        assertEquals(one, again, "the script of a schedule makes it again");
        assertEquals(
            new Gson().toJson(history),
            new Gson().toJson(new SimulationStage().play(again, line -> {})));
      }
    }
    assertTrue(served > 100_000, "served " + served);
    assertTrue(lost > 500, "faults had no effect: lost " + lost);
  }

  /**
   * Retried writes run twice across the fleet today; the schedule that shows it shrinks, and
   * replays from its script.
   */
  @Test
  void aFailingScheduleShrinksToAScriptThatReplaysIt() throws Exception {
    Trial trial =
        trial(
            """
                trial(name = "twice", seconds = 6, seed = 3)
                fleet(servers = 4, cores = 4, work_ms = 150)
                traffic(rate = 90, orders = 0.6, gateways = 3)
                rules(["once-in-fleet"])
                at(1, delay(["g1"], ["s2"], ms = 30, seconds = 2))
                at(2, kill(["s1"], seconds = 1))
                at(2.5, kill(["s2"], seconds = 1))
                at(3, dip(["s3"], share = 0.5, seconds = 1))
                at(4, kill(["s1"], seconds = 1))
                """);
    Shrinker.Fails fails =
        one ->
            !Oracles.judge(one, new SimulationStage().play(one, line -> {})).breaches().isEmpty();
    assertTrue(fails.test(trial));
    Trial small = Shrinker.shrink(trial, fails, 200);
    assertEquals(1, small.faults().size(), small::script);
    assertEquals(Fault.Kind.KILL, small.faults().get(0).kind());
    assertTrue(small.fleet().servers() < 4 && small.seconds() < 6, small::script);
    assertTrue(fails.test(trial(small.script())));
  }

  @Test
  void aScriptThatMakesNoSenseIsToldWhere() {
    Map<String, String> wrong =
        Map.of(
            "at(1, kill([\"s9\"]))",
            "there is no machine s9",
            "at(1, kill([\"g1\"]))",
            "g1 is no server",
            "at(9, kill([\"s1\"]))",
            "after the end",
            "at(1, lose([\"s1\"], [\"g1\"], share = 2))",
            "expected 0.0 to 1.0",
            "at(1, 2)",
            "expected",
            "rules([\"none\"])",
            "unknown rule none",
            "drawn(kinds = [\"rain\"])",
            "has \"rain\"",
            "traffic(habits = [\"guess\"])",
            "expected round_robin",
            "fleet(servers = 0)",
            "expected 1 to 64",
            "trial(name = \"again\")",
            "called twice");
    wrong.forEach(
        (line, words) -> {
          IOException told =
              assertThrows(
                  IOException.class,
                  () -> trial("trial(name = \"t\", seconds = 5)\n" + line),
                  line);
          assertTrue(
              told.getMessage().startsWith("test.star:2:") && told.getMessage().contains(words),
              told.getMessage());
        });
    assertThrows(IOException.class, () -> trial("fleet(servers = 1)"));
    assertFalse(Oracles.RULES.contains("once-in-fleet"));
  }
}
