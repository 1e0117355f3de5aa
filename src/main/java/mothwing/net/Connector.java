package mothwing.net;

import java.util.function.Supplier;

/** Opens connections to one peer. */
@FunctionalInterface
public interface Connector {
  /**
   * Opens a connection.
   *
   * @param maker makes its state once it is open
   * @param failed called where it cannot be opened
   */
  void connect(Supplier<? extends Connection> maker, Runnable failed);
}
