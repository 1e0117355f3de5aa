package mothwing.overload;

import java.util.function.Supplier;
import mothwing.control.ControllerHost;
import mothwing.control.FreeValue;
import mothwing.control.Settings;

/**
 * Tells the callers how much traffic this server wants, by the free value, and closes idle
 * connections sooner where many callers hold them for few requests.
 */
final class BackpressureSignal {
  /** Share of the traffic that is wanted at least, so that a recovery shows. */
  private static final double MIN_WANTED_RATIO = 0.1;

  /** Steps of the published share: it is rounded to twentieths. */
  private static final double WANTED_RATIO_STEPS = 20;

  /** Decay of the read and rejected work with each sample: some fifty samples count. */
  private static final double DECAY_RATIO = 0.98;

  /** Further decay of the rejected work on idle cores, which have capacity for it. */
  private static final double IDLE_DECAY_RATIO = 0.8;

  /** Seconds between the requests of one caller above which an idle connection costs more. */
  private static final double MAX_REUSE_SECONDS = 15;

  /** Rejected share above which trimming ends: reconnecting costs more than full tables. */
  private static final double MAX_REJECTED_RATIO_TO_TRIM = 0.85;

  /** Rejected share above which trimming does not begin. */
  private static final double MAX_REJECTED_RATIO_TO_BEGIN = 0.6;

  /** The shortest idle timeout that a host can keep. */
  private static final long MIN_IDLE_TIMEOUT_MICROS = 10_000;

  /** The highest load level that a server publishes which wants any traffic. */
  private static final double MAX_LEVEL = 0.95;

  private static final double NOTHING_PUBLISHED = -1;

  private final Supplier<Settings> settings;
  private final ControllerHost host;
  private double readWork;
  private double rejectedWork;
  private double publishedRatio = NOTHING_PUBLISHED;
  private FreeValue publishedMeaning;
  private boolean trimming;
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

  /** Counts a request that is rejected because there is too much work. */
  void countRejected(double work) {
    rejectedWork += work;
  }

  /** A graceful shutdown begins: no more traffic is wanted. */
  void startDraining() {
    draining = true;
    publish(0);
  }

  /**
   * Publishes what has changed since the sample before.
   *
   * @param runsFail whether the runs of this server fail
   * @param idle whether cores are idle
   * @param ageMicros time since this server started
   */
  void sample(boolean runsFail, boolean idle, long ageMicros) {
    rejectedWork *= idle ? IDLE_DECAY_RATIO : 1;
    if (draining) {
      publish(0);
    } else if (runsFail) {
      publish(MIN_WANTED_RATIO);
    } else {
      publish(wantedRatio());
    }
    trimConnections(ageMicros);
  }

  /** The share of their traffic that callers should send here. */
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

  /** Shortens the idle timeout while many callers send few requests: they fill the table. */
  private void trimConnections(long ageMicros) {
    double measured = requestsRead * ControllerContext.SECOND_MICROS / ageMicros;
    double rate = Math.max(2 * settings.get().machine().cores(), measured);
    double stormRatio = trimming ? MAX_REJECTED_RATIO_TO_TRIM : MAX_REJECTED_RATIO_TO_BEGIN;
    boolean retryStorm = rejectedWork > readWork * stormRatio;
    boolean shouldTrim = settings.get().callers() > MAX_REUSE_SECONDS * rate && !retryStorm;
    long idleTimeout = settings.get().signals().idleTimeout();
    if (idleTimeout > MIN_IDLE_TIMEOUT_MICROS && shouldTrim != trimming) {
      trimming = shouldTrim;
      host.closeIdleConnections(shouldTrim ? MIN_IDLE_TIMEOUT_MICROS : idleTimeout);
    }
  }
}
