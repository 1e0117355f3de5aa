package mothwing.broker;

/**
 * Logs why a request was rejected, failed or run again, with its id, at a bounded rate. Lines
 * beyond the bound are counted, and their number is logged before the first line of a later second.
 *
 * <p>Thread: the event loop's.
 */
final class RateLimitedEventLog {
  /** Bounds the cost of logging to a thousandth of a core, at 20 microseconds a line. */
  static final int MAX_LINES_PER_SECOND = 50;

  private static final long MICROS_PER_SECOND = 1_000_000;

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
   * Writes a line about a request, unless this second has had its number of lines.
   *
   * @param event what happened to it
   * @param request the request
   * @param reason why, a code of the counters
   */
  void write(String event, Exchange request, String reason) {
    long now = Math.floorDiv(timers.now(), MICROS_PER_SECOND);
    if (now != second) {
      second = now;
      lines = 0;
      if (suppressed > 0) {
        log.write(EventNames.EVENTS_SUPPRESSED + " lines=" + suppressed);
        suppressed = 0;
      }
    }
    if (lines < MAX_LINES_PER_SECOND) {
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
