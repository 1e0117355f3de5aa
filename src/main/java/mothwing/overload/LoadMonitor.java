package mothwing.overload;

import mothwing.control.GaugeSample;

/**
 * Measures the utilization of the cores and computes the load index from samples, and steps the
 * filter ladder accordingly.
 */
final class LoadMonitor {
  /** Seconds over which the utilization of the cores is averaged. */
  private static final double AVERAGING_SECONDS = 3;

  /**
   * Longest time between two samples, in sample periods. A longer gap means that the process was
   * not running, which is no evidence of load.
   */
  private static final int MAX_GAP_SAMPLES = 3;

  /** Seconds over which the completion rate is averaged. */
  private static final double COMPLETION_RATE_SECONDS = 2;

  private final ControllerContext context;
  private final ProcessorSharingClock clock;
  private final FilterLadder ladder;
  private final LoadIndex loadIndex = new LoadIndex();
  private long lastSampleAt;
  private double secondsSinceSample;
  private boolean previousGap;
  private boolean stalled;
  private double utilization;
  private double averageUtilization = 1;
  private double completionRate;

  LoadMonitor(ControllerContext context, ProcessorSharingClock clock, FilterLadder ladder) {
    this.context = context;
    this.clock = clock;
    this.ladder = ladder;
  }

  /** Records that the server starts at the given time. */
  void start(long at) {
    lastSampleAt = at;
    ladder.start(at);
  }

  /** Begins a sample and returns the seconds since the previous one. */
  double beginSample(long at) {
    boolean gap = at - lastSampleAt > MAX_GAP_SAMPLES * context.samplePeriod();
    stalled = gap && !previousGap;
    // Consecutive gaps are caused by a lack of processor time, which is evidence of load.
    previousGap = gap;
    secondsSinceSample = (at - lastSampleAt) / ControllerContext.MICROS_PER_SECOND;
    lastSampleAt = at;
    return secondsSinceSample;
  }

  /**
   * Returns whether the sample follows a gap and the previous sample did not, and thus is no
   * evidence of load.
   */
  boolean isStalled() {
    return stalled;
  }

  /** Returns the number of sample periods that the sample covers, from 1 to one full history. */
  int samplePeriods() {
    double periods =
        secondsSinceSample * ControllerContext.MICROS_PER_SECOND / context.samplePeriod();
    return (int) Math.max(1, Math.min(LoadIndex.HISTORY_SAMPLES, periods));
  }

  /** Updates the utilization of the cores from a sample. */
  void measureUtilization(GaugeSample sample) {
    double running = (double) clock.running() / context.cores();
    utilization = gauge(sample, "cpu_busy", Math.min(1, running));
    averageUtilization +=
        (utilization - averageUtilization) * Math.min(1, secondsSinceSample / AVERAGING_SECONDS);
  }

  /**
   * Adds a sample to the load index, and steps the ladder if it is time to.
   *
   * @param sample the gauges
   * @param memoryRatio share of the memory in use
   * @param toleratedConcurrency number of running requests that the machine tolerates
   * @param backlogRatio wait that the open requests cause, as a share of their deadlines
   * @param completedWork expected core time completed since the previous sample, in microseconds
   * @return whether the ladder reached the filter that rejects everything
   */
  boolean observe(
      GaugeSample sample,
      double memoryRatio,
      double toleratedConcurrency,
      double backlogRatio,
      double completedWork) {
    double runQueue = gauge(sample, "runnable", clock.running()) / toleratedConcurrency;
    int index = loadIndex.add(utilization, memoryRatio, runQueue, backlogRatio);
    double rate = completedWork / ControllerContext.MICROS_PER_SECOND / secondsSinceSample;
    completionRate +=
        (rate - completionRate) * Math.min(1, secondsSinceSample / COMPLETION_RATE_SECONDS);
    ladder.recordCompletionRate(index, completionRate, context.cores(), secondsSinceSample);
    return ladder.step(context.now(), index, secondsSinceSample, context.samplePeriod());
  }

  /** Returns a gauge of the sample, or the controller's own measurement if the gauge is unknown. */
  private double gauge(GaugeSample sample, String name, double ownMeasurement) {
    int index = context.settings().machine().gaugeNames().indexOf(name);
    boolean known = index >= 0 && index < sample.gauges().size();
    return known ? sample.gauges().get(index) : ownMeasurement;
  }

  /** Returns whether the number of samples is a multiple of the history. */
  boolean isHistoryComplete() {
    return loadIndex.samples() % LoadIndex.HISTORY_SAMPLES == 0;
  }

  /** Returns the share of the cores that is busy. */
  double utilization() {
    return utilization;
  }

  /**
   * Returns the lower of the current and the average utilization, so that the cores count as idle
   * at once but as busy only after a while.
   */
  double steadyUtilization() {
    return Math.min(utilization, averageUtilization);
  }

  /** Returns whether cores are idle now. */
  boolean isIdle() {
    return utilization < LoadIndex.idleUtilization();
  }
}
