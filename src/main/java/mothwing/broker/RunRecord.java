package mothwing.broker;

/**
 * What is known of the run of one request in the pool, and which commands about it the pool may not
 * have received. Only {@link Exchange} changes it as events come; {@link RunReconciler} marks doubt
 * and paces its questions.
 */
final class RunRecord {
  private boolean started;
  private boolean inPool;
  private boolean sent;
  private boolean begun;
  private boolean stopping;
  private boolean inDoubt;
  private long pollsBeforeCommand;
  private long repeatStopAt;
  private long probeAt;

  /** Whether a start was ever asked for, so that the request may have had its effect. */
  boolean hasStarted() {
    return started;
  }

  /** Whether the pool has the run: from its start until its end. */
  boolean isInPool() {
    return inPool;
  }

  /** Whether a start was ever put on a connection; if not, the pool cannot have run it. */
  boolean isSent() {
    return sent;
  }

  /** Whether the pool is known to have begun the run. */
  boolean isBegun() {
    return begun;
  }

  /** Whether a stop was asked for, and no end was reported since. */
  boolean isStopping() {
    return stopping;
  }

  /** Whether the last command may be lost, so that the next report of the pool decides. */
  boolean isInDoubt() {
    return inDoubt;
  }

  void setInDoubt(boolean doubt) {
    inDoubt = doubt;
  }

  /** How many polls had been sent before the last command. */
  long pollsBeforeCommand() {
    return pollsBeforeCommand;
  }

  /** From when on a stop without effect is to be repeated. */
  long repeatStopAt() {
    return repeatStopAt;
  }

  void setRepeatStopAt(long at) {
    repeatStopAt = at;
  }

  /** From when on the pool may be asked again whether it has the run. */
  long probeAt() {
    return probeAt;
  }

  void setProbeAt(long at) {
    probeAt = at;
  }

  /** A start was asked for. Returns whether it was put on a connection for the first time. */
  boolean start(long polls, boolean connected) {
    boolean first = connected && !sent;
    started = true;
    inPool = true;
    sent |= connected;
    pollsBeforeCommand = polls;
    return first;
  }

  void resume(long polls) {
    stopping = false;
    pollsBeforeCommand = polls;
  }

  void commandSent(long polls) {
    pollsBeforeCommand = polls;
  }

  void stop(long repeatAt) {
    stopping = true;
    repeatStopAt = repeatAt;
  }

  /** The pool has reported the run, so its start was not lost. */
  void confirm() {
    sent = true;
    inDoubt = false;
  }

  /** The pool has stopped the run; it keeps a paused run, and drops an aborted one. */
  void stopped(boolean paused, boolean stillWanted) {
    stopping = false;
    begun = paused;
    inDoubt = false;
    inPool = paused && stillWanted;
  }

  void end() {
    inPool = false;
    stopping = false;
    inDoubt = false;
  }
}
