package mothwing.lab;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.override.Message;
import mothwing.override.Stamp;
import mothwing.override.Standing;
import mothwing.override.Told;

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
  static OverrideNet play(long record, Writ how) {
    OverrideNet net = new OverrideNet(4, SEED, OverrideNet.Planted.NONE);
    net.tamper((number, from, to, message, way) -> way.arrives(from, message, 0));
    net.write(
        (number, told, before) ->
            number != record
                ? told
                : switch (how) {
                  case LOST -> null;
                  case PREVIOUS -> before;
                  case AGE_NOTHING ->
                      new Told(told.id(), told.stamp(), told.standing(), 0, told.value());
                  case AGE_MUCH ->
                      new Told(told.id(), told.stamp(), told.standing(), MUCH, told.value());
                  case ENDED -> new Told(told.id(), told.stamp(), Standing.ENDED, 0, null);
                  case REVOKED -> new Told(told.id(), told.stamp(), Standing.REVOKED, 0, null);
                  case IN_FORCE ->
                      new Told(
                          told.id(), told.stamp(), Standing.IN_FORCE, told.age(), told.value());
                  default ->
                      told.stamp() == null
                          ? told
                          : new Told(
                              told.id(),
                              new Stamp(0, "", 0),
                              told.standing(),
                              told.age(),
                              told.value());
                });
    scenario(net);
    return net;
  }

  private static void scenario(OverrideNet net) {
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
  static OverrideNet play(At at) {
    OverrideNet net = new OverrideNet(4, SEED, OverrideNet.Planted.NONE);
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
  private static List<Message> variants(Message message) {
    List<Message> all = new ArrayList<>();
    if (message instanceof Message.Digest digest) {
      all.add(new Message.Digest(0));
      all.add(new Message.Digest(digest.hash() + 1));
    } else if (message instanceof Message.Known known) {
      all.add(new Message.Known(known.all(), !known.part()));
      all.add(new Message.Known(List.of(), known.part()));
      for (int i = 0; i < known.all().size(); i++) {
        Message.Has one = known.all().get(i);
        List<Message.Has> others = new ArrayList<>();
        for (Standing standing : Standing.values()) {
          others.add(new Message.Has(one.id(), one.stamp(), standing));
        }
        others.add(new Message.Has("o9", one.stamp(), one.standing()));
        others.add(new Message.Has(one.id(), new Stamp(0, "", 0), one.standing()));
        others.add(new Message.Has(one.id(), new Stamp(MUCH, "n9", MUCH), one.standing()));
        for (Message.Has other : others) {
          List<Message.Has> copy = new ArrayList<>(known.all());
          copy.set(i, other);
          all.add(new Message.Known(copy, known.part()));
        }
      }
    } else if (message instanceof Message.Ask ask) {
      all.add(new Message.Ask(0, ask.ids()));
      all.add(new Message.Ask(ask.number(), List.of()));
      all.add(new Message.Ask(ask.number(), List.of("o9", "o1")));
    } else if (message instanceof Message.Answer answer) {
      all.add(new Message.Answer(0, answer.all()));
      all.add(new Message.Answer(answer.number(), List.of()));
      for (int i = 0; i < answer.all().size(); i++) {
        Told one = answer.all().get(i);
        List<Told> others =
            new ArrayList<>(
                List.of(
                    new Told(one.id(), one.stamp(), one.standing(), MUCH, one.value()),
                    new Told(one.id(), one.stamp(), Standing.ENDED, one.age(), null)));
        if (one.value() != null) {
          others.add(new Told(one.id(), one.stamp(), Standing.UNSURE, one.age(), one.value()));
          others.add(new Told(one.id(), one.stamp(), one.standing(), 0, one.value()));
          others.add(new Told(one.id(), one.stamp(), Standing.IN_FORCE, one.age(), one.value()));
        }
        for (Told other : others) {
          List<Told> copy = new ArrayList<>(answer.all());
          copy.set(i, other);
          all.add(new Message.Answer(answer.number(), copy));
        }
      }
    } else if (message instanceof Message.Stored stored) {
      for (Standing standing : Standing.values()) {
        all.add(new Message.Stored(stored.id(), stored.stamp(), standing));
      }
      all.add(new Message.Stored("o9", stored.stamp(), stored.standing()));
    }
    return all;
  }

  /** All there are: each message of the scenario, with each thing that may befall it. */
  static List<At> all() {
    List<At> all = new ArrayList<>();
    OverrideNet net = new OverrideNet(4, SEED, OverrideNet.Planted.NONE);
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
      OverrideNet net = play(at);
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
