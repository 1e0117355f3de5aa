package mothwing.trial;

import java.util.function.Consumer;

/** How one stage carries what gateways send. All of it on the stage's one thread. */
interface Wire {
  /**
   * One try.
   *
   * @param trace its 16 hex digits
   * @param kind the class
   * @param body the bytes of the request
   * @param acceptedAtMs when it came to the gateway's machine, Unix milliseconds
   * @param again whether it is a further try
   * @param rank from 0 to under 1
   */
  record Ask(
      String trace, String kind, byte[] body, long acceptedAtMs, boolean again, double rank) {}

  /**
   * What became of it.
   *
   * @param end how it ended
   * @param holdOffMs advice to stay away, or 0
   * @param elsewhere whether another server may be tried
   * @param result what was served, or empty
   */
  record Reply(History.End end, long holdOffMs, boolean elsewhere, byte[] result) {
    static Reply bare(History.End end) {
      return new Reply(end, 0, true, new byte[0]);
    }
  }

  /** Sends a try; each answer is told, and that none can come any longer where none came. */
  void ask(String gateway, String server, Ask ask, Consumer<Reply> then);

  /** The gateway does not wait for it any longer. */
  void leave(String gateway, String server, String trace);

  /** A health check. */
  void check(String gateway, String server, Consumer<Boolean> then);
}
