package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.overload.TrackedRequest.State;

/** Estimates the core time of requests, in microseconds, from the runs that succeeded. */
final class CostEstimator {
  /** Share of its expected core time that is left in a run that has exceeded it. */
  private static final double MIN_REMAINING_RATIO = 0.3;

  /** Multiple of its usual core time past which a run counts as stuck. */
  private static final double STUCK_RATIO = 4;

  private final ControllerContext context;
  private final ProcessorSharingClock clock;
  private final SlowdownEstimator slowdown = new SlowdownEstimator();
  private List<ClassStatistics> classes = List.of();
  private double ratioOfAll = 1;
  private double completedWork;

  CostEstimator(ControllerContext context, ProcessorSharingClock clock) {
    this.context = context;
    this.clock = clock;
  }

  /** Takes the classes of new settings; what was learned of a class stays with its name. */
  void apply(Settings before, Settings after) {
    List<ClassStatistics> next = new ArrayList<>();
    for (int i = 0; i < after.classes().size(); i++) {
      RequestClass requestClass = after.classes().get(i);
      boolean known =
          i < classes.size() && requestClass.name().equals(before.classes().get(i).name());
      double calls = requestClass.callsDependency() ? 1 : 0;
      next.add(known ? classes.get(i) : new ClassStatistics(ratioOfAll, calls));
    }
    classes = next;
  }

  /** Learns from a run that succeeded. */
  void learn(TrackedRequest request) {
    ClassStatistics statistics = classes.get(request.classIndex());
    slowdown.countSpent(request, request.settledCoreTime());
    slowdown.countCompleted(usual(request));
    completedWork += expected(request);
    double observed = request.settledCoreTime() / request.estimatedWork() / slowdown.slowdown();
    statistics.learn(observed, request.call().reached(), context.now());
    ratioOfAll += (observed - ratioOfAll) * ClassStatistics.weightAfter(runsOfAll());
  }

  /** Estimates the slowdown of the machine after some seconds have passed. */
  void updateSlowdown(double seconds, Iterable<TrackedRequest> requests) {
    slowdown.fade(seconds);
    for (TrackedRequest request : requests) {
      if (request.is(State.RUNNING)) {
        double limit = STUCK_RATIO * usual(request);
        slowdown.countSpent(request, Math.min(clock.used(request), limit));
      }
    }
    slowdown.update(context.cores(), runsOfAll());
  }

  /** Lets core times without recent runs fade. */
  void fade(double seconds) {
    List<RequestClass> settings = context.settings().classes();
    double span = seconds * ControllerContext.SECOND_MICROS;
    for (int i = 0; i < classes.size(); i++) {
      classes.get(i).fade(ratioOfAll, settings.get(i).latencyObjective(), span, context.now());
    }
  }

  private int runsOfAll() {
    int runs = 0;
    for (ClassStatistics statistics : classes) {
      runs += statistics.runs();
    }
    return runs;
  }

  /** Core time for a unit of estimated work of a class at the usual speed of the machine. */
  double coreTimeRatio(int classIndex) {
    return classes.get(classIndex).coreTimeRatio();
  }

  /** Core time for a unit of estimated work of a class at the present speed of the machine. */
  double presentCoreTimeRatio(int classIndex) {
    return coreTimeRatio(classIndex) * slowdown.slowdown();
  }

  /** Expected dependency calls of one run of a class. */
  double callsPerRun(int classIndex) {
    return classes.get(classIndex).callsPerRun();
  }

  /** Core time of a request at the usual speed of the machine. */
  double usual(TrackedRequest request) {
    return request.estimatedWork() * coreTimeRatio(request.classIndex());
  }

  /** Core time of a request at the present speed of the machine. */
  double expected(TrackedRequest request) {
    return usual(request) * slowdown.slowdown();
  }

  /** Core time that a request is still expected to need. */
  double remaining(TrackedRequest request) {
    double total = request.is(State.REPLAYING) ? 0 : expected(request);
    return Math.max(total - clock.used(request), total * MIN_REMAINING_RATIO);
  }

  /** The wait behind the open requests, each as a share of the deadline of its class. */
  double backlogRatio(Iterable<TrackedRequest> open) {
    double shares = 0;
    for (TrackedRequest request : open) {
      double deadline = request.requestClass().deadline();
      shares += request.isAnswered() ? 0 : remaining(request) / deadline;
    }
    return shares / context.cores();
  }

  /** Whether a run has used several times the core time that it usually needs. */
  boolean isStuck(TrackedRequest request) {
    return clock.used(request) > STUCK_RATIO * usual(request);
  }

  /** Returns the expected core time of what was completed since it was last taken. */
  double takeCompletedWork() {
    double work = completedWork;
    completedWork = 0;
    return work;
  }
}
