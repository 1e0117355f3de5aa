package mothwing.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import mothwing.broker.Scheduler;

/**
 * The cores of a stand-in worker pool, which share them evenly among what runs, and the journal of
 * all runs. Pure: time comes from its timers, work from its random numbers.
 */
final class PoolCores {
  private boolean fresh;
  private static final long UNENDING = Long.MAX_VALUE / 4;
  private static final long NEVER = UNENDING / 2; // a wait beyond it is not planned
  private static final int MOST_OVER = 20_000;
  private static final double MICRO_SHARE = 1e-3; // microseconds of work left that count as done

  /** Who is told of the end of a run: {@code done} or {@code aborted}. */
  interface Ends {
    /** A run is over, or was stopped, after so many microseconds on the cores. */
    void ended(String id, String code, long took, byte[] body);

    /** A run has left its core for a call, and waits for what it asks. */
    default void blocked(String id, byte[] content) {
      throw new IllegalStateException(id + " calls, and nobody is there to make the call");
    }
  }

  /**
   * What a run of a class takes: milliseconds on a core in the mean, their spread, and how many
   * calls stand between.
   */
  record Kind(double meanMs, double spread, int calls) {}

  /** What the pool does, and how fast; a stop keeps the work, or throws it away. */
  record Work(int cores, Function<String, Kind> of, boolean keeps) {
    /** The same for all classes, and no calls. */
    Work(int cores, double meanMs, double spread) {
      this(cores, meanMs, spread, Trial.Halting.SUSPEND);
    }

    /** The same, and what a stop does. */
    Work(int cores, double meanMs, double spread, Trial.Halting halting) {
      this(cores, kind -> new Kind(meanMs, spread, 0), halting != Trial.Halting.ABORT);
    }

    /** A run that ends by {@link #endAll} only. */
    static Work unending() {
      return new Work(2, -1, 0);
    }

    /** So many milliseconds for each run, however many there are. */
    static Work fixed(long ms) {
      return new Work(Integer.MAX_VALUE, ms, 0);
    }
  }

  private static final class Job {
    final byte[] body;
    final Ends ends;
    final History.Run run;
    final double part;
    int calls;
    double left;
    double took;

    Job(byte[] body, Ends ends, History.Run run, double whole, int calls) {
      this.body = body;
      this.ends = ends;
      this.run = run;
      this.calls = calls;
      part = whole / (calls + 1);
      left = part;
    }
  }

  private final Work work;
  private final Scheduler timers;
  private final Random random;
  private final History.Journal journal;
  private final Map<String, Job> running = new LinkedHashMap<>();
  private final Map<String, Job> paused = new LinkedHashMap<>();
  private final Map<String, Job> atCall = new LinkedHashMap<>();
  private final Set<String> over =
      new LinkedHashSet<>(); // requests whose callers have an answer or have left
  private final Random muting = new Random(1);
  private double mute;
  private boolean hung;
  private double speed = 1;
  private long last;
  private long planned = Long.MAX_VALUE;
  private boolean off;

  PoolCores(Work work, Scheduler timers, Random random, History.Journal journal) {
    this.work = work;
    this.timers = timers;
    this.random = random;
    this.journal = journal;
    last = timers.now();
  }

  /**
   * Begins a run for one life of the server, unless there is one of that name; {@code stale} where
   * its request is over.
   */
  void spawn(String id, String kind, byte[] body, int life, Ends ends) {
    if (off || running.containsKey(id) || paused.containsKey(id) || atCall.containsKey(id)) {
      return;
    }
    if (over.contains(id)) {
      ends.ended(id, "stale", 0, body);
      return;
    }
    advance();
    Kind one = work.of().apply(kind);
    double ms = one.meanMs() * (1 + one.spread() * (2 * random.nextDouble() - 1));
    running.put(
        id,
        new Job(
            body,
            ends,
            journal.began(life, id, kind, body, timers.now()),
            one.meanMs() < 0 ? UNENDING : Math.max(1, ms * 1000),
            one.calls()));
    plan();
  }

  /**
   * Stops a run, and keeps it where stops do; nothing where there is none, and nothing while the
   * cores hang. One that stands at a call is kept there.
   */
  void suspend(String id) {
    advance();
    if (hung) {
      return;
    }
    Job job = running.remove(id);
    if (job == null && !work.keeps()) {
      job = atCall.remove(id);
    }
    if (job != null) {
      if (work.keeps() && !over.contains(id)) {
        paused.put(id, job);
      } else {
        journal.ended(job.run, "aborted", timers.now());
      }
      job.ends.ended(id, "aborted", (long) job.took, job.body);
      plan();
    }
  }

