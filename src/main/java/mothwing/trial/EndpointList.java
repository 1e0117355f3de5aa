package mothwing.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.broker.Scheduler;

/** The announce service: who reported in the last 3 s, told to gateways a while late. Pure. */
final class EndpointList {
  private static final long MILLI = 1000;
  private static final long LAPSE = 3000 * MILLI;
  private static final long LAG = 1000 * MILLI;
  private static final long EVERY = 250 * MILLI;

  private final Scheduler timers;
  private final Links links;
  private final Map<String, SimulatedGateway> gateways;
  private final Map<String, Long> heard = new LinkedHashMap<>();
  private boolean over;

  EndpointList(Scheduler timers, Links links, Map<String, SimulatedGateway> gateways) {
    this.timers = timers;
    this.links = links;
    this.gateways = gateways;
  }

  /** Begins to publish: what servers have reported until then is the first list. */
  void start() {
    publish();
  }

  /** A server has reported, or its pool has come up. */
  void heard(String server) {
    heard.put(server, timers.now());
  }

  private void publish() {
    List<String> now = new ArrayList<>();
    heard.forEach(
        (server, at) -> {
          if (timers.now() - at <= LAPSE) {
            now.add(server);
          }
        });
    now.sort(null);
    gateways.forEach(
        (name, one) -> {
          Links.Way way = links.way(Trial.ANNOUNCE, name);
          if (!way.cut() && !way.swallow()) {
            timers.schedule(timers.now() + LAG, () -> one.list(now));
          }
        });
    if (!over) {
      timers.schedule(timers.now() + EVERY, this::publish);
    }
  }

  void end() {
    over = true;
  }
}
