package mothwing.pool;

/**
 * The sequence numbers of the notices: filters duplicates and detects gaps. Behind a gap the client
 * reconnects once, as the pool replays all notices after the last one read; if the same gap appears
 * again, the notices in it are lost.
 */
final class NoticeSequence {
  /** What becomes of a numbered notice. */
  enum Decision {
    PROCESS,
    SKIP,
    RECONNECT
  }

  /** A number further ahead is a fault of the pool, which retains far fewer notices. */
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
   * Takes the number of a notice that was read.
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
