package mothwing.net;

/**
 * What the other side of one connection keeps this process waiting for, and since when: the first
 * request, the rest of a message that has begun, or the reading of what was sent to it. Times are
 * microseconds of one monotonic clock.
 */
final class ConnectionTimeouts {
  private long openedAt;
  private long messageStartedAt = Connection.NEVER;
  private long writeBlockedSince = Connection.NEVER;
  private boolean identified;

  /** Starts the clock of the connection. */
  void opened(long now) {
    openedAt = now;
  }

  /** Bytes came: they continue a message, or begin one. */
  void bytesReceived(long now) {
    messageStartedAt = Math.min(messageStartedAt, now);
  }

  /** A message was decoded; what is left over begins the next one. */
  void messageDecoded(long now) {
    messageStartedAt = now;
  }

  /** No byte of an incomplete message is left. */
  void bufferEmptied() {
    messageStartedAt = Connection.NEVER;
  }

  /** The other side does not read what is sent to it; the first time counts. */
  void writeBlocked(long now) {
    writeBlockedSince = Math.min(writeBlockedSince, now);
  }

  /** The other side has read enough for more to be sent. */
  void writeResumed() {
    writeBlockedSince = Connection.NEVER;
  }

  /** The other side has sent a complete request. */
  void identified() {
    identified = true;
  }

  /** Whether the other side has sent a complete request yet. */
  boolean isIdentified() {
    return identified;
  }

  /** Whether neither an incomplete message nor an unread answer is outstanding. */
  boolean isSettled() {
    return messageStartedAt == Connection.NEVER && writeBlockedSince == Connection.NEVER;
  }

  /**
   * When the connection times out as things are.
   *
   * @param timeout how long the other side may keep this process waiting
   * @param expectsInput whether input is awaited from the other side, and not held up here
   * @param requestStartedAt when the oldest incomplete request began, or {@link Connection#NEVER}
   * @return a time, or {@link Connection#NEVER} where nothing is awaited
   */
  long expiresAt(long timeout, boolean expectsInput, long requestStartedAt) {
    long since = writeBlockedSince;
    if (expectsInput) {
      since = Math.min(since, inputAwaitedSince(requestStartedAt));
      since = identified ? since : Math.min(since, openedAt);
    }
    return since == Connection.NEVER ? Connection.NEVER : since + timeout;
  }

  /**
   * Why a connection that has timed out is closed.
   *
   * @param now the time
   * @param timeout how long the other side may keep this process waiting
   * @param requestStartedAt when the oldest incomplete request began, or {@link Connection#NEVER}
   * @return the reason
   */
  CloseReason reason(long now, long timeout, long requestStartedAt) {
    if (writeBlockedSince < now - timeout) {
      return CloseReason.NOT_READ;
    }
    return inputAwaitedSince(requestStartedAt) < now - timeout
        ? CloseReason.HALF_SENT
        : CloseReason.SILENT;
  }

  private long inputAwaitedSince(long requestStartedAt) {
    return Math.min(messageStartedAt, requestStartedAt);
  }
}
