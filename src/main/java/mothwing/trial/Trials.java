package mothwing.trial;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import mothwing.trial.Oracles.Breach;
import mothwing.trial.Oracles.Verdict;

/** What the sub-commands {@code trial} and {@code demo} do. */
public final class Trials {
  private static final int MOST_TOLD = 5; // breaches of one rule that are printed
  private static final int MOST_SIMULATED = 400; // plays of a shrink
  private static final int MOST_PLAYED = 24;

  /** The trial of {@code demo}: it needs no file. */
  private static final String DEMO =
      """
            trial(name = "demo", seconds = 9, seed = 1)
            fleet(servers = 3, cores = 2, work_ms = 40)
            traffic(rate = 60, gateways = 2, habits = ["round_robin", "checked"])
            at(2, kill(["s1"], seconds = 3))
            at(4, cut(["s2"], ["g1"], one_way = True, seconds = 1.5))
            """;

  private Trials() {}

  /**
   * What a sub-command is asked.
   *
   * @param seed in place of the script's, or null
   * @param simulate whether on virtual time
   * @param seeds how many seeds in turn
   * @param report the folder of the results, or null for none
   * @param environment further variables in the environment of each server that is a process
   */
  public record Asked(
      Long seed, boolean simulate, int seeds, Path report, Map<String, String> environment) {
    /** Copies the environment. */
    public Asked {
      environment = Map.copyOf(environment);
    }
  }

  /**
   * Plays a trial of a script.
   *
   * @param file the script
   * @param asked how
   * @param out takes progress and the results
   * @return 0 where all rules held, 1 where one broke, 3 where the machine was too slow to judge
   * @throws IOException where the script is wrong, or a stage cannot be begun
   * @throws InterruptedException where the wait is broken off
   */
  public static int run(Path file, Asked asked, PrintStream out)
      throws IOException, InterruptedException {
    return run(TrialScript.read(file), asked, out);
  }

  /**
   * Plays the built-in trial.
   *
   * @param report the folder of the results, or null for none
   * @param out takes progress and the results
   * @return as {@link #run}
   * @throws IOException where it cannot be begun
   * @throws InterruptedException where the wait is broken off
   */
  public static int demo(Path report, PrintStream out) throws IOException, InterruptedException {
    return run(
        TrialScript.read("demo.star", (name, most) -> DEMO),
        new Asked(null, false, 1, report, Map.of()),
        out);
  }

  private static int run(Trial given, Asked asked, PrintStream out)
      throws IOException, InterruptedException {
    int worst = 0;
    for (int i = 0; i < asked.seeds(); i++) {
      Trial trial =
          given.withSeed((asked.seed() == null ? given.seed() : asked.seed()) + i).settled();
      Path report =
          asked.report() == null || asked.seeds() == 1
              ? asked.report()
              : asked.report().resolve("seed-" + trial.seed());
      boolean brief = asked.simulate() && asked.seeds() > 1;
      if (!brief) {
        out.println(
            "trial "
                + trial.name()
                + ", seed "
                + trial.seed()
                + (asked.simulate() ? ", simulated" : ""));
      }
      History history =
          asked.simulate()
              ? new SimulationStage().play(trial, line -> {})
              : play(trial, out, report, asked.environment());
      Verdict verdict = Oracles.judge(trial, history);
      if (!brief) {
        print(trial, history, verdict, out);
      } else if (verdict.status() != 0) {
        out.println("seed " + trial.seed() + ":");
        told(trial, verdict, out);
      }
      if (report != null) {
        Report.write(trial, history, verdict, report);
        out.println("  report: " + report.resolve("index.html"));
      }
      worst = worst == 1 || verdict.status() == 1 ? 1 : Math.max(worst, verdict.status());
    }
    if (asked.seeds() > 1) {
      out.println(
          asked.seeds()
              + " seeds, "
              + (worst == 0
                  ? "all rules held"
                  : worst == 1 ? "a rule broke" : "no verdict of some"));
    }
    return worst;
  }

