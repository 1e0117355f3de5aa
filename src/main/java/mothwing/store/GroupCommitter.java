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
 * Appends the records of one owner to a {@link Journal} without blocking the owner: records are
 * queued, a helper thread writes all queued records as one frame and forces it (group commit), and
 * the completion runs on the owner's thread. If a write fails, all queued records of its epoch fail
 * with it, in order, as each may depend on the one before. The owner's next epoch starts when it is
 * notified of the failure; records appended from then on are written again.
 */
public final class GroupCommitter {
  private static final int MAX_FRAME_BYTES = 8 << 20;

  /**
   * A task of the helper, in the order of the queue.
   *
   * @param epoch the owner's epoch when it was queued
   * @param record the record to append, or null for a snapshot
   * @param pieces the pieces of the snapshot, or null for a record
   * @param barrier whether it is a snapshot before which no later record may be forced
   * @param done takes null, or the failure
   */
  private record Task(
      int epoch,
      byte[] record,
      Supplier<Iterator<byte[]>> pieces,
      boolean barrier,
      Consumer<IOException> done) {}

  private final Journal journal;
  private final Executor owner;
  private final Executor helper;
  private final int maxPending;
  // confined to the owner's thread:
  private int epoch;
  private int pending;
  // shared, guarded by the queue:
  private final ArrayDeque<Task> queue = new ArrayDeque<>();
  private boolean scheduled;
  // confined to the helper thread:
  private int failedEpoch = -1;
  private Journal.Snapshot snapshot;
  private Task snapshotTask;
  private volatile long size;

  /**
   * Makes a committer.
   *
   * @param journal the journal, which only the helper uses from now on
   * @param owner runs events on the owner's thread
   * @param helper runs tasks on the helper thread
   * @param maxPending bounds the records that are not completed
   */
  public GroupCommitter(Journal journal, Executor owner, Executor helper, int maxPending) {
    this.journal = journal;
    this.owner = owner;
    this.helper = helper;
    this.maxPending = maxPending;
    this.size = journal.size();
  }

  /**
   * Appends a record. Only for the owner's thread.
   *
   * @param record its bytes
   * @param done takes null once the record is forced, or why it is not in the journal
   * @return false where too many records are pending: nothing was done
   */
  public boolean append(byte[] record, Consumer<IOException> done) {
    if (pending >= maxPending) {
      return false;
    }
    enqueue(new Task(epoch, record, null, false, done));
    return true;
  }

  /**
   * Writes a snapshot of the state after the last record that was appended. Only for the owner's
   * thread.
   *
   * @param pieces gives the state in pieces; called on the helper thread, so the state must be
   *     immutable
   * @param barrier whether the snapshot holds changes that no record has: no later record is forced
   *     before it
   * @param done takes null once the snapshot is forced, or why there is none
   */
  public void snapshot(
      Supplier<Iterator<byte[]>> pieces, boolean barrier, Consumer<IOException> done) {
    enqueue(new Task(epoch, null, pieces, barrier, done));
  }

  /**
   * Bytes of the journal since its last snapshot, as of the last task.
   *
   * @return the size
   */
  public long size() {
    return size;
  }

  /**
   * The number of records and snapshots that are not completed. Only for the owner's thread.
   *
   * @return their number
   */
  public int pendingCount() {
    return pending;
  }

  private void enqueue(Task task) {
    pending++;
    synchronized (queue) {
      queue.add(task);
      schedule();
    }
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      helper.execute(this::runTasks);
    }
  }

  private void runTasks() {
    List<Task> batch = new ArrayList<>();
    Task first;
    synchronized (queue) {
      int bytes = 0;
      first = queue.peek();
      while (!queue.isEmpty()
          && queue.peek().record != null
          && bytes < MAX_FRAME_BYTES
          && queue.peek().epoch == first.epoch) { // epochs fail independently
        bytes += queue.peek().record.length;
        batch.add(queue.poll());
      }
    }
    if (!batch.isEmpty()) {
      commit(batch);
    } else if (first != null && snapshot == null) {
      startSnapshot(first);
    }
    if (snapshot != null) {
      continueSnapshot();
    }
    size = journal.size();
    synchronized (queue) {
      scheduled = false;
      if (!queue.isEmpty() || snapshot != null) {
        schedule();
      }
    }
  }

  private void commit(List<Task> batch) {
    IOException failed = null;
    if (batch.get(0).epoch <= failedEpoch) {
      failed = new IOException("an earlier record could not be written");
    } else {
      try {
        journal.append(batch.stream().map(Task::record).toList());
      } catch (IOException bad) {
        failed = bad;
        failedEpoch = batch.get(0).epoch;
      }
    }
    complete(batch, failed);
  }

  private void startSnapshot(Task task) {
    synchronized (queue) {
      queue.poll();
    }
    try {
      if (task.epoch <= failedEpoch) {
        throw new IOException("an earlier record could not be written");
      }
      snapshot = journal.snapshot(task.pieces.get());
      snapshotTask = task;
      while (task.barrier && snapshot.step()) {
        // no record may come between the steps
      }
      if (task.barrier) {
        snapshot = null;
        complete(List.of(task), null);
      }
    } catch (IOException bad) {
      failedEpoch = task.barrier ? Math.max(failedEpoch, task.epoch) : failedEpoch;
      snapshot = null;
      complete(List.of(task), bad);
    }
  }

  private void continueSnapshot() {
    try {
      if (!snapshot.step()) {
        snapshot = null;
        complete(List.of(snapshotTask), null);
      }
    } catch (IOException bad) {
      snapshot = null;
      complete(List.of(snapshotTask), bad);
    }
  }

  private void complete(List<Task> tasks, IOException failed) {
    owner.execute(
        () -> {
          for (Task task : tasks) {
            pending--;
            if (failed != null && task.epoch == epoch && (task.record != null || task.barrier)) {
              epoch++;
            }
            task.done.accept(failed);
          }
        });
  }

  /**
   * Closes the journal once all tasks are completed. A last empty frame marks that all records
   * before it were acknowledged.
   *
   * @param closed runs on the owner's thread
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
          } catch (IOException ignored) {
            // all acknowledged records are forced; only the mark is missing
          }
          owner.execute(closed);
        });
  }
}
