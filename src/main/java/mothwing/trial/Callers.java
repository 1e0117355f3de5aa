package mothwing.trial;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import mothwing.broker.Scheduler;
import mothwing.trial.History.End;

/**
 * Callers come at random times, whatever becomes of those before them, and try again where they
 * were not served.
 */
final class Callers {
  private static final long MILLI = 1000;
  private static final double SECOND = 1e6;

  private final Trial trial;
  private final Scheduler timers;
  private final Random random; // of arrivals alone: a seed's callers come alike in every play
  private final Random pauses;
  private final List<SimulatedGateway> gateways;
  private long until;
  private long nextAt;
  private int orders;
  private int waiting;

  Callers(Trial trial, Scheduler timers, Random random, List<SimulatedGateway> gateways) {
    this.trial = trial;
    this.timers = timers;
    this.random = random;
    pauses = new Random(random.nextLong());
    this.gateways = gateways;
  }

  void start() {
    nextAt = timers.now();
    until = nextAt + (long) (trial.seconds() * SECOND);
    next();
  }

  private void next() {
    nextAt +=
        (long)
            (-Math.log(1 - random.nextDouble())
                * SECOND
                / trial.load().rate()); // a late one delays none
    if (nextAt < until) {
      timers.schedule(
          nextAt,
          () -> {
            ask();
            next();
          });
    }
  }

  private void ask() {
    boolean write = random.nextDouble() < trial.load().orders();
    String order = (write ? "o" : "r") + ++orders;
    waiting++;
    once(
        order,
        0,
        write ? BrokerFixture.ORDER : BrokerFixture.LOOK,
        random.nextDouble(),
        random.nextInt(gateways.size()));
  }

  private void once(String order, int attempt, String kind, double rank, int gateway) {
    gateways
        .get(gateway)
        .take(
            order,
            attempt,
            kind,
            order.getBytes(StandardCharsets.UTF_8),
            rank,
            reply -> {
              if (reply.end() == End.SERVED
                  || reply.end() == End.OPEN
                  || attempt >= trial.load().retries()) {
                waiting--;
                return;
              }
              long wait = (long) (trial.load().backoffMs() * MILLI * (0.5 + pauses.nextDouble()));
              timers.schedule(
                  timers.now() + wait, () -> once(order, attempt + 1, kind, rank, gateway));
            });
  }

  /** Callers that have no answer yet. */
  int waiting() {
    return waiting;
  }
}
