package mothwing.net;

/**
 * What one connection holds of the memory that all connections share: parts of requests, and
 * answers that are not read. Used on its event loop's thread only.
 */
final class HeldMemory {
  private final Connection connection;
  private ConnectionMemory account;
  private long inputBytes;
  private long unreadAnswerBytes;

  /**
   * Creates the memory of a connection that holds nothing.
   *
   * @param connection the connection
   */
  HeldMemory(Connection connection) {
    this.connection = connection;
  }

  /** Sets the account of all connections, or null if this connection has left it. */
  void setAccount(ConnectionMemory shared) {
    account = shared;
  }

  /** Returns how many bytes are held, as of the last update. */
  long bytes() {
    return inputBytes + unreadAnswerBytes;
  }

  /** Updates what the connection holds for incomplete requests and unread answers. */
  void update() {
    long before = bytes();
    boolean open = connection.isOpen();
    inputBytes = open ? connection.input().heldBytes() + connection.incompleteRequestBytes() : 0;
    unreadAnswerBytes = open ? connection.unsentBytes() : 0;
    if (account != null) {
      account.adjust(bytes() - before);
    }
  }

  /** Updates what is held, and reclaims memory of the largest holders if there is too much. */
  void updateAndEnforceLimit() {
    update();
    if (account != null) {
      account.enforceLimit();
    }
  }

  /** Returns whether the connections hold so little that input may be kept undecoded. */
  boolean permitsReadAhead() {
    return account == null || account.permitsReadAhead();
  }

  /** Decodes input that may hold complete requests, so that these are answered. */
  void decodeInput() {
    if (connection.input().isUndecoded()) {
      connection.decodeAtOnce();
      update();
    }
  }

  /**
   * Frees what the connection holds. Its complete requests are decoded, and its incomplete ones
   * rejected. It is closed unless answers are pending, and also then if the peer does not read what
   * was sent to it.
   */
  void reclaim() {
    decodeInput();
    InputDecoder input = connection.input();
    connection.rejectIncompleteRequests();
    if (unreadAnswerBytes > inputBytes || !connection.channel().isWritable()) {
      connection.closeNow(CloseReason.MEMORY);
    } else if (!connection.isAnswerPending()) {
      connection.close(CloseReason.MEMORY, "");
      input.clear();
    } else if (!input.isAwaitingBudget() && !input.isEmpty()) {
      connection.skipMessage(input.bytes());
      connection.decodeBuffered();
    }
    update();
  }
}
