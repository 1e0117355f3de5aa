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
 * Appends the records of one owner to a {@link Journal} without blocking the owner's thread.
 * Records are queued; a writer thread writes the queued records in batches, each as one frame of
 * about 8 MiB at most, and forces each (group commit), and the completions run on the owner's
 * thread. If a write fails, all queued records of the same epoch fail with it, in order, because
 * each may depend on the one before. The next epoch starts when the owner is notified of the
 * failure; records appended after that are written normally.
 */
public final class GroupCommitter {
  private static final int MAX_FRAME_BYTES = 8 << 20;

  /**
   * A task of the writer thread. Tasks run in the order in which they are queued.
   *
   * @param epoch the owner's epoch when the task was queued
   * @param record the record to append, or null for a snapshot
   * @param chunks the chunks of the snapshot, or null for a record
   * @param barrier whether the task is a snapshot before which no later record may be forced
   * @param done receives null on success, else the failure
   */
  private record Task(
      int epoch,
      byte[] record,
      Supplier<Iterator<byte[]>> chunks,
      boolean barrier,
      Consumer<IOException> done) {}

  private final Journal journal;
  private final Executor owner;
  private final Executor writer;
  private final int maxPending;
  // Confined to the owner's thread.
  private int epoch;
  private int pending;
  // Shared, guarded by the queue.
  private final ArrayDeque<Task> queue = new ArrayDeque<>();
  private boolean scheduled;
  // Written by the writer thread only; the size is read by any thread.
  private int failedEpoch = -1;
  private Journal.Snapshot snapshot;
  private Task snapshotTask;
  private volatile long size;

  /**
   * Creates a committer for a journal.
   *
   * @param journal the journal, which only the writer thread uses from now on
   * @param owner runs completions on the owner's thread
   * @param writer runs tasks on the writer thread
   * @param maxPending maximum uncompleted records and snapshots; appends beyond it are refused
   */
  public GroupCommitter(Journal journal, Executor owner, Executor writer, int maxPending) {
    this.journal = journal;
    this.owner = owner;
    this.writer = writer;
    this.maxPending = maxPending;
    this.size = journal.size();
  }

  /**
   * Appends a record. Must be called on the owner's thread.
   *
   * @param record the bytes of the record
   * @param done receives null once the record is forced, or the reason why it is not in the journal
   * @return false if too many records are pending; then nothing was done
   */
  public boolean append(byte[] record, Consumer<IOException> done) {
    if (pending >= maxPending) {
      return false;
    }
    enqueue(new Task(epoch, record, null, false, done));
    return true;
  }

  /**
   * Writes a snapshot of the state after the last appended record. Must be called on the owner's
   * thread.
   *
   * @param chunks supplies the state in chunks; called on the writer thread, so the state must be
   *     immutable
   * @param barrier whether the snapshot holds changes that no record has; then no later record is
   *     forced before it
   * @param done receives null once the snapshot is forced, or the reason why there is none
   */
  public void snapshot(
      Supplier<Iterator<byte[]>> chunks, boolean barrier, Consumer<IOException> done) {
    enqueue(new Task(epoch, null, chunks, barrier, done));
  }

  /**
   * Returns the length of the journal since its last snapshot, as of the last task.
   *
   * @return the length in bytes
   */
  public long size() {
    return size;
  }

  /**
   * Returns the number of records and snapshots that are not completed. Must be called on the
   * owner's thread.
   *
   * @return the number of pending records and snapshots
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
      writer.execute(this::runTasks);
    }
  }

  private void runTasks() {
    List<Task> batch = new ArrayList<>();
    Task first;
    synchronized (queue) {
      int bytes = 0;
      first = queue.peek();
      // Epochs fail independently, so a batch holds the records of one epoch only.
      while (!queue.isEmpty()
          && queue.peek().record != null
          && bytes < MAX_FRAME_BYTES
          && queue.peek().epoch == first.epoch) {
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
    IOException failure = null;
    if (batch.get(0).epoch <= failedEpoch) {
      failure = new IOException("an earlier record could not be written");
    } else {
      try {
        journal.append(batch.stream().map(Task::record).toList());
      } catch (IOException writeFailure) {
        failure = writeFailure;
        failedEpoch = batch.get(0).epoch;
      }
    }
    complete(batch, failure);
  }

  private void startSnapshot(Task task) {
    synchronized (queue) {
      queue.poll();
    }
    try {
      if (task.epoch <= failedEpoch) {
        throw new IOException("an earlier record could not be written");
      }
      snapshot = journal.snapshot(task.chunks.get());
      snapshotTask = task;
      while (task.barrier && snapshot.step()) {
        // No record may be written between the steps.
      }
      if (task.barrier) {
        snapshot = null;
        complete(List.of(task), null);
      }
    } catch (IOException failure) {
      failedEpoch = task.barrier ? Math.max(failedEpoch, task.epoch) : failedEpoch;
      snapshot = null;
      complete(List.of(task), failure);
    }
  }

  private void continueSnapshot() {
    try {
      if (!snapshot.step()) {
        snapshot = null;
        complete(List.of(snapshotTask), null);
      }
    } catch (IOException failure) {
      snapshot = null;
      complete(List.of(snapshotTask), failure);
    }
  }

  private void complete(List<Task> tasks, IOException failure) {
    owner.execute(
        () -> {
          for (Task task : tasks) {
            pending--;
            if (failure != null && task.epoch == epoch && (task.record != null || task.barrier)) {
              epoch++;
            }
            task.done.accept(failure);
          }
        });
  }

  /**
   * Closes the journal once all tasks are completed. An empty frame at its end marks that all
   * records before it were acknowledged.
   *
   * @param closed runs on the owner's thread after the close
   */
  public void close(Runnable closed) {
    writer.execute(
        () -> {
          synchronized (queue) {
            if (!queue.isEmpty() || snapshot != null) {
              writer.execute(() -> close(closed));
              return;
            }
          }
          try {
            journal.append(List.of());
            journal.close();
          } catch (IOException ignored) {
            // All acknowledged records are forced; only the end mark is missing.
          }
          owner.execute(closed);
        });
  }
}
