package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A stream socket that retries interrupted reads. The Java runtime reports EINTR of a non-blocking
 * read as a count below -1, which Netty treats as the end of the stream: it would close the
 * connection with all requests open on it.
 */
public final class RetryingSocketChannel extends NioSocketChannel {
  /** The runtime's count for the end of the stream; lower counts are errors of the call. */
  private static final int END_OF_STREAM = -1;

  /**
   * Most attempts of an interrupted read; afterwards the selector reports again that the socket is
   * readable.
   */
  private static final int MAX_ATTEMPTS = 8;

  /** A read operation. */
  @FunctionalInterface
  interface Read {
    /** Reads, and returns the count or a negative number. */
    int read() throws Exception;
  }

  /** Creates a socket that is to be connected. */
  public RetryingSocketChannel() {}

  /**
   * Creates the socket of an accepted connection.
   *
   * @param parent the listening socket
   * @param accepted the accepted connection
   */
  RetryingSocketChannel(Channel parent, SocketChannel accepted) {
    super(parent, accepted);
  }

  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    return readUninterrupted(() -> super.doReadBytes(buffer));
  }

  /**
   * Repeats a read until it is not interrupted.
   *
   * @param read the read operation
   * @return its count, -1 at the end of the stream, or 0 if every attempt was interrupted
   * @throws Exception if a read fails
   */
  static int readUninterrupted(Read read) throws Exception {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      int count = read.read();
      if (count >= END_OF_STREAM) {
        return count;
      }
    }
    return 0;
  }
}
