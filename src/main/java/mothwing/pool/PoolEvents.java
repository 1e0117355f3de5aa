package mothwing.pool;

import mothwing.broker.Counters;
import mothwing.broker.EventLog;

/** Writes the log lines and counters of the worker pool's client. */
final class PoolEvents {
  private static final long MICROS_PER_MILLI = 1000;

  private final Counters counters;
  private final EventLog log;

  PoolEvents(Counters counters, EventLog log) {
    this.counters = counters;
    this.log = log;
  }

  void connectionLost(long openMicros, boolean resynchronized, long retryMicros) {
    log.write(
        "pool-connection-lost open_ms="
            + openMicros / MICROS_PER_MILLI
            + " resynchronized="
            + resynchronized
            + " retry_ms="
            + retryMicros / MICROS_PER_MILLI);
  }

  void connectionSilent(long silentMicros) {
    counters.add("pool-connections-silent");
    log.write("pool-connection-silent silent_ms=" + silentMicros / MICROS_PER_MILLI);
  }

  void reconnecting() {
    counters.add("pool-reconnects");
  }

  void noticeGap(long after, long next) {
    log.write("pool-notice-gap after=" + after + " next=" + next);
  }

  void noticeDuplicate() {
    counters.add("pool-notices-duplicate");
  }

  void noticeOutOfRange() {
    counters.add("pool-notices-out-of-range");
  }

  void noticesLost(long count) {
    counters.add("pool-notices-lost", count);
  }

  void noticeRead(PoolNotice.Kind kind) {
    counters.add("pool-notice-" + kind.counter());
  }

  void noticeMalformed(String detail) {
    counters.add("pool-notices-malformed");
    log.write("pool-notice-malformed what=\"" + detail + "\"");
  }

  void commandRefused(String command, String requestId) {
    log.write("pool-command-refused command=" + command + " id=" + requestId);
  }
}
