package mothwing.broker;

import java.util.Locale;

/**
 * One request between the front that read it and the pool that runs it: the only place where the
 * two sides meet. Its answer is given at most once, and never after its caller left.
 */
public final class Exchange {
  /** Where a request stands with its caller and with the pool. */
  public enum State {
    /** Read; the controller has not been told yet. */
    READ,
    /** Known to the controller, not running. */
    HELD,
    /** Handed to the pool. */
    RUNNING,
    /** Stopped by us, and kept by the pool. */
    PAUSED,
    /** Its final answer is given. */
    ANSWERED,
    /** Its caller left before an answer. */
    GONE
  }

  private final InboundRequest request;
  private final ResponseSink caller;
  private final boolean isIdempotent;
  private final long readAt;
  private final long arrivedAt;
  private final long deadline;
  private final int classIndex;
  private final int tenantIndex;
  private final long window;
  private IdempotencyKeys.Entry entry;
  private State state = State.READ;
  private boolean hasRun;
  private boolean isInPool;
  private boolean handedOver;
  private boolean stopping;
  private boolean begun;
  private boolean doubted;
  private long pollsBefore;
  private byte[] asked;
  private byte[] result;
  private boolean calling;
  private boolean supplied;
  private boolean unsent;
  private long callUntil;
  private long stopAgainAt;
  private long probeAt;

  Exchange(
      InboundRequest arrival,
      ResponseSink caller,
      boolean repeatable,
      long readAt,
      long arrivedAt,
      long dueAt,
      int classPlace,
      int tenantPlace,
      long window) {
    this.request = arrival;
    this.caller = caller;
    this.isIdempotent = repeatable;
    this.readAt = readAt;
    this.arrivedAt = arrivedAt;
    this.deadline = dueAt;
    this.classIndex = classPlace;
    this.tenantIndex = tenantPlace;
    this.window = window;
  }

  /**
   * What was read.
   *
   * @return the request
   */
  public InboundRequest request() {
    return request;
  }

  /**
   * Where it stands.
   *
   * @return its state
   */
  public State state() {
    return state;
  }

  /**
   * Whether a caller still waits for its answer.
   *
   * @return true if so
   */
  public boolean isPending() {
    return state != State.ANSWERED && state != State.GONE;
  }

  /**
   * Whether the pool has a run of it.
   *
   * @return true from its start until its end
   */
  public boolean isInPool() {
    return isInPool;
  }

  boolean hasRun() {
    return hasRun;
  }

  boolean isIdempotent() {
    return isIdempotent;
  }

  /**
   * When its last byte was read: it was written at that time at the latest, whatever its gateway
   * says.
   */
  long readAt() {
    return readAt;
  }

  /**
   * Microseconds from its arrival in which a repeat of it may come; 0 where none is known as such.
   */
  long window() {
    return window;
  }

  /** Its entry among the idempotency keys, or null. */
  IdempotencyKeys.Entry entry() {
    return entry;
  }

  void entry(IdempotencyKeys.Entry made) {
    entry = made;
  }

