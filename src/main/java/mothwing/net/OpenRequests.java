package mothwing.net;

/**
 * The open requests of a connection, as its timeouts and its close see them. A request is
 * incomplete until its last byte has been received; from then on its answer is pending. The default
 * is a connection that has no requests.
 */
interface OpenRequests {
  /** A time that is never reached. */
  long NEVER = Long.MAX_VALUE;

  /**
   * Returns whether no request is open on the connection.
   *
   * @return true if no request is open
   */
  default boolean isIdle() {
    return true;
  }

  /**
   * Returns whether a complete request awaits its answer. The connection is not closed at a read
   * timeout meanwhile, since the answer would be lost.
   *
   * @return true if an answer is pending
   */
  default boolean isAnswerPending() {
    return false;
  }

  /**
   * Returns when the oldest incomplete request began. Further bytes of that request do not change
   * the time, so that a request sent byte by byte times out too.
   *
   * @return a time of the connection's clock in microseconds, or {@link #NEVER} if no request is
   *     incomplete
   */
  default long incompleteRequestSince() {
    return NEVER;
  }

  /**
   * Returns how many bytes of memory the incomplete requests hold.
   *
   * @return bytes, 0 if no request is incomplete
   */
  default long incompleteRequestBytes() {
    return 0;
  }

  /** Rejects the incomplete requests, and releases what was received of them. */
  default void rejectIncompleteRequests() {}

  /**
   * Fails the incomplete requests that began before a time, and releases what was received of them.
   *
   * @param time a time of the connection's clock in microseconds
   */
  default void failIncompleteRequests(long time) {}

  /**
   * Fails the requests whose answers are pending, because this side closes the connection. Answers
   * can still be sent.
   */
  default void failPendingRequests() {}
}
