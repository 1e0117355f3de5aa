package mothwing.server;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mothwing.broker.EventLog;

/**
 * Writes the log on a thread of its own, each line with its time: whoever reads it slowly does not
 * hold up the event loop. Lines beyond a bound are dropped, and their number is written in their
 * place.
 */
public final class AsyncLogWriter implements EventLog {
  private static final int MAX_QUEUED_LINES = 4096;
  private static final String END = "";

  private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer = new Thread(this::write, "log");

  /**
   * Makes a log.
   *
   * @param out where its lines go
   */
  public AsyncLogWriter(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(String line) {
    if (!waiting.offer(System.currentTimeMillis() + " " + line)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    try {
      for (String line = waiting.take(); !line.equals(END); line = waiting.take()) {
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
   * Writes what is waiting, for at most a moment.
   *
   * @throws InterruptedException where the wait is broken off
   */
  public void close() throws InterruptedException {
    if (waiting.offer(END, 1, TimeUnit.SECONDS)) {
      writer.join(TimeUnit.SECONDS.toMillis(1));
    }
  }
}
