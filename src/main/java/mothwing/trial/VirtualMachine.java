package mothwing.trial;

import java.util.ArrayDeque;
import mothwing.broker.Scheduler;

/**
 * A machine on virtual time: it starts, stands still and ends, and what belongs to a start is done
 * in that start alone.
 */
class VirtualMachine {
  private final VirtualTime time;
  private final ArrayDeque<Runnable> held = new ArrayDeque<>();
  private int starts;
  private boolean on;
  private boolean still;

  VirtualMachine(VirtualTime time) {
    this.time = time;
  }

  /** Begins the next start, and gives its number. */
  final int begin() {
    on = true;
    still = false;
    held.clear();
    return ++starts;
  }

  /** Ends the start: nothing of it happens any longer. */
  final void end() {
    on = false;
    held.clear();
  }

  final boolean running() {
    return on;
  }

  final boolean standsStill() {
    return still;
  }

  /** The number of the last start. */
  final int starts() {
    return starts;
  }

  /** Stands still, or goes on with all that came meanwhile. */
  final void still(boolean now) {
    still = now;
    for (int left = held.size(); left > 0 && !still; left--) {
      held.remove().run();
    }
  }

  /**
   * Does what belongs to a start, unless that is over; a machine that stands still does it later.
   */
  final void run(int start, Runnable what) {
    if (!on || start != starts) {
      return;
    } else if (still) {
      held.add(what);
    } else {
      what.run();
    }
  }

  /** Its clock on the wall, in Unix milliseconds. */
  long wallMs() {
    return time.wallClockMillis();
  }

  /** The timers of one start. */
  final Scheduler timers(int start) {
    return new Scheduler() {
      @Override
      public long now() {
        return time.now();
      }

      @Override
      public long wallClockMillis() {
        return VirtualMachine.this.wallMs();
      }

      @Override
      public void schedule(long at, Runnable what) {
        time.schedule(at, () -> run(start, what));
      }
    };
  }
}
