package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.overload.TrackedRequest.State;

/** Estimates the core time of requests, in microseconds, from successful runs. */
final class CostEstimator {
  /**
   * Lowest remaining core time of a run, as a share of its expected core time, however much it has
   * used.
   */
  private static final double MIN_REMAINING_RATIO = 0.3;

  /** Multiple of its usual core time above which a run counts as stuck. */
  private static final double STUCK_RATIO = 4;

  private final ControllerContext context;
  private final ProcessorSharingClock clock;
  private final SlowdownEstimator slowdown = new SlowdownEstimator();
  private List<ClassStatistics> classes = List.of();
  private double overallCoreTimeRatio = 1;
  private double completedWork;

  CostEstimator(ControllerContext context, ProcessorSharingClock clock) {
    this.context = context;
    this.clock = clock;
  }

  /**
   * Applies new settings. A class whose index and name are unchanged keeps its statistics; any
   * other class starts with the average of all classes.
   */
  void apply(Settings oldSettings, Settings newSettings) {
    List<ClassStatistics> newStatistics = new ArrayList<>();
    for (int i = 0; i < newSettings.classes().size(); i++) {
      RequestClass requestClass = newSettings.classes().get(i);
      boolean unchanged =
          i < classes.size() && requestClass.name().equals(oldSettings.classes().get(i).name());
      double calls = requestClass.callsDependency() ? 1 : 0;
      newStatistics.add(
          unchanged ? classes.get(i) : new ClassStatistics(overallCoreTimeRatio, calls));
    }
    classes = newStatistics;
  }

  /** Updates the estimates from a run that succeeded. */
  void learn(TrackedRequest request) {
    ClassStatistics statistics = classes.get(request.classIndex());
    slowdown.countSpent(request, request.settledCoreTime());
    slowdown.countCompleted(usualCoreTime(request));
    completedWork += expectedCoreTime(request);
    double observed = request.settledCoreTime() / request.estimatedCoreTime() / slowdown.slowdown();
    statistics.learn(observed, request.callProgress().reachedCalls(), context.now());
    overallCoreTimeRatio +=
        (observed - overallCoreTimeRatio) * ClassStatistics.weightAfter(totalRuns());
  }

  /** Updates the slowdown of the machine after the given number of seconds. */
  void updateSlowdown(double seconds, Iterable<TrackedRequest> requests) {
    slowdown.fade(seconds);
    for (TrackedRequest request : requests) {
      if (request.is(State.RUNNING)) {
        double limit = STUCK_RATIO * usualCoreTime(request);
        slowdown.countSpent(request, Math.min(clock.used(request), limit));
      }
    }
    slowdown.update(context.cores(), totalRuns());
  }

  /** Fades the core times of classes without recent runs. */
  void fade(double seconds) {
    List<RequestClass> settings = context.settings().classes();
    double span = seconds * ControllerContext.MICROS_PER_SECOND;
    for (int i = 0; i < classes.size(); i++) {
      classes
          .get(i)
          .fade(
              overallCoreTimeRatio,
              (double) settings.get(i).latencyObjective(),
              span,
              context.now());
    }
  }

  private int totalRuns() {
    int runs = 0;
    for (ClassStatistics statistics : classes) {
      runs += statistics.runs();
    }
    return runs;
  }

  /** Returns the core time per estimated core time of a class at the usual speed of the machine. */
  double coreTimeRatio(int classIndex) {
    return classes.get(classIndex).coreTimeRatio();
  }

  /**
   * Returns the core time per estimated core time of a class at the current speed of the machine.
   */
  double currentCoreTimeRatio(int classIndex) {
    return coreTimeRatio(classIndex) * slowdown.slowdown();
  }

  /** Returns the expected number of dependency calls of one run of a class. */
  double callsPerRun(int classIndex) {
    return classes.get(classIndex).callsPerRun();
  }

  /** Returns the core time of a request at the usual speed of the machine. */
  double usualCoreTime(TrackedRequest request) {
    return request.estimatedCoreTime() * coreTimeRatio(request.classIndex());
  }

  /** Returns the core time of a request at the current speed of the machine. */
  double expectedCoreTime(TrackedRequest request) {
    return usualCoreTime(request) * slowdown.slowdown();
  }

  /** Returns the core time that a request is still expected to need. */
  double remainingCoreTime(TrackedRequest request) {
    double total = request.is(State.REPLAYING) ? 0 : expectedCoreTime(request);
    return Math.max(total - clock.used(request), total * MIN_REMAINING_RATIO);
  }

  /**
   * Returns the wait that the open requests cause: the sum of their remaining core times per core,
   * each as a share of the deadline of its class.
   */
  double backlogRatio(Iterable<TrackedRequest> open) {
    double deadlineRatios = 0;
    for (TrackedRequest request : open) {
      double deadline = request.requestClass().deadline();
      deadlineRatios += request.isAnswered() ? 0 : remainingCoreTime(request) / deadline;
    }
    return deadlineRatios / context.cores();
  }

  /** Returns whether a run has used several times its usual core time. */
  boolean isStuck(TrackedRequest request) {
    return clock.used(request) > STUCK_RATIO * usualCoreTime(request);
  }

  /** Returns the expected core time of the successful runs since the previous call. */
  double takeCompletedWork() {
    double work = completedWork;
    completedWork = 0;
    return work;
  }
}
