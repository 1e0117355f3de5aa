package mothwing.pool;

/**
 * Checks the sequence numbers of notices: filters duplicates and detects gaps. At a gap the client
 * reconnects once, because the pool then replays all notices after the last one read. If the same
 * gap appears again, the missing notices are lost.
 */
final class NoticeSequence {
  /** How a numbered notice is to be handled. */
  enum Decision {
    PROCESS,
    SKIP,
    RECONNECT
  }

  /** A larger gap is a fault of the pool, which retains far fewer notices. */
  private static final long MAX_GAP = 1 << 20;

  private static final long NO_GAP = -1;

  private final PoolEvents events;
  private long lastRead;
  private long gapAfter = NO_GAP;

  NoticeSequence(PoolEvents events) {
    this.events = events;
  }

  /** The number of the last notice that was processed, 0 before the first. */
  long lastRead() {
    return lastRead;
  }

  /**
   * Checks the number of a notice that was read.
   *
   * @param sequence its number, above 0
   */
  Decision accept(long sequence) {
    if (sequence <= lastRead) {
      events.noticeDuplicate();
      return Decision.SKIP;
    }
    if (sequence - lastRead > MAX_GAP) {
      events.noticeOutOfRange();
      return Decision.SKIP;
    }
    if (sequence > lastRead + 1) {
      events.noticeGap(lastRead, sequence);
      if (gapAfter != lastRead) {
        gapAfter = lastRead;
        return Decision.RECONNECT;
      }
      events.noticesLost(sequence - lastRead - 1);
    }
    lastRead = sequence;
    return Decision.PROCESS;
  }
}
