package mothwing.overload;

import mothwing.control.Settings;

/**
 * Holds the state that the components of one controller share: the current settings, the clock and
 * the phase of the server's life cycle. Only {@link OverloadController} changes it. Times and
 * durations are microseconds.
 */
final class ControllerContext {
  /** Microseconds in one second. */
  static final double MICROS_PER_SECOND = 1e6;

  /** Shortest sample period, about 33 samples per second as in QGuard. */
  private static final long MIN_SAMPLE_PERIOD_MICROS = 30_000;

  /**
   * Number of sample periods by which an answer precedes its due time; enough for a late timer and
   * one batch.
   */
  private static final int DUE_MARGIN_SAMPLES = 2;

  /** Number of sample periods between the last answer and the stop of the process. */
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

  /** Applies new settings. */
  void apply(Settings newSettings) {
    settings = newSettings;
    cores = Math.max(1, newSettings.machine().cores());
    long batchInterval = Math.max(1, newSettings.batchInterval());
    samplePeriod = (MIN_SAMPLE_PERIOD_MICROS + batchInterval - 1) / batchInterval * batchInterval;
  }

  /** Records that the server starts at the given time. */
  void start(long at) {
    now = at;
    startedAt = at;
  }

  /** Moves the clock to the given time. */
  void moveTo(long at) {
    now = at;
  }

  /**
   * Records that a graceful shutdown begins, after which the process is stopped at the given time.
   */
  void startDraining(long at, long processStopAt) {
    draining = true;
    drainingSince = at;
    stopAt = processStopAt - STOP_MARGIN_SAMPLES * samplePeriod;
  }

  Settings settings() {
    return settings;
  }

  /** Returns the number of cores, at least 1. */
  int cores() {
    return cores;
  }

  /** Returns the time between two samples, a multiple of the batch interval. */
  long samplePeriod() {
    return samplePeriod;
  }

  /** Returns the minimum time between an answer and its due time. */
  long dueMargin() {
    return DUE_MARGIN_SAMPLES * samplePeriod;
  }

  long now() {
    return now;
  }

  long startedAt() {
    return startedAt;
  }

  /** Returns whether a server that started cold may still be in slow start. */
  boolean isWarmingUp() {
    return settings.machine().coldStart() && now < startedAt + settings.limits().warmUpDuration();
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Returns whether a request that arrived at the given time arrived after the shutdown was
   * requested.
   */
  boolean isAfterShutdownRequest(long arrivedAt) {
    return draining && arrivedAt > drainingSince;
  }

  /**
   * Returns the due time, brought forward to the end of a graceful shutdown if one is in progress.
   */
  long boundedDueAt(long dueAt) {
    return draining ? Math.min(dueAt, stopAt) : dueAt;
  }
}
