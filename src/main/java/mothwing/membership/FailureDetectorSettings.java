package mothwing.membership;

/**
 * How fast and how sure a member is. Times are microseconds.
 *
 * @param beat between probes of those that a member watches
 * @param watched how many it watches
 * @param period between probes of somebody at random
 * @param ackWait for an answer, before others are asked
 * @param askWait for an answer by way of others, before the member is suspected
 * @param helpers how many others are asked
 * @param least from an accusation to the death, where enough others accuse too
 * @param most the same, where nobody else does
 * @param enough accusers beside oneself after which nothing is waited for but {@code least}
 * @param hearsay the wait of those that accuse nobody themselves, as a ratio of {@code most}
 * @param resend how often a claim is sent on, as a ratio of the logarithm of the members' number
 * @param packet most bytes of a datagram
 * @param tombstone for which a removed member is remembered
 * @param sync between full exchanges, for each hundred members
 * @param aloneAfter without enough others heard, after which a member calls itself alone
 * @param panic share of the members; where more would die within {@code panicHold}, nobody does
 *     until it holds for longer
 * @param panicHold how much longer
 * @param doubt most steps by which a slow member trusts itself less: each makes its waits longer by
 *     one
 */
public record FailureDetectorSettings(
    long beat,
    int watched,
    long period,
    long ackWait,
    long askWait,
    int helpers,
    long least,
    long most,
    int enough,
    double hearsay,
    double resend,
    int packet,
    long tombstone,
    long sync,
    long aloneAfter,
    double panic,
    long panicHold,
    int doubt) {
  private static final long MILLI = 1000;
  private static final long SECOND = 1000 * MILLI;

  /** The usual one, for a room of machines that answer in milliseconds. */
  public static final FailureDetectorSettings USUAL =
      new FailureDetectorSettings(
          400 * MILLI,
          3,
          SECOND,
          300 * MILLI,
          400 * MILLI,
          3,
          1500 * MILLI,
          6 * SECOND,
          2,
          5,
          3,
          1400,
          600 * SECOND,
          10 * SECOND,
          3 * SECOND,
          0.3,
          10 * SECOND,
          8);

  /** The same without the doubt of oneself, to see what it is worth. */
  public FailureDetectorSettings withoutDoubt() {
    return new FailureDetectorSettings(
        beat,
        watched,
        period,
        ackWait,
        askWait,
        helpers,
        least,
        most,
        enough,
        hearsay,
        resend,
        packet,
        tombstone,
        sync,
        aloneAfter,
        panic,
        panicHold,
        0);
  }
}
