package mothwing.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Brings the records of one owner into a {@link Journal} without ever letting the owner wait:
 * records are queued, one helper thread writes all that are waiting as one frame and forces it
 * (group commit), and the word of it comes back as an event on the owner's thread. Where that
 * fails, all records that are on their way fail with it, in order: each may rest on the one before.
 * Those that the owner appends after it has heard of the failure are tried afresh.
 */
public final class GroupCommitter {
  private static final int MOST_FRAME = 8 << 20;

  /** Something to be done by the helper, in order; {@code record} is null for a snapshot. */
  private record Step(
      int epoch,
      byte[] record,
      Supplier<Iterator<byte[]>> pieces,
      boolean barrier,
      Consumer<IOException> done) {}

  private final Journal journal;
  private final Executor owner;
  private final Executor helper;
  private final int mostWaiting;
  // The owner's alone:
  private int epoch;
  private int waiting;
  // Between the two, guarded by the queue itself:
  private final ArrayDeque<Step> queue = new ArrayDeque<>();
  private boolean scheduled;
  // The helper's alone:
  private int failedEpoch = -1;
  private Journal.Snapshot snapshot;
  private Step snapshotStep;
  private volatile long size;

  /**
   * Makes one.
   *
   * @param journal the journal, which from now on belongs to the helper
   * @param owner runs events on the owner's thread
   * @param helper runs work on the one helper thread
   * @param mostWaiting most records that may wait
   */
  public GroupCommitter(Journal journal, Executor owner, Executor helper, int mostWaiting) {
    this.journal = journal;
    this.owner = owner;
    this.helper = helper;
    this.mostWaiting = mostWaiting;
    this.size = journal.size();
  }

  /**
   * Appends a record. Belongs to the owner's thread.
   *
   * @param record its bytes
   * @param done takes null once it is forced, or why it is not in the journal
   * @return false where too many wait: nothing was done
   */
  public boolean append(byte[] record, Consumer<IOException> done) {
    if (waiting >= mostWaiting) {
      return false;
    }
    enqueue(new Step(epoch, record, null, false, done));
    return true;
  }

  /**
   * Writes a snapshot of the state after the last record that was appended. Belongs to the owner's
   * thread.
   *
   * @param pieces gives the state in pieces; is asked on the helper thread, so it must not change
   * @param barrier whether it holds what no record says: then nothing appended later is forced
   *     before it
   * @param done takes null once it is forced, or why there is none
   */
  public void snapshot(
      Supplier<Iterator<byte[]>> pieces, boolean barrier, Consumer<IOException> done) {
    enqueue(new Step(epoch, null, pieces, barrier, done));
  }

  /**
   * Bytes of the journal since its last snapshot, as far as is known.
   *
   * @return the size
   */
  public long size() {
    return size;
  }

  /**
   * How many records and snapshots are on their way. Belongs to the owner's thread.
   *
   * @return their number
   */
  public int waiting() {
    return waiting;
  }

  private void enqueue(Step step) {
    waiting++;
    synchronized (queue) {
      queue.add(step);
      schedule();
    }
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      helper.execute(this::work);
    }
  }

  private void work() {
    List<Step> batch = new ArrayList<>();
    Step first;
    synchronized (queue) {
      int bytes = 0;
      first = queue.peek();
      while (!queue.isEmpty()
          && queue.peek().record != null
          && bytes < MOST_FRAME
          && queue.peek().epoch
              == first.epoch) { // what is tried afresh does not fail with what failed
        bytes += queue.peek().record.length;
        batch.add(queue.poll());
      }
    }
    if (!batch.isEmpty()) {
      commit(batch);
    } else if (first != null && snapshot == null) {
      begin(first);
    }
    if (snapshot != null) {
      advance();
    }
    size = journal.size();
    synchronized (queue) {
      scheduled = false;
      if (!queue.isEmpty() || snapshot != null) {
        schedule();
      }
    }
  }

  private void commit(List<Step> batch) {
    IOException failed = null;
    if (batch.get(0).epoch <= failedEpoch) {
      failed = new IOException("an earlier record could not be written");
    } else {
      try {
        journal.append(batch.stream().map(Step::record).toList());
      } catch (IOException bad) {
        failed = bad;
        failedEpoch = batch.get(0).epoch;
      }
    }
    tell(batch, failed);
  }

  private void begin(Step step) {
    synchronized (queue) {
      queue.poll();
    }
    try {
      if (step.epoch <= failedEpoch) {
        throw new IOException("an earlier record could not be written");
      }
      snapshot = journal.snapshot(step.pieces.get());
      snapshotStep = step;
      while (step.barrier && snapshot.step()) {
        // nothing comes between
      }
      if (step.barrier) {
        snapshot = null;
        tell(List.of(step), null);
      }
    } catch (IOException bad) {
      failedEpoch = step.barrier ? Math.max(failedEpoch, step.epoch) : failedEpoch;
      snapshot = null;
      tell(List.of(step), bad);
    }
  }

  private void advance() {
    try {
      if (!snapshot.step()) {
        snapshot = null;
        tell(List.of(snapshotStep), null);
      }
    } catch (IOException bad) {
      snapshot = null;
      tell(List.of(snapshotStep), bad);
    }
  }

  private void tell(List<Step> steps, IOException failed) {
    owner.execute(
        () -> {
          for (Step one : steps) {
            waiting--;
            if (failed != null && one.epoch == epoch && (one.record != null || one.barrier)) {
              epoch++;
            }
            one.done.accept(failed);
          }
        });
  }

  /**
   * Ends it after all that was appended: a last empty frame marks that what is before it was
   * acknowledged.
   *
   * @param closed is told on the owner's thread
   */
  public void close(Runnable closed) {
    helper.execute(
        () -> {
          synchronized (queue) {
            if (!queue.isEmpty() || snapshot != null) {
              helper.execute(() -> close(closed));
              return;
            }
          }
          try {
            journal.append(List.of());
            journal.close();
          } catch (IOException late) {
            // all that was acknowledged is forced; only the mark is missing
          }
          owner.execute(closed);
        });
  }
}
