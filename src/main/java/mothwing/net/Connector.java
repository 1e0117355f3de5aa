package mothwing.net;

import java.util.function.Supplier;

/** Opens connections to one peer. */
@FunctionalInterface
public interface Connector {
  /**
   * Opens a connection.
   *
   * @param factory creates the state of the connection once it is open
   * @param onFailure called if the connection cannot be opened
   */
  void connect(Supplier<? extends Connection> factory, Runnable onFailure);
}
