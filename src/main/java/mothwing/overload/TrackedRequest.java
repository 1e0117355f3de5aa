package mothwing.overload;

import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;

/**
 * A request that is not answered yet, or whose run still holds a core or memory. Times are
 * microseconds of the controller's clock, core times are microseconds of one core.
 *
 * <p>Legal state transitions:
 *
 * <ul>
 *   <li>HELD to RUNNING when its run starts, to REPLAYING if it repeats a remembered request
 *   <li>RUNNING to AWAITING_CALL at a dependency call, to PAUSED or HELD when its run is stopped
 *   <li>PAUSED to RUNNING when its run is resumed
 *   <li>AWAITING_CALL to CALLING when the call starts, to RUNNING when the call is skipped
 *   <li>CALLING to RUNNING when the call succeeds, to AWAITING_CALL when it fails or is abandoned
 * </ul>
 *
 * <p>An answered request never starts another run. This class does not check transitions: the
 * component that receives an unexpected event decides how to handle it.
 */
final class TrackedRequest {
  /** Core time of a run without an estimate, as a share of its latency objective. */
  private static final double DEFAULT_WORK_RATIO = 0.15;

  /** The state of a request. */
  enum State {
    /** The request waits for its run to start. */
    HELD,
    /** The run holds a share of the cores. */
    RUNNING,
    /** The run is suspended and can be resumed. */
    PAUSED,
    /** The run waits for permission to call the dependency. */
    AWAITING_CALL,
    /** The dependency call is in flight. */
    CALLING,
    /** The request waits for the result of the request that it repeats. */
    REPLAYING
  }

  private final Request request;
  private final RequestClass requestClass;
  private final long arrivedAt;
  private final boolean overQuota;
  private final double estimatedCoreTime;
  private final long objectiveAt;
  private final CallProgress callProgress = new CallProgress();
  private long dueAt;
  private State state = State.HELD;
  private boolean answered;
  private boolean started;
  private double coreTimeUsed;
  private double coreClockAtEntry;
  private double coreTimeCounted;
  private double priority;

  TrackedRequest(
      Request request, RequestClass requestClass, long arrivedAt, long dueAt, boolean overQuota) {
    this.request = request;
    this.requestClass = requestClass;
    this.arrivedAt = arrivedAt;
    this.dueAt = dueAt;
    this.overQuota = overQuota;
    estimatedCoreTime =
        request.estimatedCoreTime() > 0
            ? request.estimatedCoreTime()
            : requestClass.latencyObjective() * DEFAULT_WORK_RATIO;
    objectiveAt = arrivedAt + requestClass.latencyObjective();
  }

  Request request() {
    return request;
  }

  String id() {
    return request.id();
  }

  RequestClass requestClass() {
    return requestClass;
  }

  int classIndex() {
    return request.classIndex();
  }

  long arrivedAt() {
    return arrivedAt;
  }

  /** Returns the end of the latency objective, counted from the arrival of this attempt. */
  long objectiveAt() {
    return objectiveAt;
  }

  /** Returns the time by which the answer must be written. */
  long dueAt() {
    return dueAt;
  }

  /** Brings the due time forward to the given time, unless it is earlier already. */
  void limitDueAt(long latest) {
    dueAt = Math.min(dueAt, latest);
  }

  /** Returns the time until which an answer earns any of the priority weight. */
  long valuableUntil() {
    return requestClass.lateWeightRatio() > 0 ? dueAt : Math.min(objectiveAt, dueAt);
  }

  /** Returns the estimated core time, not corrected by the statistics of the class. */
  double estimatedCoreTime() {
    return estimatedCoreTime;
  }

  /** Returns whether the tenant had exceeded its quota when the request was read. */
  boolean isOverQuota() {
    return overQuota;
  }

  boolean hasIdempotencyKey() {
    return requestClass.idempotency() == Idempotency.WITH_KEY;
  }

  boolean callsDependency() {
    return requestClass.callsDependency();
  }

  /** Returns whether an answer without the dependency call earns any of the priority weight. */
  boolean maySkipCall() {
    return requestClass.degradedWeightRatio() > 0;
  }

  State state() {
    return state;
  }

  boolean is(State expected) {
    return state == expected;
  }

  void moveTo(State next) {
    state = next;
  }

  /** Returns whether the request is answered, or its caller no longer waits for an answer. */
  boolean isAnswered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }

  /** Returns whether the run was ever started. */
  boolean hasStarted() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  /**
   * Returns the priority by which requests are ordered. It is set when the request is read, and
   * updated while it waits.
   */
  double priority() {
    return priority;
  }

  void setPriority(double newPriority) {
    priority = newPriority;
  }

  /** Returns the core time of the run at a reading of the processor sharing clock. */
  double coreTimeUsed(double coreClock) {
    return coreTimeUsed + (state == State.RUNNING ? coreClock - coreClockAtEntry : 0);
  }

  /** Returns the core time up to the last time that the run left the cores. */
  double settledCoreTime() {
    return coreTimeUsed;
  }

  /** Records that the run takes a share of the cores. */
  void enterCore(double coreClock) {
    state = State.RUNNING;
    coreClockAtEntry = coreClock;
  }

  /** Adds the core time since the run took a share of the cores. */
  void settleCoreTime(double coreClock) {
    coreTimeUsed += coreClock - coreClockAtEntry;
  }

  /**
   * Replaces the core time by the measured duration of the run if the end of the run was reported
   * late.
   */
  void correctCoreTime(long measuredMicros, long toleranceMicros) {
    if (measuredMicros > 0 && coreTimeUsed - measuredMicros > toleranceMicros) {
      coreTimeUsed = measuredMicros;
    }
  }

  /** Returns the part of the given core time that is not counted yet, and marks it as counted. */
  double countCoreTime(double used) {
    double uncounted = Math.max(0, used - coreTimeCounted);
    coreTimeCounted = Math.max(used, coreTimeCounted);
    return uncounted;
  }

  /** Records that the run has reached a dependency call. */
  void awaitCall(long now) {
    state = State.AWAITING_CALL;
    callProgress.reach(now);
  }

  /** Records the start of an attempt of the current call. */
  void startCall(long now) {
    state = State.CALLING;
    callProgress.startAttempt(now);
  }

  /**
   * Records the failure of an attempt of the current call, and the earliest start of the next one.
   */
  void retryCallAt(long at) {
    state = State.AWAITING_CALL;
    callProgress.retryAt(at);
  }

  /** Returns the progress of the dependency calls. */
  CallProgress callProgress() {
    return callProgress;
  }
}
