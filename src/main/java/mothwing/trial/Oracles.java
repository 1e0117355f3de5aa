package mothwing.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import mothwing.trial.Fault.Kind;
import mothwing.trial.History.Applied;
import mothwing.trial.History.Call;
import mothwing.trial.History.Crowd;
import mothwing.trial.History.End;
import mothwing.trial.History.Life;
import mothwing.trial.History.Run;

/** Judges a history by the rules. Pure, and independent of what was judged. */
final class Oracles {
  /** The rules that hold for every trial unless it names others. */
  static final Set<String> RULES =
      Set.copyOf(
          new TreeSet<>(
              List.of(
                  "one-answer",
                  "own-result",
                  "once-a-server",
                  "refused-never-ran",
                  "due",
                  "drain",
                  "bounds",
                  "alive",
                  "closes",
                  "overload")));

  /** Rules that a trial may ask for. */
  static final Set<String> FURTHER = Set.of("once-in-fleet");

  private static final Set<String> TIMED = Set.of("due", "drain", "closes");
  private static final long MILLI = 1000;
  private static final long SLACK = 150 * MILLI; // that of the settings, and 50 ms on sockets
  private static final long GRACE = 2000 * MILLI; // after the notice, for arrivals that may run
  private static final int FALL_PER_CORE = 8; // that of the settings
  private static final long FALL_SPAN = 2000 * MILLI; // that of the settings
  private static final long CROSSING = 200 * MILLI; // for a process's end to reach its gateways
  private static final long TOO_LATE = 50 * MILLI;
  private static final double LATE_SHARE = 0.01;

  /** One breach: the rule, and what was seen. */
  record Breach(String rule, String words) {}

  /**
   * What came out.
   *
   * @param breaches rules that broke
   * @param doubts why there is no verdict, where there is none
   */
  record Verdict(List<Breach> breaches, List<String> doubts) {
    /** 0 where all held, 1 where a rule broke, 3 where nobody can say. */
    int status() {
      return !breaches.isEmpty() ? 1 : doubts.isEmpty() ? 0 : 3;
    }
  }

  private final Trial trial;
  private final History history;
  private final List<Breach> all = new ArrayList<>();
  private final Map<String, List<Run>> runsByTrace = new HashMap<>();

  private Oracles(Trial trial, History history) {
    this.trial = trial;
    this.history = history;
    for (Run one : history.runs) {
      runsByTrace.computeIfAbsent(one.trace, none -> new ArrayList<>()).add(one);
    }
  }

  /** Judges all that the trial's rules name. */
  static Verdict judge(Trial trial, History history) {
    Oracles one = new Oracles(trial, history);
    one.calls();
    one.runs();
    one.lives();
    one.crowds();
    List<Breach> breaches = new ArrayList<>(one.all);
    breaches.removeIf(breach -> !trial.rules().contains(breach.rule()));
    List<String> doubts = new ArrayList<>(history.troubles);
    List<Long> lateness = List.of(history.lateness.toArray(Long[]::new)); // still appended to
    long late = lateness.stream().filter(by -> by > TOO_LATE).count();
    if (late > LATE_SHARE * lateness.size()) {
      doubts.add(
          "the machine was too slow to judge: of "
              + lateness.size()
              + " looks at the rig's clock "
              + late
              + " were more than "
              + TOO_LATE / MILLI
              + " ms late");
      breaches.removeIf(
          breach ->
              TIMED.contains(breach.rule())
                  && doubts.add("unjudged, " + breach.rule() + ": " + breach.words()));
    }
    if (history.calls.isEmpty()) {
      doubts.add("nothing was asked");
    }
    return new Verdict(List.copyOf(breaches), List.copyOf(doubts));
  }

  private void breach(String rule, String words) {
    all.add(new Breach(rule, words));
  }

  private static String seconds(long micros) {
    return Fault.number(Math.round(micros / 1000.0) / 1000.0) + " s";
  }

  private static String told(Call call) {
    return call.kind()
        + " "
        + call.order()
        + " try "
        + call.attempt()
        + " ("
        + call.trace()
        + ") from "
        + call.gateway()
        + " to "
        + call.server()
        + " at "
        + seconds(call.sentAt());
  }

  // what callers saw

