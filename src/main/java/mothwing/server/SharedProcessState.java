package mothwing.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import mothwing.broker.EventLog;
import mothwing.broker.Rotation;
import mothwing.control.ProcessLoad;
import mothwing.control.SharedCapacity;
import mothwing.store.ProcessTable;

/**
 * What the processes of one server share while an upgrade lets two of them serve the same address:
 * the capacity of the machine, and whether operators have taken the server out of rotation. Used on
 * the event loop only, after its creation.
 */
final class SharedProcessState implements SharedCapacity, Rotation {
  private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
  private static final int MEMORY = 0;

  /** The column of the number of runs. */
  static final int RUNNING = 1;

  private static final int RUNNING_LIMIT = 2;
  private static final int OUTSTANDING_CALLS = 3;
  private static final int FLAGS = 4;
  private static final int PUBLISHED_AT = 5;

  /**
   * A process that has published nothing for this long is stopped or starved: what it has taken
   * counts, and no place is left free for it.
   */
  static final long STALE_MICROS = 200_000;

  private static final long CONSTRAINED = 1;
  private static final long DRAINING = 2;
  private static final long IN_ROTATION = 0;
  private static final long OUT_OF_ROTATION = 1;

  private final ProcessTable table;
  private final LongSupplier clock;
  private final EventLog log;
  private boolean draining;

  private SharedProcessState(ProcessTable table, LongSupplier clock, EventLog log) {
    this.table = table;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Opens the state that the processes of a server with this name and address share. Logs if that
   * is not possible.
   *
   * @param config the configuration of the server
   * @param log the event log
   * @return the state, or empty if there is none to share
   */
  static Optional<SharedProcessState> open(Config config, EventLog log) {
    InetSocketAddress address = config.listen();
    if (address.getPort() == 0) {
      return Optional.empty(); // no other process can have the same address
    }
    Path file =
        Path.of(
            System.getProperty("java.io.tmpdir"),
            "mothwing-processes-" + config.name() + "-" + address.getPort());
    try {
      LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
      return Optional.of(open(file, clock, log));
    } catch (IOException | RuntimeException failure) {
      log.write("shared-state-unavailable file=" + file + " what=\"" + failure.getMessage() + "\"");
      return Optional.empty();
    }
  }

  /**
   * Opens the state in a file.
   *
   * @param file the file
   * @param clock the monotonic clock of the machine, in microseconds
   * @param log the event log
   * @throws IOException if that is not possible
   */
  static SharedProcessState open(Path file, LongSupplier clock, EventLog log) throws IOException {
    return new SharedProcessState(ProcessTable.open(file, bootId()), clock, log);
  }

  /** Returns a number that identifies the boot of the machine. */
  static long bootId() throws IOException {
    return Files.readString(BOOT_ID).strip().hashCode();
  }

  @Override
  public ProcessLoad exchange(ProcessLoad own) {
    table.put(MEMORY, Double.doubleToRawLongBits(own.memoryKb()));
    table.put(RUNNING, own.running());
    table.put(RUNNING_LIMIT, own.runningLimit());
    table.put(OUTSTANDING_CALLS, own.outstandingCalls());
    table.put(PUBLISHED_AT, clock.getAsLong());
    table.put(FLAGS, (own.constrained() ? CONSTRAINED : 0) | (draining ? DRAINING : 0));
    ProcessLoad others = ProcessLoad.NONE;
    for (int row = 0; row < table.rows(); row++) {
      if (!table.isOwn(row) && table.get(row, RUNNING_LIMIT) > 0) {
        others = sum(others, row);
      }
    }
    return others;
  }

  private ProcessLoad sum(ProcessLoad others, int row) {
    boolean isStale = clock.getAsLong() - table.get(row, PUBLISHED_AT) > STALE_MICROS;
    long flags = isStale ? 0 : table.get(row, FLAGS);
    return new ProcessLoad(
        others.memoryKb() + Double.longBitsToDouble(table.get(row, MEMORY)),
        others.running() + (int) table.get(row, RUNNING),
        Math.max(others.runningLimit(), (int) table.get(row, RUNNING_LIMIT)),
        others.outstandingCalls() + (int) table.get(row, OUTSTANDING_CALLS),
        others.constrained() || (!draining && (flags & CONSTRAINED) != 0),
        others.draining() || (flags & DRAINING) != 0);
  }

  /**
   * Records that this process ends soon: its work goes before that of the other process, and it
   * leaves nothing to a constrained one.
   */
  void startDraining() {
    draining = true;
  }

  /** Gives back the capacity of processes that have died. Must be called every few milliseconds. */
  void releaseCapacityOfEndedProcesses() {
    try {
      table.clearRowsOfEndedProcesses();
    } catch (IOException unavailable) {
      log.write("shared-state-unavailable what=\"" + unavailable.getMessage() + "\"");
    }
  }

  /**
   * Gives back the capacity of this process, which is about to end. With its last process the
   * server ends, and with it its rotation.
   */
  void leave() {
    try {
      if (!table.isOtherProcessAlive()) {
        setOutOfRotation(false);
      }
      table.close();
    } catch (IOException failure) {
      log.write("shared-state-unavailable what=\"" + failure.getMessage() + "\"");
    }
  }

  @Override
  public boolean isOutOfRotation() {
    return table.word() == OUT_OF_ROTATION;
  }

  @Override
  public void setOutOfRotation(boolean outOfRotation) {
    table.setWord(outOfRotation ? OUT_OF_ROTATION : IN_ROTATION);
  }
}
