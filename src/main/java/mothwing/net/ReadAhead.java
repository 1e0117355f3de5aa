package mothwing.net;

import java.util.concurrent.Executor;

/**
 * Delays the decoding of received input until the socket has been read as far as one pass of the
 * event loop reads it. The end of the stream lies behind the last request, so this shows that a
 * client has left before its requests are started. At most one connection of a listener has
 * undecoded input by this: its input is decoded before that of another connection is read. Used on
 * its event loop's thread only.
 */
final class ReadAhead {
  private Connection reading;

  /** Returns whether input of a connection is delayed. */
  boolean isDelayed(Connection connection) {
    return reading == connection;
  }

  /**
   * Delays the input that a connection has received, until {@link #finish} or the end of the pass.
   *
   * @param connection the connection, whose socket is being read
   * @param eventLoop runs a task once the socket has been read
   */
  void delay(Connection connection, Executor eventLoop) {
    if (reading == null) {
      reading = connection;
      eventLoop.execute(this::finish);
    }
  }

  /** Decodes the delayed input of any other connection, whose socket has been read. */
  void finishOthers(Connection connection) {
    if (reading != connection) {
      finish();
    }
  }

  /** Decodes the delayed input, if any. Must not be called while its socket is being read. */
  void finish() {
    Connection delayed = reading;
    reading = null;
    if (delayed != null) {
      delayed.input().decodeReceived();
    }
  }
}
