package mothwing.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Detects members that repeatedly die and return. Each death adds one to a score that decays
 * exponentially; flapping begins at a high score and ends at a low one. Times are microseconds of
 * the monotonic clock.
 */
final class FlapDetector {
  private static final double HALF_LIFE_MICROS = 60e6;

  /** Reached by three deaths within about 20 s, or four within 60 s. */
  private static final double BEGIN_SCORE = 2.5;

  private static final double END_SCORE = 0.75;

  /** Lets flapping end within three half-lives of the last death. */
  private static final double MAX_SCORE = 6;

  private static final double NEGLIGIBLE_SCORE = 0.05;

  private final Map<String, Score> scores = new TreeMap<>();

  private static final class Score {
    private double value;
    private long atMicros;
    private boolean flapping;

    double at(long nowMicros) {
      return value * Math.pow(2, (atMicros - nowMicros) / HALF_LIFE_MICROS);
    }
  }

  /** Counts a death; returns true if the member begins to flap. */
  boolean recordDeath(String name, long nowMicros) {
    Score score = scores.computeIfAbsent(name, unused -> new Score());
    score.value = Math.min(MAX_SCORE, score.at(nowMicros) + 1);
    score.atMicros = nowMicros;
    boolean begins = !score.flapping && score.value >= BEGIN_SCORE;
    score.flapping |= begins;
    return begins;
  }

  /** Ends the flapping of members whose score has fallen, and returns their names. */
  List<String> takeStabilized(long nowMicros) {
    List<String> stabilized = new ArrayList<>();
    scores.forEach(
        (name, score) -> {
          if (score.flapping && score.at(nowMicros) < END_SCORE) {
            score.flapping = false;
            stabilized.add(name);
          }
        });
    scores.values().removeIf(score -> score.at(nowMicros) < NEGLIGIBLE_SCORE);
    return stabilized;
  }

  /** The names of the members that are flapping. */
  Set<String> flappingMembers() {
    Set<String> names = new TreeSet<>();
    scores.forEach(
        (name, score) -> {
          if (score.flapping) {
            names.add(name);
          }
        });
    return names;
  }
}
