package mothwing.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import mothwing.script.Arguments;
import mothwing.script.Limits;
import mothwing.script.Script;
import mothwing.script.ScriptError;
import mothwing.script.Sources;
import mothwing.trial.Trial.Fleet;
import mothwing.trial.Trial.Habit;
import mothwing.trial.Trial.Load;

/** Reads a trial from a script (docs/trials.md), by functions that the script calls. */
final class TrialScript {
  private static final int MOST_SERVERS = 64;
  private static final int MOST_FAULTS = 10_000;
  private static final double LONGEST = 3600;

  /** A fault without its time, and where it was written. */
  private record Written(Fault fault, Arguments call) {}

  private Arguments head;
  private String name;
  private double seconds;
  private long seed;
  private Fleet fleet = Fleet.USUAL;
  private Load load = Load.USUAL;
  private Set<String> rules = Set.copyOf(Oracles.RULES);
  private FaultBounds drawn;
  private final List<Written> written = new ArrayList<>();

  private TrialScript() {}

  /**
   * Reads a trial.
   *
   * @param file the script; what it loads lies below its folder
   * @throws IOException where it cannot be read or says what makes no sense; the message names the
   *     place
   */
  static Trial read(Path file) throws IOException {
    return read(file.getFileName().toString(), Sources.below(file.toAbsolutePath().getParent()));
  }

  /** Reads a trial from what a source gives. */
  static Trial read(String file, Sources sources) throws IOException {
    TrialScript script = new TrialScript();
    Map<String, Script.Builtin> all = new LinkedHashMap<>();
    all.put("trial", script::trial);
    all.put("fleet", script::fleet);
    all.put("traffic", script::traffic);
    all.put("rules", script::rules);
    all.put("at", script::at);
    all.put("drawn", script::drawn);
    for (Fault.Kind kind : Fault.Kind.values()) {
      all.put(kind.word(), call -> fault(kind, call));
    }
    Script.run(file, sources, Limits.USUAL, all);
    if (script.head == null) {
      throw new IOException(file + ": no trial(name = ..., seconds = ...)");
    }
    return script.whole();
  }

  private Trial whole() throws ScriptError {
    List<Fault> faults = new ArrayList<>();
    Trial bare = new Trial(name, seed, seconds, fleet, load, List.of(), drawn, rules);
    Set<String> known = bare.machines();
    for (Written one : written) {
      for (String machine : one.fault.machines()) {
        if (!known.contains(machine) && !process(one.fault, machine, bare)) {
          throw one.call.wrong("there is no machine " + machine + ", there are " + known);
        }
      }
      if (!one.fault.kind().link) {
        for (String machine : one.fault.from()) {
          if (!bare.servers().contains(Trial.machine(machine))) {
            throw one.call.wrong(machine + " is no server, there are " + bare.servers());
          }
        }
      }
      if (one.fault.at() > seconds) {
        throw one.call.wrong("it comes at " + one.fault.at() + ", after the end at " + seconds);
      }
      faults.add(one.fault);
    }
    return bare.withFaults(faults);
  }

  /**
   * Whether a name means one process of a server, and what happens can happen to a process alone.
   */
  private static boolean process(Fault fault, String name, Trial bare) {
    return (fault.kind() == Fault.Kind.KILL || fault.kind() == Fault.Kind.STOP)
        && !name.equals(Trial.machine(name))
        && bare.servers().contains(Trial.machine(name));
  }

  private static void once(Object before, Arguments call) throws ScriptError {
    if (before != null) {
      throw call.wrong("is called twice");
    }
  }

  private Object trial(Arguments call) throws ScriptError {
    once(head, call);
    head = call;
    name = call.text("name");
    if (!name.matches("[a-z0-9-]{1,40}")) {
      throw call.wrong("argument name is \"" + name + "\", expected small letters, digits and -");
    }
    seconds = call.number("seconds", 10, 0.1, LONGEST);
    seed = call.whole("seed", 1, 0, Long.MAX_VALUE);
    call.done(0);
    return null;
  }

  private Object fleet(Arguments call) throws ScriptError {
    Fleet usual = Fleet.USUAL;
    fleet =
        new Fleet(
            (int) call.whole("servers", usual.servers(), 1, MOST_SERVERS),
            (int) call.whole("cores", usual.cores(), 1, 64),
            call.number("work_ms", usual.workMs(), 0.1, 60_000),
            call.number("spread", usual.spread(), 0, 1),
            call.whole("deadline_ms", usual.deadlineMs(), 200, 60_000),
            (int) call.whole("memory_mb", usual.memoryMb(), 48, 1 << 16),
            (int) call.whole("sockets", usual.sockets(), 80, 1 << 16),
            call.whole("stop_ms", usual.stopMs(), 300, 60_000),
            (int) call.whole("memory_runs", usual.memoryRuns(), 1, 1 << 16),
            halting(call));
    call.done(0);
    return null;
  }