  /** Goes on with a run that was stopped. */
  void proceed(String id) {
    advance();
    Job job = paused.remove(id);
    if (job != null) {
      running.put(id, job);
      plan();
    }
  }

  /** A run that stands at a call goes on with its result; whether there is such a run. */
  boolean supply(String id) {
    advance();
    Job job = atCall.remove(id);
    if (job != null) {
      job.left = job.part;
      running.put(id, job);
      plan();
    }
    return job != null;
  }

  /**
   * Nobody waits for this request any longer: a run of it that stands at a call is over, and one
   * that was stopped is gone.
   */
  void over(String id) {
    over.add(id);
    if (over.size() > MOST_OVER) {
      over.remove(over.iterator().next());
    }
    Job job = atCall.remove(id);
    Job stopped = paused.remove(id);
    if (stopped != null) {
      journal.ended(stopped.run, "aborted", timers.now());
    } else if (job != null) {
      journal.ended(job.run, "aborted", timers.now());
      job.ends.ended(id, "aborted", (long) job.took, job.body);
    }
    told();
  }

  /** The cores do no work and stop nothing, or go on. */
  void hang(boolean now) {
    advance();
    hung = now;
    plan();
  }

  /** Leaves a share of the polls unanswered from now on. */
  void mute(double share) {
    mute = share;
  }

  /** Whether the next poll is answered. */
  boolean answersPoll() {
    return mute == 0 || muting.nextDouble() >= mute;
  }

  private void told() {
    journal.crowd(timers.now(), running.size(), running.size() + paused.size() + atCall.size());
  }

  /** How many runs are on the cores. */
  int onCores() {
    return running.size();
  }

  /** The share of its speed at which it works from now on. */
  void speed(double now) {
    advance();
    speed = now;
    plan();
  }

  /** The machine stands still, or goes on. */
  void hold(boolean still) {
    advance();
    off = still;
    if (!still) {
      last = timers.now();
      plan();
    }
  }

  /** Whether all was lost here once: whoever links then is told that the pool has just started. */
  boolean fresh() {
    return fresh;
  }

  /** Power is lost: what runs is gone, and nobody is told. */
  void lose() {
    fresh = true;
    off = true;
    List<Job> all = new ArrayList<>(running.values());
    all.addAll(paused.values());
    all.addAll(atCall.values());
    all.forEach(job -> journal.ended(job.run, "lost", timers.now()));
    running.clear();
    paused.clear();
    atCall.clear();
    told();
  }

  /** Ends all that runs. */
  void endAll() {
    advance();
    for (String id : new ArrayList<>(running.keySet())) {
      end(id);
    }
  }

  /** Busy share of the cores, runs on them, share of memory, open sockets. */
  double[] gauges() {
    return new double[] {
      Math.min(1, (double) running.size() / Math.min(work.cores(), 1 << 10)), running.size(), 0.1, 1
    };
  }

  boolean anyPaused() {
    return !paused.isEmpty();
  }

  private double rate() {
    return hung ? 0 : speed * Math.min(1, (double) work.cores() / Math.max(1, running.size()));
  }

  private void advance() {
    long now = timers.now();
    double done = off ? 0 : (now - last) * rate();
    last = now;
    for (Job job : running.values()) {
      job.left -= done;
      job.took += off ? 0 : done;
    }
  }

  private void plan() {
    told();
    double least = running.values().stream().mapToDouble(job -> job.left).min().orElse(-1);
    if ((least < 0 && running.isEmpty()) || off || rate() <= 0) {
      return;
    }
    double wait = Math.max(0, least) / rate();
    long at = wait > NEVER ? Long.MAX_VALUE : timers.now() + (long) Math.ceil(wait);
    if (at < planned || planned <= timers.now()) {
      planned = at;
      if (at < Long.MAX_VALUE) {
        timers.schedule(at, this::due);
      }
    }
  }

  private void due() {
    planned = Long.MAX_VALUE;
    advance();
    if (off) {
      return;
    }
    for (Map.Entry<String, Job> one : new ArrayList<>(running.entrySet())) {
      Job job = one.getValue();
      if (job.left <= MICRO_SHARE && job.calls > 0) {
        job.calls--;
        atCall.put(one.getKey(), running.remove(one.getKey()));
        job.ends.blocked(one.getKey(), job.body);
      } else if (job.left <= MICRO_SHARE) {
        end(one.getKey());
      }
    }
    plan();
  }

  private void end(String id) {
    Job job = running.remove(id);
    journal.ended(job.run, "done", timers.now());
    job.ends.ended(id, "done", (long) job.took, job.body);
  }
}
