package mothwing.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A listening socket that survives failed accepts and closes without losing its backlog. */
final class AcceptingChannel extends NioServerSocketChannel {
  /** Accepts in a row that may fail, or find nobody, before that is taken for the truth. */
  private static final int MAX_FAILED_ACCEPTS = 10;

  private final Consumer<String> counter;
  private final Runnable evictor;
  private int failedInARow;

  /**
   * Makes a socket that is not bound yet.
   *
   * @param counter counts what happens, by name
   * @param evictor called where no descriptor is left, to close one connection
   */
  AcceptingChannel(Consumer<String> counter, Runnable evictor) {
    this.counter = counter;
    this.evictor = evictor;
  }

  /**
   * Accepts one connection. Where no descriptor is left, which may happen below the limit of
   * connections, one is evicted, and the waiting client is accepted a second later: Netty pauses
   * accepting for so long after a failure. Any other transient failure costs one turn of the loop.
   */
  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    try {
      SocketChannel socket = javaChannel().accept();
      failedInARow = 0;
      return socket == null || !isAdded(socket, accepted) ? 0 : 1;
    } catch (IOException failure) {
      counter.accept("accept-failed");
      if (isOutOfDescriptors(failure)) {
        evictor.run();
        throw failure;
      }
      if (++failedInARow > MAX_FAILED_ACCEPTS) {
        throw failure;
      }
      return 0;
    }
  }

  private boolean isAdded(SocketChannel socket, List<Object> accepted) throws IOException {
    try {
      return accepted.add(new RetryingSocketChannel(this, socket));
    } catch (RuntimeException reset) { // by the client, meanwhile
      socket.close();
      return false;
    }
  }

  /**
   * Accepts the whole backlog and closes at once. The Java runtime delays the close of a channel
   * that a selector holds, and who connects meanwhile would be reset; so the channel is
   * deregistered first, and the next select releases it.
   *
   * @param then called once it is closed
   */
  void closeAfterBacklog(Runnable then) {
    deregister()
        .addListener(
            deregistered ->
                eventLoop().schedule(() -> drainAndClose(then), 1, TimeUnit.MILLISECONDS));
  }

  private void drainAndClose(Runnable then) {
    List<SocketChannel> backlog = new ArrayList<>();
    try (ServerSocketChannel socket = javaChannel()) { // closed before the backlog is handled
      acceptBacklog(socket, backlog);
    } catch (IOException failure) {
      counter.accept("backlog-dropped"); // no descriptor is left: the close resets the rest
    }
    backlog.forEach(socket -> pipeline().fireChannelRead(new RetryingSocketChannel(this, socket)));
    close();
    then.run();
  }

  /** An accept may be interrupted, or fail for a moment, with others still waiting behind it. */
  private static void acceptBacklog(ServerSocketChannel socket, List<SocketChannel> backlog)
      throws IOException {
    for (int failed = 0; failed < MAX_FAILED_ACCEPTS; ) {
      try {
        SocketChannel client = socket.accept();
        failed = client == null ? failed + 1 : 0;
        if (client != null) {
          backlog.add(client);
        }
      } catch (IOException failure) {
        failed++;
        if (isOutOfDescriptors(failure) && failed == MAX_FAILED_ACCEPTS) {
          throw failure;
        }
      }
    }
  }

  /** Whether a system call failed because this process or the machine has no descriptor left. */
  private static boolean isOutOfDescriptors(IOException failure) {
    return failure.getMessage() != null && failure.getMessage().contains("Too many open files");
  }
}
