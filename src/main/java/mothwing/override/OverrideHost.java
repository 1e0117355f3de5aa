package mothwing.override;

import java.util.List;

/** The network, the disk and the listener of one server's {@link AntiEntropy}. */
public interface OverrideHost {
  /**
   * Sends a message to a server; it may be lost.
   *
   * @param to the server's name
   * @param message the message
   */
  void send(String to, OverrideMessage message);

  /**
   * The other servers that are believed to be present. A hint: correctness does not depend on it.
   *
   * @return their names, without this server's
   */
  List<String> peers();

  /**
   * Writes a state to disk; {@link AntiEntropy#onPersisted} follows once it is durable, or never if
   * the write fails.
   *
   * @param state the state to persist
   */
  void persist(ReplicaState state);

  /** The overrides in effect may have changed: to be looked up again before the next decision. */
  void onChange();
}
