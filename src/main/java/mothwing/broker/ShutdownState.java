package mothwing.broker;

/**
 * Whether this process stays, sends its gateways away, hands over to another at the same address,
 * or leaves; and what that means for arrivals, checks and advice. Times are microseconds of the
 * monotonic clock.
 */
final class ShutdownState {
  /** How it goes. */
  enum Mode {
    /** It stays. */
    NONE,
    /** Another process takes clients at its address: nothing may be said that keeps them away. */
    HANDING_OVER,
    /** The server goes. */
    LEAVING
  }

  private Mode way = Mode.NONE;
  private boolean away;
  private long noticeAt;
  private long stopAt;
  private long grace;

  /** Sends gateways away, or ends that. Says false after the notice, when nothing changes. */
  boolean away(boolean now) {
    if (going()) {
      return false;
    }
    away = now;
    return true;
  }

  boolean away() {
    return away;
  }

  /**
   * The notice to leave came; what arrives in the grace after it may still run. Only the first one
   * counts.
   */
  void notice(long at, long stop, long spanOfGrace, boolean handover) {
    if (!going()) {
      way = handover ? Mode.HANDING_OVER : Mode.LEAVING;
      noticeAt = at;
      stopAt = stop;
      grace = spanOfGrace;
    }
  }

  boolean going() {
    return way != Mode.NONE;
  }

  boolean handsOver() {
    return way == Mode.HANDING_OVER;
  }

  long stopAt() {
    return stopAt;
  }

  /**
   * When the controller is to turn away what comes: at once, or, handing over, after half of the
   * time that is left.
   */
  long closesAt() {
    return handsOver() ? noticeAt + Math.min(grace, (stopAt - noticeAt) / 2) : noticeAt;
  }

  /**
   * Whether what was read whole then may still be run: what a gateway says of its arrival proves
   * nothing.
   */
  boolean mayRun(long readAt) {
    return !going() || readAt <= noticeAt + grace;
  }

  /** The best that a check may say, where the controller says so much. */
  boolean good(boolean controller) {
    return !away && (controller || handsOver());
  }

  /**
   * The span to stay away that a refusal may advise: those who hand over do not speak for the next
   * one.
   */
  long advice(long span) {
    return handsOver() ? 0 : span;
  }
}
