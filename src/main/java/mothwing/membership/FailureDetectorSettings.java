package mothwing.membership;

/**
 * Intervals and bounds of the membership protocol. Times are microseconds.
 *
 * @param probeIntervalMicros between probes of the successors on the ring
 * @param ringSuccessors how many successors on the ring a member probes
 * @param randomProbeIntervalMicros between probes of a random member
 * @param ackTimeoutMicros from a direct ping to the indirect ones
 * @param indirectAckTimeoutMicros from the indirect pings to the suspicion
 * @param indirectProbeMembers how many members are asked for an indirect ping
 * @param minSuspicionMicros from suspicion to death with enough independent accusers
 * @param maxSuspicionMicros the same with a single accuser
 * @param suspicionConfirmations further accusers after which the minimum applies
 * @param gossipedSuspicionMultiplier of the maximum, where this member is not an accuser
 * @param retransmitMultiplier transmissions of a record, by the logarithm of the member count
 * @param maxDatagramBytes the largest datagram
 * @param tombstoneMicros for which a removed member is remembered
 * @param antiEntropyIntervalMicros between full exchanges, for each hundred members
 * @param isolationTimeoutMicros without enough members heard, after which this one is isolated
 * @param massFailureRatio of the members; where more fail within {@code massFailureHoldMicros},
 *     deaths are held back
 * @param massFailureHoldMicros how much longer a suspicion has to last then
 * @param maxLocalHealthMultiplier the highest local health score: each step adds one to the factor
 *     of timeouts
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
    int maxLocalHealthMultiplier) {

  /** For machines of one site, which answer within milliseconds. */
  public static final FailureDetectorSettings DEFAULTS = new Builder().build();

  /** The same without local health, to measure its effect. */
  public FailureDetectorSettings withoutLocalHealth() {
    return new Builder(this).maxLocalHealthMultiplier(0).build();
  }

  /** A builder that begins with the defaults. */
  public static Builder builder() {
    return new Builder(DEFAULTS);
  }

  /** Sets components by name. */
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
    private int maxLocalHealthMultiplier = 8;

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
      maxLocalHealthMultiplier = from.maxLocalHealthMultiplier;
    }

    /** Sets {@link FailureDetectorSettings#massFailureRatio}. */
    public Builder massFailureRatio(double value) {
      massFailureRatio = value;
      return this;
    }

    /** Sets {@link FailureDetectorSettings#maxLocalHealthMultiplier}. */
    public Builder maxLocalHealthMultiplier(int value) {
      maxLocalHealthMultiplier = value;
      return this;
    }

    /** The settings. */
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
          maxLocalHealthMultiplier);
    }
  }
}