  private void calls() {
    for (Call call : history.calls) {
      if (call.extra() > 0) {
        breach("one-answer", told(call) + " was answered " + (1 + call.extra()) + " times");
      }
      List<Run> runs = runsByTrace.getOrDefault(call.trace(), List.of());
      if (call.end() == End.SERVED && !call.proper()) {
        breach("own-result", told(call) + " was served what the pool does not make of it");
      } else if (call.end() == End.SERVED
          && runs.stream().noneMatch(run -> run.code.equals("done"))) {
        breach("own-result", told(call) + " was served, and no run of it has ended well");
      }
      if (call.end() == End.REFUSED && !runs.isEmpty()) {
        breach(
            "refused-never-ran",
            told(call) + " was refused, and ran at " + seconds(runs.get(0).beganAt));
      }
      boolean excused = excused(call);
      if ((call.end() == End.LOST || call.end() == End.OPEN) && !excused) {
        breach(
            "one-answer",
            told(call)
                + " had no answer: "
                + call.end().name().toLowerCase(java.util.Locale.ROOT)
                + " at "
                + seconds(call.endedAt()));
      }
      long due = call.sentAt() + trial.fleet().deadlineMs() * MILLI + SLACK + still(call);
      if (call.end() != End.UNREACHED
          && call.end() != End.LOST
          && call.endedAt() > due
          && !excused) {
        breach(
            "due",
            told(call)
                + " ended after "
                + seconds(call.endedAt() - call.sentAt())
                + ", "
                + call.end().name().toLowerCase(java.util.Locale.ROOT));
      }
    }
  }

  /**
   * Whether a fault between the two, or the end of the server, takes the server's word out of its
   * hands.
   */
  private boolean excused(Call call) {
    for (Applied one : history.applied) {
      boolean meanwhile = one.at() <= call.endedAt() && one.until() + CROSSING >= call.sentAt();
      Fault fault = one.fault();
      boolean gone = fault.kind() == Kind.KILL || fault.kind() == Kind.WIPE;
      if ((meanwhile
              && gone
              && fault.from().stream().anyMatch(name -> Trial.machine(name).equals(call.server())))
          || (meanwhile
              && fault.kind().link
              && fault.kind() != Kind.HEAL
              && (Links.touches(fault, call.gateway(), call.server())
                  || Links.touches(fault, call.server(), call.gateway())))) {
        return true;
      }
    }
    return false;
  }

  /** Microseconds for which its server stood still while it was open. */
  private long still(Call call) {
    long sum = 0;
    for (Applied one : history.applied) {
      if (one.fault().kind() == Kind.STOP
          && one.fault().from().stream()
              .anyMatch(name -> Trial.machine(name).equals(call.server()))) {
        sum +=
            Math.max(0, Math.min(one.until(), call.endedAt()) - Math.max(one.at(), call.sentAt()));
      }
    }
    return sum;
  }

  // what pools ran

  private void runs() {
    Map<String, Map<String, Integer>> byMachine = new LinkedHashMap<>();
    for (Run run : history.runs) {
      if (run.kind.equals(Trial.ORDER)) {
        byMachine
            .computeIfAbsent(run.machine, none -> new LinkedHashMap<>())
            .merge(run.trace, 1, Integer::sum);
      }
    }
    byMachine.forEach(
        (machine, traces) ->
            traces.forEach(
                (trace, times) -> {
                  if (times > 1) {
                    breach(
                        "once-a-server",
                        "the write " + trace + " ran " + times + " times on " + machine);
                  }
                }));
    ranTwice(history)
        .forEach(
            (order, runs) ->
                breach(
                    "once-in-fleet",
                    "the write "
                        + order
                        + " ran "
                        + runs.size()
                        + " times: "
                        + String.join(
                            ", ",
                            runs.stream()
                                .map(run -> "on " + run.machine + " at " + seconds(run.beganAt))
                                .toList())));
  }

  /** The writes of callers that ran more than once, on whatever machine. */
  static Map<String, List<Run>> ranTwice(History history) {
    Map<String, List<Run>> all = new LinkedHashMap<>();
    for (Run run : history.runs) {
      if (run.kind.equals(Trial.ORDER)) {
        all.computeIfAbsent(run.order, none -> new ArrayList<>()).add(run);
      }
    }
    all.values().removeIf(runs -> runs.size() < 2);
    return all;
  }

  /** Writes that a caller holds an answer to, and whose server has lost its disk since. */
  static Set<String> forgotten(History history) {
    Set<String> all = new HashSet<>();
    for (Call call : history.calls) {
      if (call.kind().equals(Trial.ORDER)
          && call.end() == End.SERVED
          && history.applied.stream()
              .anyMatch(
                  one ->
                      one.fault().kind() == Kind.WIPE
                          && one.fault().from().contains(call.server())
                          && one.at() >= call.endedAt())) {
        all.add(call.order());
      }
    }
    return all;
  }

  // machines

