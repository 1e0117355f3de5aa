package mothwing.net;

/**
 * Tracks what one connection awaits from its peer, and since when: the first request, the rest of
 * an incomplete message, or the reading of what was sent to it. Times are microseconds of one
 * monotonic clock.
 */
final class ConnectionTimeouts {
  private long openedAt;
  private long messageStartedAt = Connection.NEVER;
  private long writeBlockedSince = Connection.NEVER;
  private boolean identified;

  /** Records when the connection was opened. */
  void opened(long now) {
    openedAt = now;
  }

  /** Records received bytes, which continue a message or begin one. */
  void bytesReceived(long now) {
    messageStartedAt = Math.min(messageStartedAt, now);
  }

  /** Records that a message was decoded; the remaining bytes begin the next one. */
  void messageDecoded(long now) {
    messageStartedAt = now;
  }

  /** Records that bytes are decoded again that were received while output awaited the peer. */
  void decodingResumed(long now) {
    messageStartedAt = now;
  }

  /** Returns when the incomplete message began that is buffered, or {@link Connection#NEVER}. */
  long incompleteMessageSince() {
    return messageStartedAt;
  }

  /**
   * Returns when the input began that is incomplete and times out. While an answer is pending only
   * requests time out, each on its own: an incomplete message that belongs to none is kept until
   * the last answer is sent.
   *
   * @param requests the open requests of the connection
   */
  long incompleteInputSince(OpenRequests requests) {
    long requestSince = requests.incompleteRequestSince();
    return requests.isAnswerPending() ? requestSince : Math.min(requestSince, messageStartedAt);
  }

  /** Records that no byte of an incomplete message is buffered. */
  void bufferEmptied() {
    messageStartedAt = Connection.NEVER;
  }

  /**
   * Records that output awaits the peer: it does not read, or the connection is being closed. The
   * earliest time counts.
   */
  void writeBlocked(long now) {
    writeBlockedSince = Math.min(writeBlockedSince, now);
  }

  /** Returns whether output awaits the peer; nothing is read from it meanwhile. */
  boolean isWriteBlocked() {
    return writeBlockedSince != Connection.NEVER;
  }

  /** Records that the peer has read enough for more to be sent. */
  void writeResumed() {
    writeBlockedSince = Connection.NEVER;
  }

  /** Records that the peer has sent a complete request. */
  void identified() {
    identified = true;
  }

  /** Returns whether the peer has sent a complete request. */
  boolean isIdentified() {
    return identified;
  }

  /** Returns whether neither an incomplete message nor an unread answer is outstanding. */
  boolean isSettled() {
    return messageStartedAt == Connection.NEVER && !isWriteBlocked();
  }

  /**
   * Returns when the connection times out in its current state.
   *
   * @param timeout how long the peer may take
   * @param expectsInput whether input is awaited from the peer and not held up by this process
   * @param inputIncompleteSince when the oldest incomplete request or message began, or {@link
   *     Connection#NEVER}
   * @return a time, or {@link Connection#NEVER} if nothing is awaited
   */
  long timeoutAt(long timeout, boolean expectsInput, long inputIncompleteSince) {
    long since = writeBlockedSince;
    if (expectsInput) {
      since = Math.min(since, inputIncompleteSince);
      since = identified ? since : Math.min(since, openedAt);
    }
    return since == Connection.NEVER ? Connection.NEVER : since + timeout;
  }

  /**
   * Returns why a connection that has timed out is to be closed.
   *
   * @param now the current time
   * @param timeout how long the peer may take
   * @param inputIncompleteSince when the oldest incomplete request or message began, or {@link
   *     Connection#NEVER}
   * @return the reason
   */
  CloseReason reason(long now, long timeout, long inputIncompleteSince) {
    if (writeBlockedSince < now - timeout) {
      return CloseReason.NOT_READ;
    }
    return inputIncompleteSince < now - timeout ? CloseReason.HALF_SENT : CloseReason.SILENT;
  }
}
