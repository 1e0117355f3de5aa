package mothwing.net;

import java.util.function.Supplier;

/** A way to open connections to one party. */
@FunctionalInterface
public interface Connector {
  /**
   * Opens a connection.
   *
   * @param maker makes its state once it is open
   * @param failed what to do where it cannot be opened
   */
  void connect(Supplier<? extends Connection> maker, Runnable failed);
}
