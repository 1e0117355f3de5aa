package mothwing.server;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mothwing.broker.EventLog;

/**
 * Writes the log on a thread of its own, each line with its time, so that a slow reader of the log
 * does not block the event loop. Lines over a bound are dropped and their number is logged.
 */
public final class AsyncLogWriter implements EventLog {
  private static final int MAX_QUEUED_LINES = 4096;
  private static final String END = "";

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer = new Thread(this::write, "log");

  /**
   * Makes a log writer and starts its thread.
   *
   * @param out where the lines go
   */
  public AsyncLogWriter(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(String line) {
    if (!queue.offer(System.currentTimeMillis() + " " + line)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    try {
      for (String line = queue.take(); !line.equals(END); line = queue.take()) {
        out.println(line);
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
          out.println(System.currentTimeMillis() + " log-dropped lines=" + lost);
        }
      }
      out.flush();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes the queued lines, for at most two seconds.
   *
   * @throws InterruptedException where the wait is interrupted
   */
  public void close() throws InterruptedException {
    if (queue.offer(END, 1, TimeUnit.SECONDS)) {
      writer.join(TimeUnit.SECONDS.toMillis(1));
    }
  }
}
