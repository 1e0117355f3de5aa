package mothwing.overload;

import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;

/**
 * A request that has no answer yet, or whose run still holds a core or memory. Times are
 * microseconds of the controller's clock, core times are microseconds of one core.
 *
 * <p>Legal transitions of the state:
 *
 * <ul>
 *   <li>HELD to RUNNING when its run starts, to REPLAYING when it repeats a remembered request
 *   <li>RUNNING to AWAITING_CALL at a dependency call, to PAUSED or HELD when its run is stopped
 *   <li>PAUSED to RUNNING when its run is resumed
 *   <li>AWAITING_CALL to CALLING when the call is made, to RUNNING when the call is left out
 *   <li>CALLING to RUNNING when the call succeeds, to AWAITING_CALL when it fails or is abandoned
 * </ul>
 *
 * <p>A request that was answered never leaves its state for a new run. Events are never rejected
 * for their state: what an unexpected event does is up to the part that takes it.
 */
final class TrackedRequest {
  /** Share of the latency objective that a run is taken to need where no estimate came with it. */
  private static final double DEFAULT_WORK_RATIO = 0.15;

  /** What a request is doing. */
  enum State {
    /** It waits for its run to start. */
    HELD,
    /** Its run holds a share of the cores. */
    RUNNING,
    /** Its run is suspended and can be resumed. */
    PAUSED,
    /** Its run waits for leave to call the dependency. */
    AWAITING_CALL,
    /** Its dependency call is in flight. */
    CALLING,
    /** It waits for the result of the request that it repeats. */
    REPLAYING
  }

  private final Request request;
  private final RequestClass requestClass;
  private final long arrivedAt;
  private final boolean overQuota;
  private final double estimatedWork;
  private final long objectiveAt;
  private final CallProgress call = new CallProgress();
  private long dueAt;
  private State state = State.HELD;
  private boolean answered;
  private boolean everRan;
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
    estimatedWork =
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

  /** The end of the latency objective. */
  long objectiveAt() {
    return objectiveAt;
  }

  /** When the answer must be written at the latest. */
  long dueAt() {
    return dueAt;
  }

  /** Brings the due time forward to a time, unless it is earlier already. */
  void dueBefore(long latest) {
    dueAt = Math.min(dueAt, latest);
  }

  /** Until when an answer earns any of the priority weight. */
  long valuableUntil() {
    return requestClass.lateWeightRatio() > 0 ? dueAt : Math.min(objectiveAt, dueAt);
  }

  /** Expected core time before it is corrected by what was learned of the class. */
  double estimatedWork() {
    return estimatedWork;
  }

  /** Whether its tenant had used up its quota when it was read. */
  boolean isOverQuota() {
    return overQuota;
  }

  boolean hasIdempotencyKey() {
    return requestClass.idempotency() == Idempotency.WITH_KEY;
  }

  boolean callsDependency() {
    return requestClass.callsDependency();
  }

  /** Whether an answer without its dependency call earns anything. */
  boolean mayLeaveCallOut() {
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

  /** Whether it has its answer, or nobody waits for one. */
  boolean isAnswered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }

  /** Whether its run was ever started. */
  boolean everRan() {
    return everRan;
  }

  void markRan() {
    everRan = true;
  }

  /**
   * The weight of an answer by which requests are ordered; set when it is read and when it waits.
   */
  double priority() {
    return priority;
  }

  void setPriority(double newPriority) {
    priority = newPriority;
  }

  /** Core time of its run at a reading of the processor sharing clock. */
  double coreTimeUsed(double coreClock) {
    return coreTimeUsed + (state == State.RUNNING ? coreClock - coreClockAtEntry : 0);
  }

  /** Core time up to the last time that its run left the cores. */
  double settledCoreTime() {
    return coreTimeUsed;
  }

  /** Its run takes a share of the cores. */
  void enterCore(double coreClock) {
    state = State.RUNNING;
    coreClockAtEntry = coreClock;
  }

  /** Adds the core time since its run took a share of the cores. */
  void settleCoreTime(double coreClock) {
    coreTimeUsed += coreClock - coreClockAtEntry;
  }

  /** Takes the measured duration of the run where the end of the run was reported late. */
  void correctCoreTime(long measuredMicros, long toleranceMicros) {
    if (measuredMicros > 0 && coreTimeUsed - measuredMicros > toleranceMicros) {
      coreTimeUsed = measuredMicros;
    }
  }

  /** Returns the core time that was not counted before, and counts it. */
  double countCoreTime(double used) {
    double uncounted = Math.max(0, used - coreTimeCounted);
    coreTimeCounted = Math.max(used, coreTimeCounted);
    return uncounted;
  }

  /** Its run reaches a dependency call. */
  void awaitCall(long now) {
    state = State.AWAITING_CALL;
    call.reach(now);
  }

  /** An attempt of its call starts. */
  void startCall(long now) {
    state = State.CALLING;
    call.startAttempt(now);
  }

  /** An attempt of its call failed; the next one is made at the given time at the earliest. */
  void retryCallAt(long at) {
    state = State.AWAITING_CALL;
    call.retryAt(at);
  }

  /** Its dependency calls. */
  CallProgress call() {
    return call;
  }
}
