package mothwing.trial;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The streams between machines on virtual time: each direction of a pair keeps its order, and does
 * to a message what the faults in force say, as the relay does to bytes.
 */
final class VirtualNet {
  private static final long LATENCY = 200; // microseconds, a way on one machine or in one room
  private static final long RESEND = 200_000;
  private static final int BYTES = 300; // of a message, where a direction is slow
  private static final double MILLI = 1000;
  private static final double SECOND = 1e6;

  private record Pair(String from, String to) {}

  private static final class Way {
    final ArrayDeque<Runnable> parked = new ArrayDeque<>();
    long lastDue;
  }

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final Map<Pair, Way> ways = new LinkedHashMap<>();

  VirtualNet(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Sends a message on the stream between two machines. */
  void send(String from, String to, Runnable deliver) {
    Links.Way faults = links.way(from, to);
    if (faults.swallow()) {
      return;
    }
    Way way = ways.computeIfAbsent(new Pair(from, to), none -> new Way());
    long due =
        time.now()
            + LATENCY
            + (long) ((faults.delayMs() + faults.spreadMs() * random.nextDouble()) * MILLI)
            + (faults.lose() > 0 && random.nextDouble() < faults.lose() ? RESEND : 0);
    if (faults.slow() > 0) {
      due = Math.max(due, way.lastDue) + (long) (BYTES / faults.slow() * SECOND);
    }
    way.lastDue = Math.max(way.lastDue, due);
    time.schedule(way.lastDue, () -> arrive(from, to, way, deliver));
  }

  private void arrive(String from, String to, Way way, Runnable deliver) {
    if (links.way(from, to).cut() || !way.parked.isEmpty()) {
      way.parked.add(deliver);
    } else {
      deliver.run();
    }
  }

  /**
   * The faults in force have changed: what waited behind a cut that is over arrives, in its order.
   */
  void changed() {
    for (Map.Entry<Pair, Way> one :
        List.copyOf(ways.entrySet())) { // what arrives may be answered on a new way
      Pair pair = one.getKey();
      while (!one.getValue().parked.isEmpty() && !links.way(pair.from(), pair.to()).cut()) {
        one.getValue().parked.remove().run();
      }
    }
  }
}
