package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A stream socket that retries interrupted reads. The Java runtime reports EINTR of a non-blocking
 * read as a count under -1, which Netty takes for the end of the stream: it would close the
 * connection with everything open on it.
 */
public final class RetryingSocketChannel extends NioSocketChannel {
  /** The runtime's count for the end of a stream; lower ones are errors of the call. */
  private static final int END_OF_STREAM = -1;

  /**
   * Reads in a row that may be interrupted; after that the selector reports again that the socket
   * is readable.
   */
  private static final int MAX_ATTEMPTS = 8;

  /** One read. */
  @FunctionalInterface
  interface Read {
    /** Reads; the count, or a negative number. */
    int read() throws Exception;
  }

  /** Makes a socket that is to be connected. */
  public RetryingSocketChannel() {}

  /**
   * Makes the socket of a connection that was accepted.
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
   * Reads until a read is not interrupted.
   *
   * @param read one read
   * @return its count, -1 at the end of the stream, or 0 where each was interrupted
   * @throws Exception where a read fails
   */
  static int untilRead(Read read) throws Exception {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      int count = read.read();
      if (count >= END_OF_STREAM) {
        return count;
      }
    }
    return 0;
  }
}
