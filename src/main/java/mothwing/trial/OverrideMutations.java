package mothwing.trial;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.override.OverrideMessage;
import mothwing.override.OverrideStatus;
import mothwing.override.ReplicaState;
import mothwing.override.Version;

/**
 * One message at a time: a short scenario of four servers (overrides made, ended, taken back, a
 * split, all power lost, the return) is played once for each of its messages and each thing that
 * may befall it.
 */
final class OverrideMutations {
  private static final long SECOND = 1_000_000;
  private static final long SEED = 4;
  private static final long MUCH = Long.MAX_VALUE / 1024;

  /** What befalls a message. */
  enum How {
    /** It is lost. */
    DROPPED,
    /** It comes twice. */
    DOUBLED,
    /** It comes after the next ones. */
    HELD_PAST_NEXT,
    /** It comes after the overrides have ended. */
    HELD_PAST_END,
    /** It comes once more in a later start of whom it goes to. */
    FROM_A_FORMER_START,
    /** It comes after the next one of its sender. */
    SWAPPED,
    /** It comes as from another server. */
    OTHER_SENDER,
    /** One of its fields is another one, its checksum good. */
    FIELD
  }

  /** What befalls a record on a disk, though it was said to be forced. */
  enum Writ {
    /** Nothing stands there. */
    LOST,
    /** What stood there before still does. */
    PREVIOUS,
    /** Its age is 0. */
    AGE_NOTHING,
    /** Its age is past all lifetimes. */
    AGE_MUCH,
    /** It says that it has ended. */
    ENDED,
    /** It says that it was taken back. */
    REVOKED,
    /** It says that it is in force. */
    IN_FORCE,
    /** It has the stamp of nobody. */
    LOW_STAMP
  }

  /** Which message, what befalls it, and for a field which variant. */
  record At(long number, How how, int variant) {}

  /** What came of it. */
  record Result(At at, boolean changed, List<String> broken) {}

  private OverrideMutations() {}

  /** Plays it with one record, by its number over all disks, that is not what was written. */
  static SimulatedOverrideNetwork play(long record, Writ how) {
    SimulatedOverrideNetwork net =
        new SimulatedOverrideNetwork(4, SEED, SimulatedOverrideNetwork.Planted.NONE);
    net.tamper((number, from, to, message, way) -> way.arrives(from, message, 0));
    net.write(
        (number, told, before) ->
            number != record
                ? told
                : switch (how) {
                  case LOST -> null;
                  case PREVIOUS -> before;
                  case AGE_NOTHING ->
                      new ReplicaState(told.id(), told.version(), told.status(), 0, told.value());
                  case AGE_MUCH ->
                      new ReplicaState(
                          told.id(), told.version(), told.status(), MUCH, told.value());
                  case ENDED ->
                      new ReplicaState(told.id(), told.version(), OverrideStatus.EXPIRED, 0, null);
                  case REVOKED ->
                      new ReplicaState(told.id(), told.version(), OverrideStatus.REVOKED, 0, null);
                  case IN_FORCE ->
                      new ReplicaState(
                          told.id(),
                          told.version(),
                          OverrideStatus.ACTIVE,
                          told.age(),
                          told.value());
                  default ->
                      told.version() == null
                          ? told
                          : new ReplicaState(
                              told.id(),
                              new Version(0, "", 0),
                              told.status(),
                              told.age(),
                              told.value());
                });
    scenario(net);
    return net;
  }

  private static void scenario(SimulatedOverrideNetwork net) {
    net.pass(9 * SECOND);
    net.make("n0", "o1", 12, true);
    net.pass(SECOND);
    net.make("n1", "o2", 40, false);
    net.pass(SECOND);
    net.cut(List.of("n0", "n1"));
    net.make("n0", "o3", 30, true);
    net.make("n2", "o3", 35, true);
    net.revoke("n2", "o2");
    net.pass(2 * SECOND);
    net.cut(List.of());
    net.pass(3 * SECOND);
    List.of("n0", "n1", "n2", "n3").forEach(one -> net.power(one, false));
    net.pass(4 * SECOND);
    List.of("n2", "n0", "n1")
        .forEach(
            one -> {
              net.power(one, true);
              net.pass(SECOND);
            });
    net.pass(2 * SECOND);
    net.power("n3", true);
    net.pass(12 * SECOND);
    net.agree();
    net.pass(20 * SECOND);
    net.agree();
  }

  /** Plays it with one mutation, or with none for null. */
  static SimulatedOverrideNetwork play(At at) {
    SimulatedOverrideNetwork net =
        new SimulatedOverrideNetwork(4, SEED, SimulatedOverrideNetwork.Planted.NONE);
    Map<String, Runnable> held = new LinkedHashMap<>();
    net.tamper(
        (number, from, to, message, way) -> {
          if (at == null || number != at.number()) {
            way.arrives(from, message, 0);
            Runnable swapped = held.remove(from);
            if (swapped != null) {
              swapped.run();
            }
            return;
          }
          switch (at.how()) {
            case DROPPED -> {}
            case DOUBLED -> {
              way.arrives(from, message, 0);
              way.arrives(from, message, 3_000);
            }
            case HELD_PAST_NEXT -> way.arrives(from, message, 40_000);
            case HELD_PAST_END -> way.arrives(from, message, 45 * SECOND);
            case FROM_A_FORMER_START -> {
              way.arrives(from, message, 0);
              way.arrives(from, message, 13 * SECOND);
            }
            case SWAPPED -> held.put(from, () -> way.arrives(from, message, 2_000));
            case OTHER_SENDER -> way.arrives(from.equals("n3") ? "n0" : "n3", message, 0);
            default -> way.arrives(from, variants(message).get(at.variant()), 0);
          }
        });
    scenario(net);
    return net;
  }

