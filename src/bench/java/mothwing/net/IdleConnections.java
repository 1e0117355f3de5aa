package mothwing.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Counters;
import mothwing.broker.Scheduler;

/**
 * Idle connections with a manual clock. Each check advances the clock by 50 ms and looks for
 * connections that exceed the idle limit.
 */
public final class IdleConnections implements Scheduler {
  private static final long CHECK_INTERVAL_MICROS = 50_000;
  private static final long IDLE_LIMIT_MICROS = 30_000_000;
  private static final long READ_TIMEOUT_MICROS = 2_500_000;

  private final List<IdleConnection> connections = new ArrayList<>();
  private final ConnectionTable table = new ConnectionTable(READ_TIMEOUT_MICROS, this);
  private long now;
  private int expiredCount;

  private static final class IdleConnection extends Connection {
    private final long openedAt;

    IdleConnection(long openedAt) {
      super("bench", 1, line -> {}, new Counters());
      this.openedAt = openedAt;
      markIdentified();
    }

    @Override
    protected boolean decode(ByteBuf in) {
      return false;
    }

    @Override
    protected void onClosed() {
      // has no state to release
    }
  }

  /** Opens connections at times spread evenly over the idle limit. */
  public IdleConnections(int count) {
    for (int i = 0; i < count; i++) {
      now = IDLE_LIMIT_MICROS * i / count;
      IdleConnection connection = new IdleConnection(now);
      table.add(connection);
      connections.add(connection);
    }
    now = 0;
  }

  /** Scans all connections, the alternative to the timing wheel. */
  public void scan() {
    now += CHECK_INTERVAL_MICROS;
    for (IdleConnection connection : new ArrayList<>(connections)) {
      if (connection.timeoutReason(now, READ_TIMEOUT_MICROS) != null
          || !connection.isClosable()
          || now - connection.openedAt >= IDLE_LIMIT_MICROS) {
        expiredCount++;
      }
    }
  }

  /**
   * Checks the timing wheel. Nothing is due within the first idle limit, since each connection is
   * scheduled for its own expiry.
   */
  public void checkWheel() {
    now += CHECK_INTERVAL_MICROS;
    table.closeExpired(IDLE_LIMIT_MICROS, CloseReason.IDLE);
  }

  /** Returns the number of expired connections, so that the compiler cannot remove the scan. */
  public int expiredCount() {
    return expiredCount;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public long wallClockMillis() {
    return now / 1000;
  }

  @Override
  public void schedule(long at, Runnable work) {
    throw new UnsupportedOperationException();
  }
}
