package mothwing.broker;

/**
 * Writes down why a request was refused, failed or handed over again, with its id; a bounded number
 * of lines a second. What finds no room is counted, and the count is written with the next second's
 * first line, so that a gap is seen as one.
 *
 * <p>Thread: the event loop's.
 */
final class RateLimitedEventLog {
  /** Most lines a second: at 20 microseconds a line a thousandth of a core. */
  static final int MOST_A_SECOND = 50;

  private static final long SECOND = 1_000_000;

  private final EventLog log;
  private final Scheduler timers;
  private long second = Long.MIN_VALUE;
  private int lines;
  private long suppressed;

  /**
   * Makes one.
   *
   * @param log takes the lines
   * @param timers the clocks
   */
  RateLimitedEventLog(EventLog log, Scheduler timers) {
    this.log = log;
    this.timers = timers;
  }

  /**
   * Writes a line about a request, if there is room for one in this second.
   *
   * @param event what happened to it
   * @param request the request
   * @param reason why, a code of the counters
   */
  void write(String event, Exchange request, String reason) {
    long now = Math.floorDiv(timers.now(), SECOND);
    if (now != second) {
      second = now;
      lines = 0;
      if (suppressed > 0) {
        log.write(EventNames.EVENTS_SUPPRESSED + " lines=" + suppressed);
        suppressed = 0;
      }
    }
    if (lines < MOST_A_SECOND) {
      lines++;
      log.write(
          event
              + " id="
              + request.request().id()
              + " class="
              + request.request().className()
              + " reason="
              + reason);
    } else {
      suppressed++;
    }
  }
}
