package mothwing.trial;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * What was seen from outside during a trial: every try as its gateway saw it, every run as the
 * pool's journal has it, every life of a process, its sizes, and the faults as they were applied.
 * All times are microseconds from the trial's start.
 */
final class History {
  /** How a try ended for its gateway. */
  enum End {
    /** A result came. */
    SERVED,
    /** Turned away: it never ran. */
    REFUSED,
    /** Any other answer. */
    FAILED,
    /** The connection ended without an answer. */
    LOST,
    /** No connection came about: nothing was sent. */
    UNREACHED,
    /** The gateway stopped waiting. */
    GAVE_UP,
    /** The trial was over before it ended. */
    OPEN
  }

  /**
   * One try of a caller's order.
   *
   * @param order names what the caller wants, the same for all its tries
   * @param attempt 0 for the first
   * @param extra answers after the first one
   * @param proper whether the result is that which the pool makes of this request
   */
  record Call(
      String order,
      int attempt,
      String trace,
      String kind,
      String gateway,
      String server,
      long sentAt,
      long endedAt,
      End end,
      long holdOffMs,
      int extra,
      boolean proper) {}

  /**
   * One run in a pool: its end's code is {@code done}, {@code lost} with the machine, or empty
   * while it runs.
   */
  static final class Run {
    final String machine;
    final int life;
    final String trace;
    final String order;
    final String kind;
    final long beganAt;
    long endedAt = -1;
    String code = "";

    Run(String machine, int life, String trace, String order, String kind, long beganAt) {
      this.machine = machine;
      this.life = life;
      this.trace = trace;
      this.order = order;
      this.kind = kind;
      this.beganAt = beganAt;
    }
  }

  /** A process of a server, from its start to its end. */
  static final class Life {
    final String machine;
    final int life;
    final long beganAt;
    long readyAt = -1;
    long noticeAt = -1;
    long endedAt = -1;

    /** Its exit status, or -1 where it was killed or has not ended. */
    int status = -1;

    /** Whether the rig ended it. */
    boolean killed;

    /** Whether the rig had to end it, as its time to leave was over. */
    boolean overstayed;

    /**
     * Connections that the rig still had to it, with nothing open on them, as its time to leave was
     * over.
     */
    int kept;

    Life(String machine, int life, long beganAt) {
      this.machine = machine;
      this.life = life;
      this.beganAt = beganAt;
    }
  }

  /**
   * What a process took at a moment: resident kilobytes, open descriptors, processor time since its
   * start in ms.
   */
  record Size(
      String machine, int life, long at, long kilobytes, int descriptors, long processorMs) {}

  /** A fault as it was applied; until is the trial's end where it was not taken back. */
  record Applied(long at, long until, Fault fault) {}

  /**
   * What a pool's machine bears from a moment on.
   *
   * @param onCores runs on the cores
   * @param kept runs that take a run's memory: on the cores, stopped, or at a call
   */
  record Crowd(String machine, long at, int onCores, int kept) {}

  /** What a gateway's list of servers had, as it changed. */
  record Listed(long at, String gateway, List<String> servers) {}

  /** The journal of one machine's pool. */
  final class Journal {
    private final String machine;

    Journal(String machine) {
      this.machine = machine;
    }

    Run began(int life, String id, String kind, byte[] body, long now) {
      Run run = new Run(machine, life, id, new String(body, StandardCharsets.UTF_8), kind, now);
      runs.add(run);
      return run;
    }

    void crowd(long now, int onCores, int kept) {
      crowds.add(new Crowd(machine, now, onCores, kept));
    }

    void ended(Run run, String code, long now) {
      run.code = code;
      run.endedAt = now;
    }
  }

  private static final Gson JSON = new GsonBuilder().serializeSpecialFloatingPointValues().create();

  final List<Call> calls = Collections.synchronizedList(new ArrayList<>());
  final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
  final List<Life> lives = Collections.synchronizedList(new ArrayList<>());
  final List<Size> sizes = Collections.synchronizedList(new ArrayList<>());
  final List<Applied> applied = Collections.synchronizedList(new ArrayList<>());
  final List<Crowd> crowds = Collections.synchronizedList(new ArrayList<>());
  final List<Listed> listed = Collections.synchronizedList(new ArrayList<>());

  /** Microseconds by which the rig's own clock was late, a figure for each look. */
  final List<Long> lateness = Collections.synchronizedList(new ArrayList<>());

  /** What the rig could not do, in words: then there is no verdict. */
  final List<String> troubles = Collections.synchronizedList(new ArrayList<>());

  /** Who is told of each try's end as its gateway has it. */
  volatile Consumer<Call> onEnd = call -> {};

  Journal journal(String machine) {
    return new Journal(machine);
  }

  /** A journal that nobody reads. */
  static Journal unread() {
    return new History().journal("none");
  }

  /**
   * Writes it down, a file for each kind of line.
   *
   * @throws IOException where the folder cannot be written
   */
  void write(Path folder) throws IOException {
    Files.createDirectories(folder);
    lines(folder.resolve("calls.jsonl"), calls);
    lines(folder.resolve("runs.jsonl"), runs);
    lines(folder.resolve("lives.jsonl"), lives);
    lines(folder.resolve("sizes.jsonl"), sizes);
    lines(folder.resolve("faults.jsonl"), applied);
    lines(folder.resolve("crowds.jsonl"), crowds);
    lines(folder.resolve("lists.jsonl"), listed);
    lines(folder.resolve("lateness.jsonl"), lateness);
    lines(folder.resolve("troubles.jsonl"), troubles);
  }

  /**
   * Reads what was written.
   *
   * @throws IOException where a file is missing or has a line that is none of its kind
   */
  static History read(Path folder) throws IOException {
    History all = new History();
    into(folder.resolve("calls.jsonl"), Call.class, all.calls);
    into(folder.resolve("runs.jsonl"), Run.class, all.runs);
    into(folder.resolve("lives.jsonl"), Life.class, all.lives);
    into(folder.resolve("sizes.jsonl"), Size.class, all.sizes);
    into(folder.resolve("faults.jsonl"), Applied.class, all.applied);
    into(folder.resolve("crowds.jsonl"), Crowd.class, all.crowds);
    into(folder.resolve("lists.jsonl"), Listed.class, all.listed);
    into(folder.resolve("lateness.jsonl"), Long.class, all.lateness);
    into(folder.resolve("troubles.jsonl"), String.class, all.troubles);
    return all;
  }

  private static <T> void lines(Path file, List<T> all) throws IOException {
    try (Writer out = Files.newBufferedWriter(file)) {
      synchronized (all) {
        for (T one : all) {
          out.write(JSON.toJson(one));
          out.write('\n');
        }
      }
    }
  }

  private static <T> void into(Path file, Class<T> kind, List<T> all) throws IOException {
    try (BufferedReader in = Files.newBufferedReader(file)) {
      int number = 0;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        number++;
        try {
          all.add(JSON.fromJson(line, kind));
        } catch (RuntimeException bad) {
          throw new IOException(file + ":" + number + ": " + bad.getMessage());
        }
      }
    }
  }
}
