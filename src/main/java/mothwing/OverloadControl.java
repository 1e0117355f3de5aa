package mothwing;

import java.util.Arrays;
import java.util.List;

/**
 * The interface between a server and its overload controller: the settings a controller is made
 * with, the events it receives ({@link Controller}) and the actions it asks for ({@link Host}).
 *
 * <p>All times and spans are whole microseconds; the clock only goes forward. Optional settings
 * that were not given are null, and optional times are 0.
 */
public final class OverloadControl {
  private OverloadControl() {}

  /** Whether a class of requests may be run more than once. */
  public enum Repeats {
    /** May run any number of times. */
    SAFE,
    /** Runs once within its window, however often it arrives. */
    GUARDED,
    /** Runs once; a repeat cannot be recognised. */
    SINGLE_SHOT
  }

  /** What the server can do to work that runs. */
  public enum Halting {
    /** Nothing. */
    NONE,
    /** Stop it; what was done is lost. */
    ABORT,
    /** Stop it and take it up again later. */
    SUSPEND
  }

  /** What callers make of the free value. */
  public enum FreeValue {
    /** There is none. */
    NONE,
    /** Requests of lower rank stay away. */
    LEVEL,
    /** So many requests of each caller may be out here. */
    WINDOW,
    /** The chance that a caller does not pass this server over. */
    SHARE
  }

  /** How a run or a call ended. */
  public enum Outcome {
    /** It succeeded. */
    GOOD(false),
    /** It failed and may have taken effect. */
    FAILED(false),
    /** The callee declined it unseen. */
    DECLINED(true),
    /** It was given up and may have taken effect. */
    TIMED_OUT(false),
    /** The callee was not reached. */
    UNREACHED(true),
    /** It was cut short and may have taken effect. */
    CUT(false),
    /** The run was stopped, or ended at a call after its answer. */
    STOPPED(false),
    /** Nothing was started. */
    MOOT(true);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /**
     * Whether the outcome proves that nothing took effect.
     *
     * @return true if so
     */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /**
   * A class of requests.
   *
   * @param name its name
   * @param aim span from the first try within which an answer earns full worth
   * @param deadline span that a client waits in all
   * @param worth worth of one request
   * @param lateWorth share of the worth earned between aim and deadline
   * @param repeats whether it may run again
   * @param window span after its arrival in which a guarded request may come again
   * @param calls whether its runs may call the dependency
   * @param skipWorth share of the worth earned by an answer that leaves the call out
   */
  public record RequestClass(
      String name,
      long aim,
      long deadline,
      double worth,
      double lateWorth,
      Repeats repeats,
      long window,
      boolean calls,
      double skipWorth) {}

  /**
   * One that shares the fleet with others.
   *
   * @param name its name
   * @param quota requests a second over the whole fleet within its share
   */
  public record Tenant(String name, double quota) {}

  /**
   * The parts of the users' goal.
   *
   * @param whole weight of the whole time
   * @param worstWindow weight of the worst stretch
   * @param worstClass weight of the worst-served class
   * @param worstTenant weight of the worst-served tenant
   */
  public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

  /**
   * The figures of the rules.
   *
   * @param answerSlack span past the due time in which an answer still counts
   * @param drainGrace span after the notice in which arrivals may still run
   * @param crowdPerCore running requests a core that a warm server survives
   * @param crowdWindow span over which the crowd is averaged
   * @param coldSpeed least share of full speed at a cold start
   * @param warmAfter span after which a started server is warm at the latest
   */
  public record Rules(
      long answerSlack,
      long drainGrace,
      double crowdPerCore,
      long crowdWindow,
      double coldSpeed,
      long warmAfter) {}

  /**
   * The shared dependency.
   *
   * @param share this server's part of the calls it survives, as a mean number in hand; 0 for no
   *     dependency
   * @param window span over which calls are averaged
   * @param linger span for which a given-up call may stay in its hands
   */
  public record Dependency(double share, long window, long linger) {}

  /**
   * The machine and what it can do.
   *
   * @param cores number of cores
   * @param memory kilobytes in all
   * @param runFactor memory of a running request as a multiple of that of a held one
   * @param entryMemory kilobytes of a remembered key
   * @param cold whether it has just started
   * @param gauges names of the gauges that come with timers, in order
   * @param halting what can be done to running work
   */
  public record Machine(
      int cores,
      double memory,
      double runFactor,
      double entryMemory,
      boolean cold,
      List<String> gauges,
      Halting halting) {}

  /**
   * What can be said to callers.
   *
   * @param freeValue meaning of the free value
   * @param heardFor span for which a caller keeps the value
   * @param mayAdvise whether advice to stay away is passed on
   * @param longestAdvice longest span of advice that is honoured
   * @param goneNotices whether the server is told of callers who left
   * @param idle span after which callers close idle connections themselves; 0 where connections are
   *     not trimmed
   */
  public record Signals(
      FreeValue freeValue,
      long heardFor,
      boolean mayAdvise,
      long longestAdvice,
      boolean goneNotices,
      long idle) {}

