package mothwing.override;

import java.util.List;

/** What the sharing of overrides acts through. */
public interface OverrideHost {
  /**
   * Sends to a server; it may not come through.
   *
   * @param to the server's name
   * @param message what
   */
  void send(String to, OverrideMessage message);

  /**
   * The servers that are thought to be there, without this one. A hint: nothing that holds rests on
   * it.
   *
   * @return their names
   */
  List<String> peers();

  /**
   * Writes to the disk; {@link AntiEntropy#onPersisted} follows once that is forced, or never where
   * it failed.
   *
   * @param told what is to be kept
   */
  void persist(ReplicaState told);

  /** What acts may have changed: it is to be looked at before the next decision. */
  void onChange();
}
