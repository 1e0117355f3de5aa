package mothwing.membership;

import java.util.HashSet;
import java.util.Set;

/** The suspicion of one member: its start, and the members that reported it independently. */
final class Suspicion {
  private final Set<String> accusers = new HashSet<>();
  private long startedAtMicros;

  Suspicion(long startedAtMicros) {
    this.startedAtMicros = startedAtMicros;
  }

  /** Adds an accuser; returns false if it was already counted. */
  boolean addAccuser(String name) {
    return accusers.add(name);
  }

  boolean isAccusedBy(String name) {
    return accusers.contains(name);
  }

  int accuserCount() {
    return accusers.size();
  }

  long startedAtMicros() {
    return startedAtMicros;
  }

  void startNoEarlierThan(long atMicros) {
    startedAtMicros = Math.max(startedAtMicros, atMicros);
  }

  void postpone(long spanMicros) {
    startedAtMicros += spanMicros;
  }

  /**
   * The time from its start to the declaration of death (Lifeguard): it falls from the maximum to
   * the minimum with the logarithm of the number of accusers.
   *
   * @param self the name of the member that waits; unless it is an accuser itself, it waits for a
   *     multiple of the maximum
   * @param healthMultiplier the local health multiplier, at least 1
   */
  long timeoutMicros(String self, FailureDetectorSettings settings, int healthMultiplier) {
    long maximum = settings.maxSuspicionMicros();
    if (!isAccusedBy(self)) {
      return (long) (maximum * settings.gossipedSuspicionMultiplier());
    }
    double confirmed =
        Math.min(1, Math.log(accusers.size()) / Math.log(settings.suspicionConfirmations() + 1));
    double shortened = (maximum - settings.minSuspicionMicros()) * confirmed;
    long timeout = (long) (maximum - shortened);
    return timeout * healthMultiplier;
  }
}
