package mothwing.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A listening socket that tolerates transient accept failures, and accepts its whole backlog before
 * it closes.
 */
final class AcceptingChannel extends NioServerSocketChannel {
  /**
   * Consecutive failed accepts, for the backlog also empty ones, after which the result is final.
   */
  private static final int MAX_FAILED_ACCEPTS = 10;

  private final Consumer<String> counter;
  private final Runnable evictor;
  private int consecutiveFailures;

  /**
   * Creates an unbound socket.
   *
   * @param counter increments the counter of the given name
   * @param evictor closes one connection; called when no file descriptor is left
   */
  AcceptingChannel(Consumer<String> counter, Runnable evictor) {
    this.counter = counter;
    this.evictor = evictor;
  }

  /**
   * Accepts one connection. If no file descriptor is left, which may happen below the connection
   * limit, one connection is evicted, and the waiting client is accepted one second later, since
   * Netty pauses accepting for that long after a failure. After any other transient failure the
   * next turn of the event loop tries again, up to {@link #MAX_FAILED_ACCEPTS} failures in a row.
   */
  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    try {
      SocketChannel socket = javaChannel().accept();
      consecutiveFailures = 0;
      return socket == null || !addAccepted(socket, accepted) ? 0 : 1;
    } catch (IOException failure) {
      counter.accept("accept-failed");
      if (isOutOfDescriptors(failure)) {
        evictor.run();
        throw failure;
      }
      if (++consecutiveFailures > MAX_FAILED_ACCEPTS) {
        throw failure;
      }
      return 0;
    }
  }

  private boolean addAccepted(SocketChannel socket, List<Object> accepted) throws IOException {
    try {
      return accepted.add(new RetryingSocketChannel(this, socket));
    } catch (RuntimeException reset) { // the client has already reset the connection
      socket.close();
      return false;
    }
  }

  /**
   * Accepts the whole backlog and then closes without delay. The Java runtime delays the close of a
   * channel that is registered with a selector, and clients that connect in the meantime would be
   * reset; so the channel is deregistered first, and the next select releases it.
   *
   * @param onClosed called once the socket is closed
   */
  void closeAfterBacklog(Runnable onClosed) {
    deregister()
        .addListener(
            deregistered ->
                eventLoop().schedule(() -> drainAndClose(onClosed), 1, TimeUnit.MILLISECONDS));
  }

  private void drainAndClose(Runnable onClosed) {
    List<SocketChannel> backlog = new ArrayList<>();
    try (ServerSocketChannel socket = javaChannel()) { // closes before the backlog is handled
      acceptBacklog(socket, backlog);
    } catch (IOException failure) {
      // No file descriptor is left: the close resets the remaining clients.
      counter.accept("backlog-dropped");
    }
    backlog.forEach(socket -> pipeline().fireChannelRead(new RetryingSocketChannel(this, socket)));
    close();
    onClosed.run();
  }

  /**
   * Accepts until the backlog is empty. An accept may be interrupted or fail transiently while
   * further connections wait, so only {@link #MAX_FAILED_ACCEPTS} in a row end the loop.
   */
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

  /**
   * Returns whether a system call failed because this process or the machine is out of file
   * descriptors.
   */
  private static boolean isOutOfDescriptors(IOException failure) {
    return failure.getMessage() != null && failure.getMessage().contains("Too many open files");
  }
}
