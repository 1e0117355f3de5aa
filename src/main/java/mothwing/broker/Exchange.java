package mothwing.broker;

import java.util.Locale;

/**
 * The state of one request, from the front that read it to the pool that runs it; the only object
 * that both sides share. It is answered at most once, and never after its caller has cancelled it.
 *
 * <table>
 * <caption>State after an event; in a final state no event changes the state, and no answer is
 * sent</caption>
 * <tr><th>state</th><th>REPORTED</th><th>RUN_STARTED, RUN_RESUMED</th><th>RUN_PAUSED</th>
 * <th>RUN_ABORTED</th><th>ANSWERED: the answer is sent</th><th>CANCELLED</th></tr>
 * <tr><td>READ</td><td>HELD</td><td>RUNNING</td><td>PAUSED</td><td>HELD</td><td>ANSWERED</td>
 * <td>CANCELLED</td></tr>
 * <tr><td>HELD</td><td>HELD</td><td>RUNNING</td><td>PAUSED</td><td>HELD</td><td>ANSWERED</td>
 * <td>CANCELLED</td></tr>
 * <tr><td>RUNNING</td><td>RUNNING</td><td>RUNNING</td><td>PAUSED</td><td>HELD</td>
 * <td>ANSWERED</td><td>CANCELLED</td></tr>
 * <tr><td>PAUSED</td><td>PAUSED</td><td>RUNNING</td><td>PAUSED</td><td>HELD</td><td>ANSWERED</td>
 * <td>CANCELLED</td></tr>
 * <tr><td>ANSWERED (final)</td><td colspan="6">ANSWERED</td></tr>
 * <tr><td>CANCELLED (final)</td><td colspan="6">CANCELLED</td></tr>
 * </table>
 *
 * <p>The run may outlive the answer, so its state is kept separately, in {@link RunRecord} and
 * {@link AwaitedCall}.
 */
public final class Exchange {
  /** The state of a request. */
  public enum State {
    /** Read, and not reported to the controller yet. */
    READ,
    /** Reported to the controller, and not running. */
    HELD,
    /** Handed to the pool. */
    RUNNING,
    /** Stopped; the pool keeps the run. */
    PAUSED,
    /** Its final answer was sent. */
    ANSWERED,
    /** Its caller cancelled it before an answer. */
    CANCELLED;

    private boolean isFinal() {
      return this == ANSWERED || this == CANCELLED;
    }

    /** The state after an event, as in the table of {@link Exchange}. */
    State after(Event event) {
      if (isFinal()) {
        return this;
      }
      return switch (event) {
        case REPORTED -> this == READ ? HELD : this;
        case RUN_STARTED, RUN_RESUMED -> RUNNING;
        case RUN_PAUSED -> PAUSED;
        case RUN_ABORTED -> HELD;
        case ANSWERED -> ANSWERED;
        case CANCELLED -> CANCELLED;
      };
    }
  }

  /** An event that changes the state of a request. */
  enum Event {
    /** It is reported to the controller. */
    REPORTED,
    /** It is handed to the pool. */
    RUN_STARTED,
    /** Its paused run is resumed. */
    RUN_RESUMED,
    /** The pool has stopped its run and keeps it. */
    RUN_PAUSED,
    /** The pool has aborted its run and discarded the work. */
    RUN_ABORTED,
    /** It is completed, rejected or failed. */
    ANSWERED,
    /** Its caller cancels it. */
    CANCELLED
  }

  /**
   * The times of a request, in microseconds of the monotonic clock.
   *
   * @param readAt when its last byte was read: the latest time at which it can have been sent
   * @param arrivedAt when it reached the machine, as its gateway states, or when it was read if
   *     that is implausible
   * @param deadline when its answer is due
   */
  record Times(long readAt, long arrivedAt, long deadline) {}

  /**
   * How a request is handled by its class and tenant.
   *
   * @param isIdempotent whether it may be run more than once
   * @param classIndex the index of its class in the settings, or -1 for an unknown class
   * @param tenantIndex the index of its tenant in the settings, or -1 for none
   * @param idempotencyWindow microseconds from its arrival in which its repeats are recognised; 0
   *     if it has no idempotency key, or its class does not use keys
   */
  record Handling(boolean isIdempotent, int classIndex, int tenantIndex, long idempotencyWindow) {}

