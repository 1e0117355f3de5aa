package mothwing.broker;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests whose runs were started recently, also if their callers have left since. An
 * id is new with every attempt, so one that comes again must not run again. The oldest ids are
 * forgotten above the bound on their number.
 */
final class RecentRuns {
  /** Longer than any deadline and the shutdown of a process. */
  static final long WINDOW_MICROS = 60_000_000;

  static final int MAX_IDS = 8192;

  private final Map<String, Long> expiryById = new LinkedHashMap<>();

  /** Returns whether a run of this id was started within the window. */
  boolean contains(String id, long now) {
    Long expiry = expiryById.get(id);
    return expiry != null && now < expiry;
  }

  /** Records the start of a run. */
  void add(String id, long now) {
    expiryById.remove(id); // a later start is the youngest entry
    expiryById.put(id, now + WINDOW_MICROS);
    if (expiryById.size() > MAX_IDS) {
      expiryById.remove(expiryById.keySet().iterator().next());
    }
  }
}