  /** Whether it has an idempotency key that counts. */
  boolean hasIdempotencyKey() {
    return window > 0;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  long deadline() {
    return deadline;
  }

  /** The place of its class in the settings, or -1 where its name is unknown. */
  int classIndex() {
    return classIndex;
  }

  /** The place of its tenant in the settings, or -1 where there is none. */
  int tenantIndex() {
    return tenantIndex;
  }

  /** Whether its start was ever put on a link: if not, the pool cannot have run it. */
  boolean handedOver() {
    return handedOver;
  }

  boolean stopping() {
    return stopping;
  }

  long pollsBefore() {
    return pollsBefore;
  }

  void held() {
    if (state == State.READ) {
      state = State.HELD;
    }
  }

  /**
   * Marks it as running, and as handed to the pool, after so many polls, where there was a link.
   * Says whether it was put on a link for the first time.
   */
  boolean started(long polls, boolean onLink) {
    boolean first = onLink && !handedOver;
    state = State.RUNNING;
    hasRun = true;
    isInPool = true;
    handedOver |= onLink;
    pollsBefore = polls;
    return first;
  }

  /** Marks it as going on after a pause, and as told so to the pool after so many polls. */
  void resumed(long polls) {
    state = State.RUNNING;
    stopping = false;
    pollsBefore = polls;
  }

  /** Whether the pool is known to have begun its run. */
  boolean begun() {
    return begun;
  }

  /**
   * Whether its last command may have been lost with a link, so that the pool's next word decides.
   */
  boolean doubted() {
    return doubted;
  }

  void doubt(boolean now) {
    doubted = now;
  }

  /** Its run is to be stopped; said again from a time on where nothing came of it. */
  void stop(long again) {
    stopping = true;
    stopAgainAt = again;
  }

  long stopAgainAt() {
    return stopAgainAt;
  }

  void stopAgainAt(long at) {
    stopAgainAt = at;
  }

  /** From when on the pool may be asked again whether there is a run of it. */
  long probeAt() {
    return probeAt;
  }

  void probeAt(long at) {
    probeAt = at;
  }

  /** Its run stands at a call, which asks for this. */
  void atCall(byte[] what) {
    handedOver = true; // the pool runs it
    noCall();
    doubted = false; // and has not lost its start
    asked = what;
  }

  /** What its run asks for, or null where it does not stand at a call. */
  byte[] asked() {
    return asked;
  }

  /** The call is made, and is over for us at a time. */
  void calls(long until) {
    calling = true;
    callUntil = until;
  }

  /** Whether a call is out. */
  boolean calling() {
    return calling;
  }

  long callUntil() {
    return callUntil;
  }

  /** The call is out no longer. Says whether it was. */
  boolean callOver() {
    boolean was = calling;
    calling = false;
    return was;
  }

  /**
   * The run goes on with this, or without it for null; so it was told to the pool after so many
   * polls, or not yet.
   */
  void supplied(byte[] what, long polls, boolean onLink) {
    asked = null;
    result = onLink ? null : what;
    unsent = !onLink;
    supplied = onLink;
    pollsBefore = polls;
  }

  /** Whether the call is over and no link has carried that yet. */
  boolean unsent() {
    return unsent;
  }

  /** What is to be sent then; null where the run is to go on without it. */
  byte[] result() {
    return result;
  }

  /** Whether the last word to the pool was that a call is over, after which it has not spoken. */
  boolean supplied() {
    return supplied;
  }

  private void noCall() {
    asked = null;
    result = null;
    calling = false;
    supplied = false;
    unsent = false;
  }

  /** The pool stopped its run and keeps it (or, where a stop throws the work away, does not). */
  void stopped(boolean kept) {
    noCall();
    stopping = false;
    begun = kept;
    doubted = false;
    isInPool = kept && isPending();
    if (isPending()) {
      state = kept ? State.PAUSED : State.HELD;
    }
  }

  /** The pool holds nothing of it any longer. */
  void left() {
    noCall();
    isInPool = false;
    stopping = false;
    doubted = false;
  }

  /** The caller left. Says whether an answer was still owed. */
  boolean gone() {
    boolean was = isPending();
    state = was ? State.GONE : state;
    return was;
  }

  private boolean answer() {
    boolean was = isPending();
    state = was ? State.ANSWERED : state;
    return was;
  }

  boolean serve(byte[] result) {
    if (answer()) {
      caller.sendResult(result);
      return true;
    }
    return false;
  }

  boolean refuse(boolean last, long holdOffMs) {
    if (answer()) {
      caller.sendRejection(last, holdOffMs);
      return true;
    }
    return false;
  }

  boolean fail(String code) {
    if (answer()) {
      caller.sendFailure(code);
      return true;
    }
    return false;
  }

  @Override
  public String toString() {
    return request.id() + " " + state.name().toLowerCase(Locale.ROOT);
  }
}