  private final InboundRequest request;
  private final ResponseSink caller;
  private final Times times;
  private final Handling handling;
  private final RunRecord run = new RunRecord();
  private final AwaitedCall call = new AwaitedCall();
  private IdempotencyKeys.Entry idempotencyEntry;
  private State state = State.READ;

  Exchange(InboundRequest request, ResponseSink caller, Times times, Handling handling) {
    this.request = request;
    this.caller = caller;
    this.times = times;
    this.handling = handling;
  }

  /** The request as it was read. */
  public InboundRequest request() {
    return request;
  }

  State state() {
    return state;
  }

  /** Whether its caller still waits for the answer. */
  boolean isPending() {
    return !state.isFinal();
  }

  /** Whether the pool has a run of it. */
  boolean isInPool() {
    return run.isInPool();
  }

  /** The state of its run as far as it is known. */
  RunRecord run() {
    return run;
  }

  /** The dependency call that its run awaits. */
  AwaitedCall call() {
    return call;
  }

  boolean isIdempotent() {
    return handling.isIdempotent();
  }

  /** Whether it may have taken effect and is not idempotent. */
  boolean mustNotRunAgain() {
    return run.hasStarted() && !isIdempotent();
  }

  long readAt() {
    return times.readAt();
  }

  long arrivedAt() {
    return times.arrivedAt();
  }

  long deadline() {
    return times.deadline();
  }

  int classIndex() {
    return handling.classIndex();
  }

  int tenantIndex() {
    return handling.tenantIndex();
  }

  long idempotencyWindow() {
    return handling.idempotencyWindow();
  }

  /** Whether it has an idempotency key that its class uses. */
  boolean hasIdempotencyKey() {
    return handling.idempotencyWindow() > 0;
  }

  /** Its entry in the table of idempotency keys, or null. */
  IdempotencyKeys.Entry idempotencyEntry() {
    return idempotencyEntry;
  }

  void setIdempotencyEntry(IdempotencyKeys.Entry entry) {
    idempotencyEntry = entry;
  }

  private void apply(Event event) {
    state = state.after(event);
  }

  void reported() {
    apply(Event.REPORTED);
  }

  /**
   * Records that it was handed to the pool.
   *
   * @param polls the number of polls that were sent to the pool so far
   * @param connected whether the start was written to a connection
   * @return whether the start was written to a connection for the first time
   */
  boolean runStarted(long polls, boolean connected) {
    apply(Event.RUN_STARTED);
    return run.start(polls, connected);
  }

  /**
   * Records that its paused run is resumed.
   *
   * @param polls the number of polls sent before the command
   */
  void runResumed(long polls) {
    apply(Event.RUN_RESUMED);
    run.resume(polls);
  }

  /** Records that the pool has stopped its run, and keeps it paused or has discarded its work. */
  void runStopped(boolean paused) {
    call.clear();
    run.stopped(paused, isPending());
    apply(paused ? Event.RUN_PAUSED : Event.RUN_ABORTED);
  }

  /** Records that the pool no longer has a run of it. */
  void runEnded() {
    call.clear();
    run.end();
  }

  /** Records that its run awaits a dependency call. */
  void callAwaited(byte[] content) {
    run.confirm();
    call.await(content);
  }

  /**
   * Records that its run is resumed with the call's result or null.
   *
   * @param polls the number of polls sent before the command
   */
  void callAnswered(byte[] result, long polls, boolean connected) {
    call.answer(result, connected);
    run.commandSent(polls);
  }

  /** Cancels it for its caller. Returns whether its answer was pending. */
  boolean cancel() {
    boolean wasPending = isPending();
    apply(Event.CANCELLED);
    return wasPending;
  }

  /** Sends the result of its run. Returns false if no answer was pending. */
  boolean complete(byte[] result) {
    return answer(() -> caller.sendResult(result));
  }

  /** Sends a rejection. Returns false if no answer was pending. */
  boolean reject(boolean dontRetry, long retryAfterMillis) {
    return answer(() -> caller.sendRejection(dontRetry, retryAfterMillis));
  }

  /** Sends a failure. Returns false if no answer was pending. */
  boolean fail(FailureReason reason) {
    return answer(() -> caller.sendFailure(reason.code()));
  }

  private boolean answer(Runnable send) {
    boolean wasPending = isPending();
    apply(Event.ANSWERED);
    if (wasPending) {
      send.run();
    }
    return wasPending;
  }

  @Override
  public String toString() {
    return request.id() + " " + state.name().toLowerCase(Locale.ROOT);
  }
}
