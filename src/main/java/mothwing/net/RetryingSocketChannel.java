package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A stream socket whose reads outlive a signal. The runtime hands EINTR of a read that does not
 * block on as a count under -1, which Netty takes for the end of the stream, and closes the
 * connection with all that is open on it.
 */
public final class RetryingSocketChannel extends NioSocketChannel {
  /** The runtime's count for the end of a stream; lower ones say that a call did not come about. */
  private static final int END_OF_STREAM = -1;

  /**
   * Reads in a row that may be interrupted; after that the selector says again that there is
   * something to read.
   */
  private static final int MAX_ATTEMPTS = 8;

  /** One read. */
  @FunctionalInterface
  interface Read {
    /** Reads; the count, or a negative number. */
    int read() throws Exception;
  }

  /** Makes one that is to be connected. */
  public RetryingSocketChannel() {}

  /**
   * Makes one of a connection that was accepted.
   *
   * @param parent where it was accepted
   * @param accepted the connection
   */
  RetryingSocketChannel(Channel parent, SocketChannel accepted) {
    super(parent, accepted);
  }

  @Override
  protected int doReadBytes(ByteBuf to) throws Exception {
    return untilRead(() -> super.doReadBytes(to));
  }

  /**
   * Reads until a read comes about.
   *
   * @param read one read
   * @return its count, -1 at the end of the stream, or 0 where each was interrupted
   * @throws Exception where a read fails
   */
  static int untilRead(Read read) throws Exception {
    for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
      int count = read.read();
      if (count >= END_OF_STREAM) {
        return count;
      }
    }
    return 0;
  }
}
