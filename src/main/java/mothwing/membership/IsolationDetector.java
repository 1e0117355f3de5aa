package mothwing.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects that this process receives messages from fewer than half of the members with which it
 * exchanges probes on the ring.
 */
final class IsolationDetector {
  private final LocalMember self;
  private final MemberTable members;
  private final boolean hasSeeds;
  private final Map<String, Long> lastHeardMicros = new LinkedHashMap<>();
  private long lastConnectedMicros;
  private boolean isolated;

  IsolationDetector(LocalMember self, MemberTable members, boolean hasSeeds) {
    this.self = self;
    this.members = members;
    this.hasSeeds = hasSeeds;
  }

  void start(long nowMicros) {
    lastConnectedMicros = nowMicros;
  }

  void recordMessageFrom(String name) {
    lastHeardMicros.put(name, self.now());
  }

  /** Excludes a pause of this process from the timeout. */
  void excludePause(long spanMicros) {
    lastConnectedMicros += spanMicros;
  }

  boolean isIsolated() {
    return isolated;
  }

  /** Updates the state; returns true if it has changed. */
  boolean update(long nowMicros) {
    long timeout = self.settings().isolationTimeoutMicros();
    lastHeardMicros.values().removeIf(at -> at < nowMicros - timeout);
    int known = Math.max(members.size(), hasSeeds ? 1 : 0);
    int expected = Math.min(2 * self.settings().ringSuccessors(), known);
    if (2 * lastHeardMicros.size() >= expected) {
      lastConnectedMicros = nowMicros;
    }
    boolean before = isolated;
    isolated = nowMicros - lastConnectedMicros > timeout;
    return isolated != before;
  }
}
