package mothwing.broker;

/**
 * Logs why a request was rejected, failed or run again, with its id, at a bounded rate. Lines that
 * exceed the rate are counted, and their number is logged before the first line of a later second.
 *
 * <p>Used on the event loop's thread only.
 */
final class RateLimitedEventLog {
  /** Bounds the cost of logging to a thousandth of a core, at 20 microseconds per line. */
  static final int MAX_LINES_PER_SECOND = 50;

  private static final int MAX_NAME_CHARS = 64;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final EventLog log;
  private final Scheduler scheduler;
  private long second = Long.MIN_VALUE;
  private int linesThisSecond;
  private long suppressed;

  /**
   * Creates a log without suppressed lines.
   *
   * @param log receives the lines
   * @param scheduler the clock
   */
  RateLimitedEventLog(EventLog log, Scheduler scheduler) {
    this.log = log;
    this.scheduler = scheduler;
  }

  /** Returns a name of bounded length; an unknown one may be as long as the request. */
  private static String shortened(String name) {
    return name.length() <= MAX_NAME_CHARS ? name : name.substring(0, MAX_NAME_CHARS) + "...";
  }

  /**
   * Writes a line about a request, or counts it as suppressed if the bound is reached.
   *
   * @param event the event code of the line
   * @param exchange the request
   * @param reason the reason, as a code that counters use too
   */
  void write(String event, Exchange exchange, String reason) {
    long now = Math.floorDiv(scheduler.now(), MICROS_PER_SECOND);
    if (now != second) {
      second = now;
      linesThisSecond = 0;
      if (suppressed > 0) {
        log.write(EventNames.EVENTS_SUPPRESSED + " lines=" + suppressed);
        suppressed = 0;
      }
    }
    if (linesThisSecond < MAX_LINES_PER_SECOND) {
      linesThisSecond++;
      log.write(
          event
              + " id="
              + exchange.request().id()
              + " class="
              + shortened(exchange.request().className())
              + " reason="
              + reason);
    } else {
      suppressed++;
    }
  }
}
