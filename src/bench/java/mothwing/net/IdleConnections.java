package mothwing.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Counters;
import mothwing.broker.Scheduler;

/**
 * Idle connections under a clock by hand: each step lets 50 ms pass and looks for who overstays.
 */
public final class IdleConnections implements Scheduler {
  private static final long STEP = 50_000;
  private static final long SPAN = 30_000_000;
  private static final long PATIENCE = 2_500_000;

  private final List<Idle> all = new ArrayList<>();
  private final ConnectionTable table = new ConnectionTable(PATIENCE, this);
  private long now;
  private int closed;

  private static final class Idle extends Connection {
    private final long since;

    Idle(long since) {
      super("bench", 1, line -> {}, new Counters());
      this.since = since;
      markIdentified();
    }

    @Override
    protected boolean decode(ByteBuf in) {
      return false;
    }

    @Override
    protected void onClosed() {
      // nothing is kept of it
    }
  }

  /** Opens so many, spread over the span after which they would be closed. */
  public IdleConnections(int many) {
    for (int i = 0; i < many; i++) {
      now = SPAN * i / many;
      Idle one = new Idle(now);
      table.add(one);
      all.add(one);
    }
    now = 0;
  }

  /** A scan of all of them, as it was before the wheel. */
  public void scan() {
    now += STEP;
    for (Idle one : new ArrayList<>(all)) {
      if (one.timeoutReason(now, PATIENCE) != null
          || !one.isClosable()
          || now - one.since >= SPAN) {
        closed++;
      }
    }
  }

  /** A look at the wheel. Nothing is due in the first span, as each is armed for its own end. */
  public void wheel() {
    now += STEP;
    table.closeExpired(SPAN, CloseReason.IDLE);
  }

  /** How many would have been closed, so that the work is not dropped. */
  public int closed() {
    return closed;
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
