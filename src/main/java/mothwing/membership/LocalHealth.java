package mothwing.membership;

/**
 * The local health score of Lifeguard: it rises while this process itself appears slow, and extends
 * its timeouts.
 */
final class LocalHealth {
  private final int maxScore;
  private int score;

  LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  void degrade(int steps) {
    score = Math.min(maxScore, score + steps);
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  /** The factor of timeouts, 1 for a healthy process. */
  int multiplier() {
    return 1 + score;
  }
}
