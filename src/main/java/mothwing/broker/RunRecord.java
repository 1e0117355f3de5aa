package mothwing.broker;

/**
 * The known state of the run of one request in the pool, and whether the pool may have missed its
 * last command. {@link Exchange} updates it on events; {@link RunReconciler} marks doubt and
 * schedules the repetition of stops and probes.
 */
final class RunRecord {
  private boolean started;
  private boolean inPool;
  private boolean sent;
  private boolean knownToHaveRun;
  private boolean stopping;
  private boolean inDoubt;
  private long pollsBeforeCommand;
  private long repeatStopAt;
  private long probeAt;

  /** Whether the run was ever started, so that the request may have taken effect. */
  boolean hasStarted() {
    return started;
  }

  /** Whether the pool has the run: from its start until its end. */
  boolean isInPool() {
    return inPool;
  }

  /**
   * Whether a start was written to a connection, or confirmed by a report of the pool; if not, the
   * pool cannot have run it.
   */
  boolean isSent() {
    return sent;
  }

  /** Whether the pool is known to have run it, as it reported the run as paused. */
  boolean isKnownToHaveRun() {
    return knownToHaveRun;
  }

  /** Whether a stop was sent, and no end was reported since. */
  boolean isStopping() {
    return stopping;
  }

  /** Whether the last command may be lost, until the next report of the pool. */
  boolean isInDoubt() {
    return inDoubt;
  }

  void setInDoubt(boolean doubt) {
    inDoubt = doubt;
  }

  /** The number of polls that were sent before the last command. */
  long pollsBeforeCommand() {
    return pollsBeforeCommand;
  }

  /** The time from which a stop without effect is repeated. */
  long repeatStopAt() {
    return repeatStopAt;
  }

  void setRepeatStopAt(long at) {
    repeatStopAt = at;
  }

  /** The time from which the pool may be probed for the run again. */
  long probeAt() {
    return probeAt;
  }

  void setProbeAt(long at) {
    probeAt = at;
  }

  /** Records a start. Returns whether it was written to a connection for the first time. */
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

  /** Records that the pool has reported the run, so that its start was not lost. */
  void confirm() {
    sent = true;
    inDoubt = false;
  }

  /**
   * Records that the pool has stopped the run. Only a paused run whose answer is still pending is
   * kept.
   */
  void stopped(boolean paused, boolean answerPending) {
    stopping = false;
    knownToHaveRun = paused;
    inDoubt = false;
    inPool = paused && answerPending;
  }

  void end() {
    inPool = false;
    stopping = false;
    inDoubt = false;
  }
}
