package mothwing.dns.server;

import java.util.List;
import mothwing.control.Dependency;
import mothwing.control.FreeValue;
import mothwing.control.Idempotency;
import mothwing.control.Machine;
import mothwing.control.ObjectiveWeights;
import mothwing.control.RequestClass;
import mothwing.control.ServerLimits;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.StopMode;

/**
 * What the controller is told of DNS: queries are safe to repeat and worth little each; an update
 * runs once and is worth as much as an order. Resolvers ask again after a second or so, and give up
 * after a few; the answer of an overloaded server is to come well before. The engine runs many at
 * once: an update spends nearly all of its run waiting for a force of the disk, which serves all
 * that wait. How busy the cores are is how busy the one event loop is.
 */
final class DnsDecisions {
  /** The class of queries. */
  static final String QUERY = "query";

  /** The class of updates. */
  static final String UPDATE = "update";

  /** The gauges, in order. */
  static final List<String> GAUGES = List.of("cpu_busy", "runnable", "mem_used", "sockets");

  private static final long MILLI = 1000;
  private static final long SECOND = 1000 * MILLI;
  private static final long ROUND =
      1; // microsecond: a batch a turn of the loop, whose timers are no finer than 1 ms
  private static final int AT_ONCE =
      32; // runs that cost each other nothing: a force of the disk takes them all
  private static final double CROWD =
      32; // for each of those, that the loop can have in hand without any harm

  private DnsDecisions() {}

  static Settings settings(long seed) {
    return new Settings(
        seed,
        ROUND,
        List.of(
            new RequestClass(QUERY, 400 * MILLI, 2 * SECOND, 1, 0, Idempotency.ALWAYS, 0, false, 0),
            new RequestClass(UPDATE, SECOND, 5 * SECOND, 10, 0, Idempotency.NEVER, 0, false, 0)),
        List.of(),
        1,
        1,
        false,
        1,
        0,
        new ObjectiveWeights(1, 0, 0, 0),
        new ServerLimits(100 * MILLI, 2 * SECOND, CROWD, 2 * SECOND, 1, 0),
        new Dependency(0, 5 * SECOND, 0),
        new Machine(
            AT_ONCE, Runtime.getRuntime().maxMemory() >> 10, 2, 0, false, GAUGES, StopMode.NONE),
        new Signals(FreeValue.NONE, 0, false, 0, false, 0));
  }
}