  /**
   * All settings of one controller.
   *
   * @param seed seed of its random numbers
   * @param round least span between two batches of events
   * @param classes the classes of requests
   * @param tenants the tenants, possibly none
   * @param replicas servers of this kind at the start
   * @param callers callers of this kind of server at the start
   * @param worthByWork whether worth counts by work rather than by request
   * @param overShareWorth share of the worth that traffic beyond a tenant's quota keeps
   * @param freshFor span for which the answer to a read may serve others
   * @param goal the users' goal
   * @param rules the figures of the rules
   * @param dependency the shared dependency
   * @param machine the machine
   * @param signals what can be said to callers
   */
  public record Settings(
      long seed,
      long round,
      List<RequestClass> classes,
      List<Tenant> tenants,
      int replicas,
      int callers,
      boolean worthByWork,
      double overShareWorth,
      long freshFor,
      Goal goal,
      Rules rules,
      Dependency dependency,
      Machine machine,
      Signals signals) {}

  /**
   * A request that was read and is now held.
   *
   * @param id its name, never used twice
   * @param requestClass place of its class in the settings
   * @param tenant place of its tenant in the settings, or -1
   * @param cost a guess of its core time, or 0
   * @param unread span since it arrived at the machine
   * @param subject what it is about, or null
   * @param memory kilobytes while held
   * @param forerunner the remembered request that it repeats, or null
   * @param rank its rank as callers compare it with a level
   * @param waitsUntil when its caller gives up, or 0
   * @param write whether it writes
   */
  public record Request(
      String id,
      int requestClass,
      int tenant,
      long cost,
      long unread,
      String subject,
      double memory,
      String forerunner,
      double rank,
      long waitsUntil,
      boolean write) {}

  /**
   * The gauges of one moment, or their absence. What was known before is never given again: a
   * controller that is told the same twice would take it for news.
   *
   * @param gauges in the order of the settings; empty where they are not known
   * @param age microseconds since gauges were last known; 0 where these are of this moment
   */
  public record Sample(List<Double> gauges, long age) {
    /** Copies the gauges. */
    public Sample {
      gauges = List.copyOf(gauges);
    }

    /**
     * Gauges of this moment.
     *
     * @param gauges in the order of the settings
     * @return the sample
     */
    public static Sample of(double... gauges) {
      return new Sample(Arrays.stream(gauges).boxed().toList(), 0);
    }

    /**
     * No gauges.
     *
     * @param age microseconds since they were last known
     * @return the sample
     */
    public static Sample absent(long age) {
      return new Sample(List.of(), age);
    }

    /**
     * Whether gauges are known.
     *
     * @return true if so
     */
    public boolean known() {
      return !gauges.isEmpty();
    }
  }

  /** Receives the events of one server. Every call carries the clock. */
  public interface Controller {
    /** The server has started; asked for once, before all else. */
    void started(long now);

    /** A request was read. */
    void read(long now, Request request);

    /** Nobody waits for this request any longer; no answer is owed. */
    void gone(long now, String id);

    /** A running request stands at a call. */
    void atCall(long now, String id);

    /** A call ended. */
    void callEnded(long now, String id, Outcome outcome, long took);

    /** A run, or a replay, ended; it took so long where it ran, or 0 where that is not known. */
    void finished(long now, String id, Outcome outcome, long took);

    /** A timer fired, with the gauges of this moment where they are known. */
    void timer(long now, String tag, Sample sample);

    /**
     * The settings have changed. A class or a tenant at the place of one of the same name is the
     * same; at the place of another name it is new. There are never fewer places than before.
     */
    void retuned(long now, Settings settings);

    /** Notice to leave: the process is stopped at the given time. */
    void drain(long now, long stopAt);

    /** All events of this moment have been given. */
    void settled(long now);
  }

  /** Carries out actions, at the moment of the event that led to them, in order. */
  public interface Host {
    /** Runs a held request or resumes a paused one. */
    void start(String id);

    /** Lets a request at a call make it, until the given time. */
    void call(String id, long until);

    /** Leaves the call out. */
    void skipCall(String id);

    /** Stops running work, as the halting setting says. */
    void halt(String id);

    /** Ends a request unserved: nothing was done. */
    void refuse(String id, boolean dontRetry, long stayAway);

    /** Answers with a failure. */
    void fail(String id);

    /** Remembers a request's key for a span. */
    void remember(String id, long span);

    /** Forgets a request's key. */
    void forget(String id);

    /** Answers a repeat from its forerunner's result. */
    void replay(String id);

    /** Asks for a timer. */
    void timer(long at, String tag);

    /** Sets the free value. */
    void say(double value);

    /** Sets the answer to health checks. */
    void health(boolean cheap, boolean good);

    /**
     * Closes connections from now on that have been idle for a span, at most that of the settings.
     */
    void trimIdle(long span);

    /** Adds a line to the report. */
    void log(String text);
  }
}
