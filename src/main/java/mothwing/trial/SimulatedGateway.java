package mothwing.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import mothwing.broker.Scheduler;
import mothwing.trial.History.End;
import mothwing.trial.Trial.Habit;

/**
 * A gateway: it has a list of servers, chooses one by its habit, stops waiting after its patience,
 * and may heed advice to stay away. Pure: it acts through the wire and the timers of its stage.
 */
final class SimulatedGateway {
  private static final long MILLI = 1000;
  private static final long CHECK_EVERY = 500 * MILLI;
  private static final long AVOID = 1000 * MILLI; // after a connection that did not come about
  private static final int MOST_UNREACHED = 3; // servers tried in turn where nothing was sent
  private static final int HEX = 16;

  /** What is known of one server. */
  private static final class Known {
    long awayUntil = Long.MIN_VALUE;
    boolean good = true;
  }

  /** One try on its way. */
  private final class Under {
    final String order;
    final int attempt;
    final Wire.Ask ask;
    final String server;
    final long sentAt = timers.now();
    final Consumer<Wire.Reply> then;
    Wire.Reply first;
    int place = -1;

    Under(String order, int attempt, Wire.Ask ask, String server, Consumer<Wire.Reply> then) {
      this.order = order;
      this.attempt = attempt;
      this.ask = ask;
      this.server = server;
      this.then = then;
    }

    /** Every answer comes here: the first counts, further ones are written down. */
    void came(Wire.Reply reply) {
      boolean again = first != null;
      if (again && (reply.end() == End.LOST || reply.end() == End.UNREACHED)) {
        return;
      }
      History.Call call = again ? history.calls.get(place) : null;
      if (again) {
        if (call.end() != End.GAVE_UP) { // an answer that crossed the leave does no harm
          history.calls.set(
              place,
              new History.Call(
                  call.order(),
                  call.attempt(),
                  call.trace(),
                  call.kind(),
                  call.gateway(),
                  call.server(),
                  call.sentAt(),
                  call.endedAt(),
                  call.end(),
                  call.holdOffMs(),
                  call.extra() + 1,
                  call.proper()));
        }
        return;
      }
      first = reply;
      place = history.calls.size();
      boolean proper =
          reply.end() != End.SERVED
              || java.util.Arrays.equals(reply.result(), StandInPool.made(ask.body()));
      history.calls.add(
          new History.Call(
              order,
              attempt,
              ask.trace(),
              ask.kind(),
              name,
              server,
              sentAt,
              timers.now(),
              reply.end(),
              reply.holdOffMs(),
              0,
              proper));
      history.onEnd.accept(history.calls.get(place));
      open.remove(ask.trace());
      Known known = known(server);
      if (reply.end() == End.UNREACHED) {
        known.awayUntil = timers.now() + AVOID;
      } else if (reply.end() == End.REFUSED && heeds && reply.holdOffMs() > 0) {
        known.awayUntil = timers.now() + reply.holdOffMs() * MILLI;
      }
      if (reply.end() != End.SERVED && server.equals(stuck)) {
        stuck = null;
      }
      then.accept(reply);
    }
  }

  private final String name;
  private final Habit habit;
  private final boolean heeds;
  private final long patience;
  private final Scheduler timers;
  private final Random random;
  private final Wire wire;
  private final History history;
  private final Map<String, Known> known = new LinkedHashMap<>();
  private final Map<String, Under> open = new LinkedHashMap<>();
  private List<String> list = List.of();
  private String stuck;
  private int turn;
  private boolean over;

  private SimulatedGateway(
      String name,
      Habit habit,
      boolean heeds,
      long patienceMs,
      Scheduler timers,
      Random random,
      Wire wire,
      History history) {
    this.name = name;
    this.habit = habit;
    this.heeds = heeds;
    this.patience = patienceMs * MILLI;
    this.timers = timers;
    this.random = random;
    this.wire = wire;
    this.history = history;
    if (habit == Habit.CHECKED) {
      timers.schedule(timers.now() + CHECK_EVERY, this::checkAll);
    }
  }

  /** All gateways of a trial, by name; each has random numbers of its own. */
  static Map<String, SimulatedGateway> all(
      Trial trial, Scheduler timers, Random random, Wire wire, History history) {
    Trial.Load load = trial.load();
    Map<String, SimulatedGateway> all = new LinkedHashMap<>();
    for (String name : trial.gateways()) {
      int i = all.size();
      all.put(
          name,
          new SimulatedGateway(
              name,
              load.habits().get(i % load.habits().size()),
              i < Math.round(load.heed() * load.gateways()),
              load.patienceMs(),
              timers,
              new Random(random.nextLong()),
              wire,
              history));
    }
    return all;
  }

  /** A new list of servers. */
  void list(List<String> servers) {
    if (!servers.equals(list)) {
      list = List.copyOf(servers);
      history.listed.add(new History.Listed(timers.now(), name, list));
    }
  }

  private Known known(String server) {
    return known.computeIfAbsent(server, none -> new Known());
  }

  private void checkAll() {
    if (over) {
      return;
    }
    for (String server : list) {
      wire.check(name, server, good -> known(server).good = good);
    }
    timers.schedule(timers.now() + CHECK_EVERY, this::checkAll);
  }

  private String choose(List<String> but) {
    List<String> able = new ArrayList<>();
    for (String one : list) {
      Known now = known(one);
      if (!but.contains(one)
          && now.awayUntil <= timers.now()
          && (habit != Habit.CHECKED || now.good)) {
        able.add(one);
      }
    }
    if (able.isEmpty()) {
      list.stream().filter(one -> !but.contains(one)).forEach(able::add);
    }
    if (able.isEmpty()) {
      return null;
    }
    if (habit == Habit.STICK) {
      stuck = stuck != null && able.contains(stuck) ? stuck : able.get(random.nextInt(able.size()));
      return stuck;
    }
    return able.get(turn++ % able.size());
  }

  /** Takes a request of a caller; the answer is told once. */
  void take(
      String order, int attempt, String kind, byte[] body, double rank, Consumer<Wire.Reply> then) {
    send(order, attempt, kind, body, rank, new ArrayList<>(), then);
  }

  private void send(
      String order,
      int attempt,
      String kind,
      byte[] body,
      double rank,
      List<String> tried,
      Consumer<Wire.Reply> then) {
    String server = choose(tried);
    if (server == null) {
      then.accept(Wire.Reply.bare(End.UNREACHED));
      return;
    }
    String trace = trace();
    Wire.Ask ask = new Wire.Ask(trace, kind, body, timers.wallClockMillis(), attempt > 0, rank);
    Under under =
        new Under(
            order,
            attempt,
            ask,
            server,
            reply -> {
              tried.add(server);
              if (reply.end() == End.UNREACHED && tried.size() < MOST_UNREACHED && !over) {
                send(order, attempt, kind, body, rank, tried, then);
              } else {
                then.accept(reply);
              }
            });
    open.put(trace, under);
    timers.schedule(timers.now() + patience, () -> giveUp(under));
    wire.ask(name, server, ask, under::came);
  }

  private String trace() {
    String digits = Long.toHexString(random.nextLong());
    return "0".repeat(HEX - digits.length()) + digits;
  }

  private void giveUp(Under under) {
    if (under.first == null) {
      wire.leave(name, under.server, under.ask.trace());
      under.came(Wire.Reply.bare(End.GAVE_UP));
    }
  }

  int waiting() {
    return open.size();
  }

  /** The trial is over: what is open is written down as such. */
  void end() {
    over = true;
    new ArrayList<>(open.values()).forEach(one -> one.came(Wire.Reply.bare(End.OPEN)));
  }
}
