package mothwing.overload;

import java.util.function.Supplier;
import mothwing.control.ControllerHost;
import mothwing.control.FreeValue;
import mothwing.control.Settings;

/**
 * Publishes, as the free value, how much traffic this server wants from its callers, and shortens
 * the idle timeout of connections while many callers hold connections for few requests.
 */
final class BackpressureSignal {
  /** Lowest published share of the traffic; some has to arrive for a recovery to be noticed. */
  private static final double MIN_WANTED_RATIO = 0.1;

  /** Number of steps of the published share, which is rounded to twentieths. */
  private static final double WANTED_RATIO_STEPS = 20;

  /**
   * Decay of the read and the rejected work with each sample while runs succeed and no shutdown is
   * in progress; about fifty samples count.
   */
  private static final double DECAY_RATIO = 0.98;

  /** Additional decay of the rejected work on idle cores, which have capacity for it. */
  private static final double IDLE_DECAY_RATIO = 0.8;

  /**
   * Mean seconds between two requests of one caller above which keeping its idle connection costs
   * more than reconnecting.
   */
  private static final double MAX_REUSE_INTERVAL_SECONDS = 15;

  /**
   * Rejected share of the work above which the idle timeout is no longer shortened: reconnecting
   * then costs more than full connection tables.
   */
  private static final double RESTORE_TIMEOUT_REJECTED_RATIO = 0.85;

  /** Rejected share of the work above which shortening the idle timeout does not begin. */
  private static final double SHORTEN_TIMEOUT_MAX_REJECTED_RATIO = 0.6;

  /** Shortest idle timeout that a host can apply, in microseconds. */
  private static final long MIN_IDLE_TIMEOUT_MICROS = 10_000;

  /** Highest published load level, which is published while draining. */
  private static final double MAX_LEVEL = 0.95;

  private static final double NOT_PUBLISHED = -1;

  private final Supplier<Settings> settings;
  private final ControllerHost host;
  private double readWork;
  private double rejectedWork;
  private double publishedRatio = NOT_PUBLISHED;
  private FreeValue publishedMeaning;
  private boolean timeoutShortened;
  private boolean draining;
  private int requestsRead;

  BackpressureSignal(Supplier<Settings> settings, ControllerHost host) {
    this.settings = settings;
    this.host = host;
  }

  /** Counts a request that was read, with its expected core time in microseconds. */
  void countRead(double work) {
    requestsRead++;
    readWork += work;
  }

  /**
   * Counts a request that is rejected for lack of capacity, with its expected core time in
   * microseconds.
   */
  void countRejected(double work) {
    rejectedWork += work;
  }

  /** Publishes that no more traffic is wanted, as a graceful shutdown begins. */
  void startDraining() {
    draining = true;
    publish(0);
  }

  /**
   * Updates the published value and the idle timeout from a sample.
   *
   * @param runsFailing whether the runs of this server fail
   * @param idle whether cores are idle
   * @param uptimeMicros time since the server started, in microseconds
   */
  void sample(boolean runsFailing, boolean idle, long uptimeMicros) {
    rejectedWork *= idle ? IDLE_DECAY_RATIO : 1;
    if (draining) {
      publish(0);
    } else if (runsFailing) {
      publish(MIN_WANTED_RATIO);
    } else {
      publish(wantedRatio());
    }
    adjustIdleTimeout(uptimeMicros);
  }

  /** Returns the share of their traffic that callers should send to this server. */
  private double wantedRatio() {
    double rejectedRatio = readWork > 0 ? rejectedWork / readWork : 0;
    readWork *= DECAY_RATIO;
    rejectedWork *= DECAY_RATIO;
    double rounded = Math.round((1 - rejectedRatio) * WANTED_RATIO_STEPS) / WANTED_RATIO_STEPS;
    return Math.max(MIN_WANTED_RATIO, rounded);
  }

  private void publish(double ratio) {
    FreeValue meaning = settings.get().signals().freeValue();
    boolean canPublish = meaning != FreeValue.NONE && meaning != FreeValue.WINDOW;
    boolean changed = ratio != publishedRatio || meaning != publishedMeaning;
    if (canPublish && changed) {
      publishedRatio = ratio;
      publishedMeaning = meaning;
      host.publishFreeValue(meaning == FreeValue.LEVEL ? level(ratio) : ratio);
    }
  }

  private static double level(double wantedRatio) {
    return wantedRatio >= 1 ? 0 : Math.min(MAX_LEVEL, 1 - wantedRatio);
  }

  /**
   * Shortens the idle timeout while many callers send few requests, since their connections fill
   * the connection table, and restores it afterwards, or if most of the work is rejected.
   */
  private void adjustIdleTimeout(long uptimeMicros) {
    double measuredRequestsPerSecond =
        requestsRead * ControllerContext.MICROS_PER_SECOND / uptimeMicros;
    double requestsPerSecond =
        Math.max(2 * settings.get().machine().cores(), measuredRequestsPerSecond);
    double maxRejectedRatio =
        timeoutShortened ? RESTORE_TIMEOUT_REJECTED_RATIO : SHORTEN_TIMEOUT_MAX_REJECTED_RATIO;
    boolean retryStorm = rejectedWork > readWork * maxRejectedRatio;
    boolean shouldShorten =
        settings.get().callers() > MAX_REUSE_INTERVAL_SECONDS * requestsPerSecond && !retryStorm;
    long idleTimeout = settings.get().signals().idleTimeout();
    if (idleTimeout > MIN_IDLE_TIMEOUT_MICROS && shouldShorten != timeoutShortened) {
      timeoutShortened = shouldShorten;
      host.closeIdleConnections(shouldShorten ? MIN_IDLE_TIMEOUT_MICROS : idleTimeout);
    }
  }
}