  /** The same message with one field that is another one. */
  private static List<OverrideMessage> variants(OverrideMessage message) {
    List<OverrideMessage> all = new ArrayList<>();
    if (message instanceof OverrideMessage.Digest digest) {
      all.add(new OverrideMessage.Digest(0));
      all.add(new OverrideMessage.Digest(digest.hash() + 1));
    } else if (message instanceof OverrideMessage.Inventory known) {
      all.add(new OverrideMessage.Inventory(known.entries(), !known.partial()));
      all.add(new OverrideMessage.Inventory(List.of(), known.partial()));
      for (int i = 0; i < known.entries().size(); i++) {
        OverrideMessage.InventoryEntry one = known.entries().get(i);
        List<OverrideMessage.InventoryEntry> others = new ArrayList<>();
        for (OverrideStatus standing : OverrideStatus.values()) {
          others.add(new OverrideMessage.InventoryEntry(one.id(), one.version(), standing));
        }
        others.add(new OverrideMessage.InventoryEntry("o9", one.version(), one.status()));
        others.add(
            new OverrideMessage.InventoryEntry(one.id(), new Version(0, "", 0), one.status()));
        others.add(
            new OverrideMessage.InventoryEntry(
                one.id(), new Version(MUCH, "n9", MUCH), one.status()));
        for (OverrideMessage.InventoryEntry other : others) {
          List<OverrideMessage.InventoryEntry> copy = new ArrayList<>(known.entries());
          copy.set(i, other);
          all.add(new OverrideMessage.Inventory(copy, known.partial()));
        }
      }
    } else if (message instanceof OverrideMessage.Request ask) {
      all.add(new OverrideMessage.Request(0, ask.ids()));
      all.add(new OverrideMessage.Request(ask.number(), List.of()));
      all.add(new OverrideMessage.Request(ask.number(), List.of("o9", "o1")));
    } else if (message instanceof OverrideMessage.Response answer) {
      all.add(new OverrideMessage.Response(0, answer.states()));
      all.add(new OverrideMessage.Response(answer.number(), List.of()));
      for (int i = 0; i < answer.states().size(); i++) {
        ReplicaState one = answer.states().get(i);
        List<ReplicaState> others =
            new ArrayList<>(
                List.of(
                    new ReplicaState(one.id(), one.version(), one.status(), MUCH, one.value()),
                    new ReplicaState(
                        one.id(), one.version(), OverrideStatus.EXPIRED, one.age(), null)));
        if (one.value() != null) {
          others.add(
              new ReplicaState(
                  one.id(), one.version(), OverrideStatus.UNCONFIRMED, one.age(), one.value()));
          others.add(new ReplicaState(one.id(), one.version(), one.status(), 0, one.value()));
          others.add(
              new ReplicaState(
                  one.id(), one.version(), OverrideStatus.ACTIVE, one.age(), one.value()));
        }
        for (ReplicaState other : others) {
          List<ReplicaState> copy = new ArrayList<>(answer.states());
          copy.set(i, other);
          all.add(new OverrideMessage.Response(answer.number(), copy));
        }
      }
    } else if (message instanceof OverrideMessage.Stored stored) {
      for (OverrideStatus standing : OverrideStatus.values()) {
        all.add(new OverrideMessage.Stored(stored.id(), stored.version(), standing));
      }
      all.add(new OverrideMessage.Stored("o9", stored.version(), stored.status()));
    }
    return all;
  }

  /** All there are: each message of the scenario, with each thing that may befall it. */
  static List<At> all() {
    List<At> all = new ArrayList<>();
    SimulatedOverrideNetwork net =
        new SimulatedOverrideNetwork(4, SEED, SimulatedOverrideNetwork.Planted.NONE);
    net.tamper(
        (number, from, to, message, way) -> {
          way.arrives(from, message, 0);
          for (How how : How.values()) {
            for (int variant = how == How.FIELD ? variants(message).size() : 1;
                variant > 0;
                variant--) {
              all.add(new At(number, how, variant - 1));
            }
          }
        });
    scenario(net);
    return all;
  }

  /** Plays some of them and says of each what came of it. */
  static List<Result> played(List<At> some) {
    String usual = play(null).outcome.toString();
    List<Result> results = new ArrayList<>();
    for (At at : some) {
      SimulatedOverrideNetwork net = play(at);
      results.add(new Result(at, !net.outcome.toString().equals(usual), List.copyOf(net.broken)));
    }
    return results;
  }

  /** How many of each kind there were, changed the outcome, broke something. */
  static Map<How, int[]> counted(List<Result> results) {
    Map<How, int[]> counts = new EnumMap<>(How.class);
    for (Result one : results) {
      int[] count = counts.computeIfAbsent(one.at().how(), none -> new int[3]);
      count[0]++;
      count[1] += one.changed() ? 1 : 0;
      count[2] += one.broken().isEmpty() ? 0 : 1;
    }
    return counts;
  }
}
