package mothwing.overload;

import mothwing.control.Settings;

/**
 * The state that the parts of one controller share: the settings in force, the clock and the phase
 * of the server's life cycle. The controller alone changes it; the parts only read it. Times and
 * durations are microseconds.
 */
final class ControllerContext {
  /** Microseconds of one second. */
  static final double SECOND_MICROS = 1e6;

  /** The shortest sample period: about 33 samples a second, as QGuard takes them. */
  private static final long MIN_SAMPLE_PERIOD_MICROS = 30_000;

  /** Sample periods between an answer and its due time: a late timer and one batch fit in. */
  private static final int DUE_MARGIN_SAMPLES = 2;

  /** Sample periods between the last answer and the kill of the process. */
  private static final int STOP_MARGIN_SAMPLES = 8;

  private Settings settings;
  private int cores;
  private long samplePeriod;
  private long now;
  private long startedAt;
  private boolean draining;
  private long drainingSince;
  private long stopAt;

  ControllerContext(Settings settings) {
    apply(settings);
  }

  /** Takes new settings. */
  void apply(Settings newSettings) {
    settings = newSettings;
    cores = Math.max(1, newSettings.machine().cores());
    long batchInterval = Math.max(1, newSettings.batchInterval());
    samplePeriod = (MIN_SAMPLE_PERIOD_MICROS + batchInterval - 1) / batchInterval * batchInterval;
  }

  /** The server starts at the given time. */
  void start(long at) {
    now = at;
    startedAt = at;
  }

  /** Moves the clock. */
  void moveTo(long at) {
    now = at;
  }

  /** A graceful shutdown begins, after which the process is stopped at the given time. */
  void startDraining(long at, long processStopAt) {
    draining = true;
    drainingSince = at;
    stopAt = processStopAt - STOP_MARGIN_SAMPLES * samplePeriod;
  }

  Settings settings() {
    return settings;
  }

  /** The number of cores, at least 1. */
  int cores() {
    return cores;
  }

  /** Time between two samples: a multiple of the batch interval. */
  long samplePeriod() {
    return samplePeriod;
  }

  /** How long before its due time a request is answered at the latest. */
  long dueMargin() {
    return DUE_MARGIN_SAMPLES * samplePeriod;
  }

  long now() {
    return now;
  }

  long startedAt() {
    return startedAt;
  }

  /** Whether a freshly started server may still be in slow start. */
  boolean isWarmingUp() {
    return settings.machine().coldStart() && now < startedAt + settings.limits().warmUpDuration();
  }

  boolean isDraining() {
    return draining;
  }

  /** Whether a request that arrived at the given time came after the notice of shutdown. */
  boolean isAfterShutdownNotice(long arrivedAt) {
    return draining && arrivedAt > drainingSince;
  }

  /** The due time, brought forward to the end of a graceful shutdown where one is under way. */
  long boundedDueAt(long dueAt) {
    return draining ? Math.min(dueAt, stopAt) : dueAt;
  }
}
