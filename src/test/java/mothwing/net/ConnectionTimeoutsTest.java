package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Timeouts of a peer, and the reasons for which it is disconnected. */
class ConnectionTimeoutsTest {
  private static final long TIMEOUT = 100;
  private static final long NEVER = Connection.NEVER;

  private final ConnectionTimeouts timeouts = new ConnectionTimeouts();

  private long timeoutAt() {
    return timeouts.timeoutAt(TIMEOUT, true, timeouts.incompleteMessageSince());
  }

  @Test
  void expiresPeerUntilItIsIdentified() {
    timeouts.opened(10);
    assertEquals(110, timeoutAt());
    assertEquals(CloseReason.SILENT, timeouts.reason(111, TIMEOUT, NEVER));
    assertEquals(
        NEVER,
        timeouts.timeoutAt(TIMEOUT, false, NEVER),
        "expires although this process holds up its input");
    timeouts.identified();
    assertEquals(NEVER, timeoutAt());
  }

  /** Guards against a message that is sent byte by byte and never expires. */
  @Test
  void countsTimeoutFromFirstByteOfIncompleteMessage() {
    timeouts.identified();
    timeouts.bytesReceived(20);
    timeouts.bytesReceived(90);
    assertEquals(120, timeoutAt());
    assertEquals(
        CloseReason.HALF_SENT, timeouts.reason(121, TIMEOUT, timeouts.incompleteMessageSince()));
    assertEquals(105, timeouts.timeoutAt(TIMEOUT, true, 5), "an older incomplete request");
    timeouts.bufferEmptied();
    assertEquals(NEVER, timeoutAt());
  }

  @Test
  void expiresUnreadAnswersEvenIfNoInputIsExpected() {
    timeouts.identified();
    timeouts.writeBlocked(30);
    timeouts.writeBlocked(60);
    assertEquals(130, timeouts.timeoutAt(TIMEOUT, false, NEVER));
    assertEquals(CloseReason.NOT_READ, timeouts.reason(131, TIMEOUT, NEVER));
    timeouts.writeResumed();
    assertEquals(NEVER, timeoutAt());
  }
}
