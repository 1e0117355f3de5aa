package mothwing.membership;

/**
 * Lifeguard's local health: a score that rises while this process itself seems slow, and makes its
 * timeouts longer.
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