  /**
   * No machine bears more than so many runs a core in the mean of a span, nor more started runs
   * than its memory has room for.
   */
  private void crowds() {
    Map<String, List<Crowd>> byMachine = new LinkedHashMap<>();
    for (Crowd one : history.crowds) {
      byMachine.computeIfAbsent(one.machine(), none -> new ArrayList<>()).add(one);
    }
    byMachine.forEach(
        (machine, steps) -> {
          double mean = worstMean(steps);
          if (mean > FALL_PER_CORE * trial.fleet().cores()) {
            breach(
                "overload",
                machine
                    + " fell: "
                    + Fault.number((double) Math.round(mean))
                    + " runs on its cores in the mean of "
                    + seconds(FALL_SPAN));
          }
          Crowd most = steps.stream().max(Comparator.comparingInt(Crowd::kept)).orElseThrow();
          if (most.kept() > trial.fleet().mostRuns()) {
            breach(
                "overload",
                machine
                    + " fell: "
                    + most.kept()
                    + " started runs in its memory at "
                    + seconds(most.at())
                    + ", more than "
                    + trial.fleet().mostRuns());
          }
        });
  }

  /**
   * The highest mean of runs on the cores over any span of the rule: a worst one begins or ends at
   * a change.
   */
  static double worstMean(List<Crowd> steps) {
    double[] until = new double[steps.size()]; // runs times microseconds before each change
    for (int i = 1; i < until.length; i++) {
      Crowd before = steps.get(i - 1);
      until[i] = until[i - 1] + (double) before.onCores() * (steps.get(i).at() - before.at());
    }
    double worst = 0;
    for (Crowd one : steps) {
      for (long end : new long[] {one.at(), one.at() + FALL_SPAN}) {
        double inSpan = runTime(steps, until, end) - runTime(steps, until, end - FALL_SPAN);
        worst = Math.max(worst, inSpan / FALL_SPAN);
      }
    }
    return worst;
  }

  /** Runs times microseconds up to a moment. */
  private static double runTime(List<Crowd> steps, double[] until, long at) {
    int low = 0;
    int high = steps.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (steps.get(middle).at() <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0
        ? 0
        : until[low - 1] + (double) steps.get(low - 1).onCores() * (at - steps.get(low - 1).at());
  }

  // processes

  /**
   * When a process could hear of its notice: a signal to one that stands still waits for its
   * waking.
   */
  private long heardAt(Life life) {
    long heard = life.noticeAt;
    for (Applied one : history.applied) {
      if (one.fault().kind() == Kind.STOP
          && one.at() <= life.noticeAt
          && one.until() > heard
          && one.fault().from().stream()
              .anyMatch(name -> Trial.machine(name).equals(life.machine))) {
        heard = one.until();
      }
    }
    return heard;
  }

  private void lives() {
    Map<String, Call> sent = new HashMap<>();
    history.calls.forEach(call -> sent.put(call.trace(), call));
    for (Life life : history.lives) {
      String who = life.machine + " (start " + life.life + ")";
      if (life.endedAt >= 0 && life.noticeAt < 0 && !life.killed) {
        breach(
            "alive",
            who + " ended by itself at " + seconds(life.endedAt) + " with status " + life.status);
      }
      if (life.noticeAt >= 0
          && (life.overstayed || (life.endedAt >= 0 && !life.killed && life.status != 0))) {
        breach(
            "drain",
            who
                + (life.overstayed
                    ? " was still there " + trial.fleet().stopMs() + " ms after its notice"
                    : " ended with status " + life.status + " after its notice"));
      }
      if (life.kept > 0) {
        breach(
            "closes",
            who + " kept " + life.kept + " connections on which nothing was open after its notice");
      }
      for (Run run : history.runs) {
        Call call = sent.get(run.trace);
        if (life.noticeAt >= 0
            && run.machine.equals(life.machine)
            && run.life == life.life
            && call != null
            && call.sentAt() > heardAt(life) + GRACE + SLACK) {
          breach(
              "drain",
              who
                  + " ran what reached it "
                  + seconds(call.sentAt() - heardAt(life))
                  + " after its notice: "
                  + told(call));
        }
      }
    }
    Map<String, History.Size> most = new LinkedHashMap<>();
    history.sizes.forEach(
        one -> {
          most.merge(one.machine() + " kB", one, (a, b) -> a.kilobytes() >= b.kilobytes() ? a : b);
          most.merge(
              one.machine() + " descriptors",
              one,
              (a, b) -> a.descriptors() >= b.descriptors() ? a : b);
        });
    most.forEach(
        (what, one) -> {
          if ((what.endsWith("kB") && one.kilobytes() > trial.fleet().memoryMb() * 1024L)
              || (what.endsWith("rs") && one.descriptors() > trial.fleet().sockets())) {
            breach(
                "bounds",
                what
                    + ": "
                    + (what.endsWith("kB") ? one.kilobytes() : one.descriptors())
                    + " at "
                    + seconds(one.at())
                    + ", more than "
                    + (what.endsWith("kB")
                        ? trial.fleet().memoryMb() + " MB"
                        : trial.fleet().sockets()));
          }
        });
    all.sort(Comparator.comparing(Breach::rule));
  }
}
