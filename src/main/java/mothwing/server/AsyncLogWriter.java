package mothwing.server;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import mothwing.broker.EventLog;

/**
 * Writes the log on a thread of its own, each line with a timestamp, so that a slow reader of the
 * log does not block the event loop. Lines that do not fit into a bounded queue are dropped, and
 * their number is logged.
 */
public final class AsyncLogWriter implements EventLog {
  private static final int MAX_QUEUED_LINES = 4096;
  private static final String END_MARKER = "";

  private static final int MAX_LINE_CHARS = 8192;

  private static final Pattern CONTROL_CHARACTERS = Pattern.compile("\\p{Cntrl}");

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer = new Thread(this::write, "log");

  /**
   * Creates a log writer and starts its thread.
   *
   * @param out the stream for the lines
   */
  public AsyncLogWriter(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(String line) {
    if (!queue.offer(System.currentTimeMillis() + " " + bounded(line))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns a line without control characters, and of bounded length. */
  private static String bounded(String line) {
    String shown =
        line.length() <= MAX_LINE_CHARS ? line : line.substring(0, MAX_LINE_CHARS) + "...";
    return CONTROL_CHARACTERS.matcher(shown).replaceAll("?");
  }

  private void write() {
    try {
      for (String line = queue.take(); !line.equals(END_MARKER); line = queue.take()) {
        out.println(line);
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
          out.println(System.currentTimeMillis() + " log-dropped lines=" + droppedLines);
        }
      }
      out.flush();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes the queued lines and ends the thread, waiting for at most two seconds.
   *
   * @throws InterruptedException if the wait is interrupted
   */
  public void close() throws InterruptedException {
    if (queue.offer(END_MARKER, 1, TimeUnit.SECONDS)) {
      writer.join(TimeUnit.SECONDS.toMillis(1));
    }
  }
}
