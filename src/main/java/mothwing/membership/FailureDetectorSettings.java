package mothwing.membership;

/**
 * Intervals and limits of the membership protocol. Times are microseconds.
 *
 * @param probeIntervalMicros interval between probes of the successors on the ring
 * @param ringSuccessors the number of successors on the ring that a member probes
 * @param randomProbeIntervalMicros interval between probes of a random member
 * @param ackTimeoutMicros time from a direct ping to the indirect ones
 * @param indirectAckTimeoutMicros time from the indirect pings to the suspicion
 * @param indirectProbeMembers the number of members that are asked for an indirect ping
 * @param minSuspicionMicros time from suspicion to death with enough independent accusers
 * @param maxSuspicionMicros time from suspicion to death with a single accuser
 * @param suspicionConfirmations the number of further accusers from which the minimum applies
 * @param gossipedSuspicionMultiplier factor of {@code maxSuspicionMicros} that applies while this
 *     member is not itself an accuser
 * @param retransmitMultiplier transmissions of a record per binary digit of the member count plus
 *     one
 * @param maxDatagramBytes the maximum size of a datagram
 * @param tombstoneMicros time for which a removed member is remembered
 * @param antiEntropyIntervalMicros interval between full exchanges; it grows by this for each
 *     hundred members
 * @param isolationTimeoutMicros time without messages of enough members after which this one is
 *     isolated
 * @param massFailureRatio fraction of the members; if more than this, and more than two, are
 *     suspected or died within {@code massFailureHoldMicros}, declarations of death are held back
 * @param massFailureHoldMicros the maximum time by which a declaration of death is then delayed;
 *     also the time for which a death counts as recent
 * @param maxLocalHealthScore the maximum local health score; each step adds one to the factor of
 *     the timeouts
 */
public record FailureDetectorSettings(
    long probeIntervalMicros,
    int ringSuccessors,
    long randomProbeIntervalMicros,
    long ackTimeoutMicros,
    long indirectAckTimeoutMicros,
    int indirectProbeMembers,
    long minSuspicionMicros,
    long maxSuspicionMicros,
    int suspicionConfirmations,
    double gossipedSuspicionMultiplier,
    double retransmitMultiplier,
    int maxDatagramBytes,
    long tombstoneMicros,
    long antiEntropyIntervalMicros,
    long isolationTimeoutMicros,
    double massFailureRatio,
    long massFailureHoldMicros,
    int maxLocalHealthScore) {

  /** Defaults for machines at one site, which respond within milliseconds. */
  public static final FailureDetectorSettings DEFAULTS = new Builder().build();

  /** Returns a copy that disables local health, to measure its effect. */
  public FailureDetectorSettings withoutLocalHealth() {
    return new Builder(this).maxLocalHealthScore(0).build();
  }

  /** Creates a builder that starts with the defaults. */
  public static Builder builder() {
    return new Builder(DEFAULTS);
  }

  /** Builds settings, with components set by name. */
  public static final class Builder {
    private static final long MILLI_MICROS = 1000;
    private static final long SECOND_MICROS = 1000 * MILLI_MICROS;

    private long probeIntervalMicros = 400 * MILLI_MICROS;
    private int ringSuccessors = 3;
    private long randomProbeIntervalMicros = SECOND_MICROS;
    private long ackTimeoutMicros = 300 * MILLI_MICROS;
    private long indirectAckTimeoutMicros = 400 * MILLI_MICROS;
    private int indirectProbeMembers = 3;
    private long minSuspicionMicros = 1500 * MILLI_MICROS;
    private long maxSuspicionMicros = 6 * SECOND_MICROS;
    private int suspicionConfirmations = 2;
    private double gossipedSuspicionMultiplier = 5;
    private double retransmitMultiplier = 3;
    private int maxDatagramBytes = 1400;
    private long tombstoneMicros = 600 * SECOND_MICROS;
    private long antiEntropyIntervalMicros = 10 * SECOND_MICROS;
    private long isolationTimeoutMicros = 3 * SECOND_MICROS;
    private double massFailureRatio = 0.3;
    private long massFailureHoldMicros = 10 * SECOND_MICROS;
    private int maxLocalHealthScore = 8;

    private Builder() {}

    private Builder(FailureDetectorSettings from) {
      probeIntervalMicros = from.probeIntervalMicros;
      ringSuccessors = from.ringSuccessors;
      randomProbeIntervalMicros = from.randomProbeIntervalMicros;
      ackTimeoutMicros = from.ackTimeoutMicros;
      indirectAckTimeoutMicros = from.indirectAckTimeoutMicros;
      indirectProbeMembers = from.indirectProbeMembers;
      minSuspicionMicros = from.minSuspicionMicros;
      maxSuspicionMicros = from.maxSuspicionMicros;
      suspicionConfirmations = from.suspicionConfirmations;
      gossipedSuspicionMultiplier = from.gossipedSuspicionMultiplier;
      retransmitMultiplier = from.retransmitMultiplier;
      maxDatagramBytes = from.maxDatagramBytes;
      tombstoneMicros = from.tombstoneMicros;
      antiEntropyIntervalMicros = from.antiEntropyIntervalMicros;
      isolationTimeoutMicros = from.isolationTimeoutMicros;
      massFailureRatio = from.massFailureRatio;
      massFailureHoldMicros = from.massFailureHoldMicros;
      maxLocalHealthScore = from.maxLocalHealthScore;
    }

    /** Sets {@link FailureDetectorSettings#massFailureRatio}. */
    public Builder massFailureRatio(double value) {
      massFailureRatio = value;
      return this;
    }

    /** Sets {@link FailureDetectorSettings#maxLocalHealthScore}. */
    public Builder maxLocalHealthScore(int value) {
      maxLocalHealthScore = value;
      return this;
    }

    /** Creates the settings. */
    public FailureDetectorSettings build() {
      return new FailureDetectorSettings(
          probeIntervalMicros,
          ringSuccessors,
          randomProbeIntervalMicros,
          ackTimeoutMicros,
          indirectAckTimeoutMicros,
          indirectProbeMembers,
          minSuspicionMicros,
          maxSuspicionMicros,
          suspicionConfirmations,
          gossipedSuspicionMultiplier,
          retransmitMultiplier,
          maxDatagramBytes,
          tombstoneMicros,
          antiEntropyIntervalMicros,
          isolationTimeoutMicros,
          massFailureRatio,
          massFailureHoldMicros,
          maxLocalHealthScore);
    }
  }
}