  /**
   * Makes a failing trial smaller and prints a script that fails in the same way.
   *
   * @param file the script
   * @param asked which seed, and on which stage
   * @param out takes the script
   * @return 1 where a rule broke, and 0 where none did
   * @throws IOException where the script is wrong, or a stage cannot be begun
   * @throws InterruptedException where the wait is broken off
   */
  public static int shrink(Path file, Asked asked, PrintStream out)
      throws IOException, InterruptedException {
    Trial given = TrialScript.read(file);
    Trial trial = (asked.seed() == null ? given : given.withSeed(asked.seed())).settled();
    Verdict first = judged(trial, asked);
    if (first.breaches().isEmpty()) {
      out.println("# all rules held: there is nothing to shrink");
      return 0;
    }
    String rule = first.breaches().get(0).rule();
    Trial small =
        Shrinker.shrink(
            trial,
            one ->
                judged(one, asked).breaches().stream()
                    .anyMatch(breach -> breach.rule().equals(rule)),
            asked.simulate() ? MOST_SIMULATED : MOST_PLAYED);
    out.println(
        "# breaks "
            + rule
            + ": "
            + judged(small, asked).breaches().stream()
                .filter(breach -> breach.rule().equals(rule))
                .map(Breach::words)
                .findFirst()
                .orElse("not in the last play"));
    out.print(small.script());
    return 1;
  }

  private static Verdict judged(Trial trial, Asked asked) throws IOException, InterruptedException {
    PrintStream silent = new PrintStream(java.io.OutputStream.nullOutputStream());
    return Oracles.judge(
        trial,
        asked.simulate()
            ? new SimulationStage().play(trial, line -> {})
            : play(trial, silent, null, asked.environment()));
  }

  /** Plays on processes; their logs go into the report's folder, where there is one. */
  private static History play(
      Trial trial, PrintStream out, Path report, Map<String, String> environment)
      throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("mothwing-trial");
    try (ProcessStage stage = new ProcessStage(folder, "mothwing.Main", environment)) {
      return stage.play(trial, line -> out.println("  " + line));
    } finally {
      if (report != null) {
        Path logs = Files.createDirectories(report.resolve("logs"));
        try (Stream<Path> all = Files.list(folder)) {
          for (Path one : all.filter(Files::isRegularFile).toList()) {
            Files.copy(one, logs.resolve(one.getFileName()), StandardCopyOption.REPLACE_EXISTING);
          }
        }
      }
      ProcessStage.delete(folder);
    }
  }

  /** The table at the end. */
  static void print(Trial trial, History history, Verdict verdict, PrintStream out) {
    TrialStatistics all = TrialStatistics.of(trial, history);
    out.printf(
        Locale.ROOT,
        "%n  asked %d, served %d (%.1f%%), worth by its aim %.1f%%%n",
        all.asked(),
        all.served(),
        100.0 * all.served() / Math.max(1, all.asked()),
        100 * all.worth());
    out.println("  tries: " + all.tries());
    out.printf(
        Locale.ROOT,
        "  served tries: median %.0f ms, 99 of 100 within %.0f ms%n",
        all.p50Ms(),
        all.p99Ms());
    out.printf(
        Locale.ROOT,
        "  writes: %d; across the fleet %d ran twice (%.1f in 1,000), %d answered and forgotten (%.1f),"
            + " %d ran and went unanswered%n",
        all.orders(),
        all.ranTwice(),
        all.perThousand(all.ranTwice()),
        all.forgotten(),
        all.perThousand(all.forgotten()),
        all.ranUnanswered());
    told(trial, verdict, out);
  }

  private static void told(Trial trial, Verdict verdict, PrintStream out) {
    Map<String, List<Breach>> rules = new TreeMap<>();
    verdict
        .breaches()
        .forEach(one -> rules.computeIfAbsent(one.rule(), none -> new ArrayList<>()).add(one));
    rules.forEach(
        (rule, breaches) -> {
          out.println("  BROKEN " + rule + ", " + breaches.size() + " times");
          breaches.stream().limit(MOST_TOLD).forEach(one -> out.println("    " + one.words()));
        });
    verdict.doubts().stream().limit(MOST_TOLD).forEach(one -> out.println("  NO VERDICT: " + one));
    if (verdict.status() == 0) {
      out.println(
          "  all rules held: " + String.join(", ", trial.rules().stream().sorted().toList()));
    }
  }
}
