package mothwing.membership;

/** A probe in progress, for this process or on behalf of another member. */
final class Probe {
  private final long sequence;
  private final Member target;
  private final MemberRecord requester;
  private final long requesterSequence;
  private int nacks;
  private int indirectRequests;

  private Probe(long sequence, Member target, MemberRecord requester, long requesterSequence) {
    this.sequence = sequence;
    this.target = target;
    this.requester = requester;
    this.requesterSequence = requesterSequence;
  }

  static Probe direct(long sequence, Member target) {
    return new Probe(sequence, target, null, 0);
  }

  static Probe onBehalfOf(
      MemberRecord requester, long requesterSequence, long sequence, Member target) {
    return new Probe(sequence, target, requester, requesterSequence);
  }

  long sequence() {
    return sequence;
  }

  Member target() {
    return target;
  }

  boolean isOnBehalfOfAnother() {
    return requester != null;
  }

  MemberRecord requester() {
    return requester;
  }

  long requesterSequence() {
    return requesterSequence;
  }

  void countNack() {
    nacks++;
  }

  void countIndirectRequest() {
    indirectRequests++;
  }

  int indirectRequests() {
    return indirectRequests;
  }

  /**
   * Whether no helper sent even a nack, which suggests that the fault is at this process. Always
   * false without helpers.
   */
  boolean isWithoutNacks() {
    return indirectRequests > 0 && nacks == 0;
  }
}
