package mothwing.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import mothwing.broker.EventLog;

/**
 * Keeps all lines and can block the thread that writes a given line. The thread stops between that
 * line and its next statement, so that a test can force events to happen at that point.
 */
public final class BlockingLog implements EventLog {
  private final List<String> lines = new ArrayList<>();
  private String blockingPrefix;
  private CountDownLatch blocked;
  private CountDownLatch released;

  /** Blocks the writer of the next line with this prefix; later lines do not block. */
  public synchronized void blockAt(String prefix) {
    blockingPrefix = prefix;
    blocked = new CountDownLatch(1);
    released = new CountDownLatch(1);
  }

  /** Waits until a writer is blocked. */
  public void awaitBlocked() throws InterruptedException {
    blocked.await();
  }

  /** Releases the blocked writer. */
  public void release() {
    released.countDown();
  }

  /** Returns a copy of the lines written so far. */
  public synchronized List<String> lines() {
    return List.copyOf(lines);
  }

  /** Waits for a line with this prefix. */
  public void awaitLine(String prefix) throws InterruptedException {
    awaitLines(prefix, 1);
  }

  /** Waits for a number of lines with this prefix. */
  public synchronized void awaitLines(String prefix, int count) throws InterruptedException {
    while (lines.stream().filter(line -> line.startsWith(prefix)).count() < count) {
      wait();
    }
  }

  @Override
  public void write(String line) {
    synchronized (this) {
      lines.add(line);
      notifyAll();
      if (blockingPrefix == null || !line.startsWith(blockingPrefix)) {
        return;
      }
      blockingPrefix = null;
    }
    blocked.countDown();
    try {
      released.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
