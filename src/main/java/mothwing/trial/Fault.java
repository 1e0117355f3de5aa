package mothwing.trial;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * One fault of a schedule.
 *
 * @param at seconds from the trial's start
 * @param kind what happens
 * @param from the machines that send, or that it happens to
 * @param to the machines that receive; empty for what happens to machines
 * @param oneWay whether only what goes from the first to the second is touched
 * @param value the share, the milliseconds, the bytes a second or the number that the kind asks for
 * @param more a second one: the spread of a delay in milliseconds
 * @param seconds after which it is taken back, or 0 for never
 */
record Fault(
    double at,
    Kind kind,
    List<String> from,
    List<String> to,
    boolean oneWay,
    double value,
    double more,
    double seconds) {
  /** What can happen. */
  enum Kind {
    /** What is sent waits until the end of it, as it would be sent again. */
    CUT(true, false, true, "cut(%s, %s)"),
    /** What is sent is gone. */
    SWALLOW(true, false, true, "swallow(%s, %s)"),
    /** What is sent is late by so many milliseconds, and up to a spread more. */
    DELAY(true, true, true, "delay(%s, %s, ms = %s, spread_ms = %s)"),
    /** A share is lost: datagrams are gone, pieces of streams late by a resend. */
    LOSE(true, true, true, "lose(%s, %s, share = %s)"),
    /** A share of datagrams comes twice. */
    REPEAT(true, true, true, "repeat(%s, %s, share = %s)"),
    /** So many bytes a second. */
    SLOW(true, true, true, "slow(%s, %s, bytes = %s)"),
    /** A share of pieces has one bit turned. */
    FLIP(true, true, true, "flip(%s, %s, share = %s)"),
    /** Streams are reset, in the middle of what is on its way. */
    SEVER(true, false, false, "sever(%s, %s)"),
    /** All faults between the two are taken back. */
    HEAL(true, false, false, "heal(%s, %s)"),
    /**
     * A machine loses power: its processes and its pool are gone, its disk stays. Taken back by a
     * new start.
     */
    KILL(false, false, true, "kill(%s)"),
    /** The same, and its disk is gone. */
    WIPE(false, false, true, "wipe(%s)"),
    /** A machine stands still. */
    STOP(false, false, true, "stop(%s)"),
    /** A server gets the notice to leave; its machine starts it again when this is taken back. */
    LEAVE(false, false, true, "leave(%s)"),
    /** A second process of a server takes over. */
    UPGRADE(false, false, false, "upgrade(%s)"),
    /** The pool works at a share of its speed. */
    DIP(false, true, true, "dip(%s, share = %s)"),
    /** The pool's cores do no work, and a stop has no effect; the pool itself goes on talking. */
    HANG(false, false, true, "hang(%s)"),
    /** The pool leaves a share of the polls unanswered. */
    MUTE(false, true, true, "mute(%s, share = %s)"),
    /** So many busy processes share the server's core. */
    CROWD(false, true, true, "crowd(%s, busy = %s)");

    final boolean link;
    final boolean valued;
    final boolean lasting;
    private final String form;

    Kind(boolean link, boolean valued, boolean lasting, String form) {
      this.link = link;
      this.valued = valued;
      this.lasting = lasting;
      this.form = form;
    }

    /** Its name in scripts. */
    String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** What virtual time does not have. */
  static final Set<Kind> PROCESSES_ONLY =
      EnumSet.of(Kind.REPEAT, Kind.FLIP, Kind.UPGRADE, Kind.CROWD);

  /** What happens to machines and is taken back as a trial ends. */
  static final Set<Kind> LIFTED = EnumSet.of(Kind.STOP, Kind.CROWD, Kind.DIP, Kind.HANG, Kind.MUTE);

  Fault {
    from = List.copyOf(from);
    to = List.copyOf(to);
  }

  Fault at(double seconds) {
    return new Fault(seconds, kind, from, to, oneWay, value, more, this.seconds);
  }

  /** All machines it names. */
  List<String> machines() {
    List<String> all = new ArrayList<>(from);
    all.addAll(to);
    return all;
  }

  /** The line of a script that makes it. */
  String script() {
    List<Object> words = new ArrayList<>(List.of(list(from)));
    if (kind.link) {
      words.add(list(to));
    }
    if (kind.valued) {
      words.add(number(value));
    }
    if (kind == Kind.DELAY) {
      words.add(number(more));
    }
    String call = String.format(Locale.ROOT, kind.form, words.toArray());
    String last =
        (oneWay ? ", one_way = True" : "") + (seconds > 0 ? ", seconds = " + number(seconds) : "");
    return "at(" + number(at) + ", " + call.substring(0, call.length() - 1) + last + "))";
  }

  static String number(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e9
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.6f", value).replaceAll("0+$", "");
  }

  private static String list(List<String> names) {
    return names.isEmpty() ? "[]" : "[\"" + String.join("\", \"", names) + "\"]";
  }
}
