package mothwing.overload;

import mothwing.control.GaugeSample;

/** Takes the samples: the utilization of the cores, and the load index that moves the ladder. */
final class LoadMonitor {
  /** Seconds over which the utilization of the cores is averaged: some ten runs. */
  private static final double AVERAGING_SECONDS = 3;

  /**
   * Sample periods between samples; a longer gap means that the process stood still, which is no
   * evidence of load.
   */
  private static final int MAX_GAP_SAMPLES = 3;

  private final ControllerContext context;
  private final ProcessorSharingClock clock;
  private final FilterLadder ladder;
  private final LoadIndex loadIndex = new LoadIndex();
  private long lastSampleAt;
  private double secondsSinceSample;
  private boolean late;
  private boolean stalled;
  private double utilization;
  private double averageUtilization = 1;
  private double completionRate;

  LoadMonitor(ControllerContext context, ProcessorSharingClock clock, FilterLadder ladder) {
    this.context = context;
    this.clock = clock;
    this.ladder = ladder;
  }

  /** The server starts. */
  void start(long at) {
    lastSampleAt = at;
    ladder.started(at);
  }

  /** A sample is due; returns the seconds since the one before. */
  double beginSample(long at) {
    boolean gap = at - lastSampleAt > MAX_GAP_SAMPLES * context.samplePeriod();
    stalled = gap && !late;
    late = gap; // gap after gap is a lack of processor time
    secondsSinceSample = (at - lastSampleAt) / ControllerContext.SECOND_MICROS;
    lastSampleAt = at;
    return secondsSinceSample;
  }

  /** Whether the sample follows a single gap, and so says nothing of load. */
  boolean isStalled() {
    return stalled;
  }

  /** The number of sample periods that the sample stands for. */
  int samplePeriods() {
    double periods = secondsSinceSample * ControllerContext.SECOND_MICROS / context.samplePeriod();
    return (int) Math.max(1, Math.min(LoadIndex.HISTORY, periods));
  }

  /** Takes the utilization of the cores. */
  void measureCores(GaugeSample sample) {
    double running = (double) clock.running() / context.cores();
    utilization = gauge(sample, "cpu_busy", Math.min(1, running));
    averageUtilization +=
        (utilization - averageUtilization) * Math.min(1, secondsSinceSample / AVERAGING_SECONDS);
  }

  /**
   * Takes a sample into the load index and steps through the ladder.
   *
   * @param sample the gauges
   * @param memoryRatio share of the memory in use
   * @param survivable running requests that the machine survives
   * @param backlogRatio wait that the open requests cause, as a share of their deadlines
   * @param completedWork microseconds of expected core time completed since the sample before
   * @return whether the ladder reached the filter that rejects everything
   */
  boolean observe(
      GaugeSample sample,
      double memoryRatio,
      double survivable,
      double backlogRatio,
      double completedWork) {
    double runQueue = gauge(sample, "runnable", clock.running()) / survivable;
    int index = loadIndex.add(utilization, memoryRatio, runQueue, backlogRatio);
    double rate = completedWork / ControllerContext.SECOND_MICROS / secondsSinceSample;
    completionRate += (rate - completionRate) * Math.min(1, secondsSinceSample / 2);
    ladder.completed(index, completionRate, context.cores(), secondsSinceSample);
    return ladder.step(context.now(), index, secondsSinceSample, context.samplePeriod());
  }

  /** A gauge of this moment, or the controller's own measure where the gauge is not known. */
  private double gauge(GaugeSample sample, String name, double ownMeasure) {
    int index = context.settings().machine().gaugeNames().indexOf(name);
    boolean known = index >= 0 && index < sample.gauges().size();
    return known ? sample.gauges().get(index) : ownMeasure;
  }

  /** Whether a full history of samples was taken since the history was last full. */
  boolean isHistoryComplete() {
    return loadIndex.samples() % LoadIndex.HISTORY == 0;
  }

  /** Share of the cores that is busy. */
  double utilization() {
    return utilization;
  }

  /** The lower of the present and the average utilization: idle at once, busy after a while. */
  double steadyUtilization() {
    return Math.min(utilization, averageUtilization);
  }

  /** Whether cores are idle now. */
  boolean isIdle() {
    return utilization < LoadIndex.idleCores();
  }
}