  private static Trial.Halting halting(Arguments call) throws ScriptError {
    String word = call.text("halt", Trial.Halting.SUSPEND.word());
    for (Trial.Halting one : Trial.Halting.values()) {
      if (one.word().equals(word)) {
        return one;
      }
    }
    throw call.wrong("argument halt is \"" + word + "\", expected suspend, abort or silent");
  }

  private Object traffic(Arguments call) throws ScriptError {
    Load usual = Load.USUAL;
    List<Habit> habits = new ArrayList<>();
    for (String one : call.list("habits", String.class, "a habit")) {
      try {
        habits.add(Habit.valueOf(one.toUpperCase(Locale.ROOT)));
      } catch (IllegalArgumentException unknown) {
        throw call.wrong(
            "argument habits has \"" + one + "\", expected round_robin, stick or checked");
      }
    }
    load =
        new Load(
            call.number("rate", usual.rate(), 0.01, 100_000),
            call.number("orders", usual.orders(), 0, 1),
            (int) call.whole("gateways", usual.gateways(), 1, 64),
            habits.isEmpty() ? usual.habits() : habits,
            call.number("heed", usual.heed(), 0, 1),
            (int) call.whole("retries", usual.retries(), 0, 10),
            call.number("backoff_ms", usual.backoffMs(), 1, 60_000),
            call.whole("patience_ms", usual.patienceMs(), 100, 60_000));
    call.done(0);
    return null;
  }

  private Object rules(Arguments call) throws ScriptError {
    List<?> given = call.given(0, "names", List.class, "a list");
    Set<String> all = new TreeSet<>();
    for (Object one : given) {
      if (!Oracles.RULES.contains(one) && !Oracles.FURTHER.contains(one)) {
        throw call.wrong(
            "unknown rule " + one + ", expected some of " + Oracles.RULES + ", " + Oracles.FURTHER);
      }
      all.add((String) one);
    }
    rules = all;
    call.done(1);
    return null;
  }

  private Object at(Arguments call) throws ScriptError {
    Object when = call.given(0, "seconds", Object.class, "a number");
    double at = when instanceof Long whole ? whole : when instanceof Double some ? some : -1;
    if (!(at >= 0)) {
      throw call.wrong("argument seconds is " + when + ", expected a number of 0 or more");
    }
    Fault fault = call.given(1, "fault", Fault.class, "a fault such as kill([\"s1\"])");
    call.done(2);
    if (written.size() >= MOST_FAULTS) {
      throw call.wrong("more than " + MOST_FAULTS + " faults");
    }
    written.add(new Written(fault.at(at), call));
    return null;
  }

  private Object drawn(Arguments call) throws ScriptError {
    once(drawn, call);
    Set<Fault.Kind> kinds = new TreeSet<>();
    for (String one : call.list("kinds", String.class, "a fault's name")) {
      try {
        kinds.add(Fault.Kind.valueOf(one.toUpperCase(Locale.ROOT)));
      } catch (IllegalArgumentException unknown) {
        throw call.wrong(
            "argument kinds has \""
                + one
                + "\", expected some of "
                + FaultBounds.BOTH.stream().sorted().map(Fault.Kind::word).toList());
      }
    }
    drawn =
        new FaultBounds(
            (int) call.whole("faults", 5, 1, 1000),
            call.number("longest", 2, 0.1, 60),
            kinds.isEmpty() ? FaultBounds.BOTH : kinds);
    call.done(0);
    return null;
  }

  private static List<String> names(Arguments call, int place, String name) throws ScriptError {
    List<String> all = new ArrayList<>();
    for (Object one : call.given(place, name, List.class, "a list of machines")) {
      if (!(one instanceof String text)) {
        throw call.wrong("argument " + name + " has " + one + ", expected names of machines");
      }
      all.add(text);
    }
    if (all.isEmpty()) {
      throw call.wrong("argument " + name + " is empty");
    }
    return all;
  }

  private static Object fault(Fault.Kind kind, Arguments call) throws ScriptError {
    List<String> from = names(call, 0, "machines");
    List<String> to = kind.link ? names(call, 1, "to") : List.of();
    boolean oneWay = kind.link && call.mark("one_way", false);
    double value =
        switch (kind) {
          case DELAY -> call.number("ms", 100, 0, 60_000);
          case SLOW -> call.number("bytes", 10_000, 1, 1e9);
          case CROWD -> call.whole("busy", 1, 0, 64);
          case LOSE, REPEAT, FLIP, DIP, MUTE -> call.number("share", 0.1, 0, 1);
          default -> 0;
        };
    double more = kind == Fault.Kind.DELAY ? call.number("spread_ms", 0, 0, 60_000) : 0;
    double seconds = kind.lasting ? call.number("seconds", 0, 0, LONGEST) : 0;
    call.done(kind.link ? 2 : 1);
    return new Fault(0, kind, from, to, oneWay, value, more, seconds);
  }
}
