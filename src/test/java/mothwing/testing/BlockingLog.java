package mothwing.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import mothwing.broker.EventLog;

/**
 * A log that can hold the thread which writes a line, between that line and the next statement:
 * whatever the test does meanwhile crosses it there. It keeps all lines.
 */
public final class BlockingLog implements EventLog {
  private final List<String> lines = new ArrayList<>();
  private String start;
  private CountDownLatch held;
  private CountDownLatch goes;

  /** Holds the writer of the next line that starts so, once. */
  public synchronized void blockAt(String lineStart) {
    start = lineStart;
    held = new CountDownLatch(1);
    goes = new CountDownLatch(1);
  }

  /** Waits until a writer is held. */
  public void awaitBlocked() throws InterruptedException {
    held.await();
  }

  /** Lets the writer go on. */
  public void release() {
    goes.countDown();
  }

  /** The lines so far. */
  public synchronized List<String> lines() {
    return List.copyOf(lines);
  }

  /** Waits for a line that starts so. */
  public void awaitLine(String lineStart) throws InterruptedException {
    awaitLines(lineStart, 1);
  }

  /** Waits for so many lines that start so. */
  public synchronized void awaitLines(String lineStart, int many) throws InterruptedException {
    while (lines.stream().filter(line -> line.startsWith(lineStart)).count() < many) {
      wait();
    }
  }

  @Override
  public void write(String line) {
    synchronized (this) {
      lines.add(line);
      notifyAll();
      if (start == null || !line.startsWith(start)) {
        return;
      }
      start = null;
    }
    held.countDown();
    try {
      goes.await();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
