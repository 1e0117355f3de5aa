package mothwing.net;

import java.util.Locale;

/** The reason for the end of a connection, written as a code in its log line and in counters. */
public enum CloseReason {
  /** The peer closed it. */
  PEER_CLOSED,
  /** The peer reset it, or the network failed. */
  PEER_RESET,
  /** It was idle for longer than the idle limit in force. */
  IDLE,
  /** This process is shutting down gracefully. */
  DRAIN,
  /** The input violates the protocol. */
  MALFORMED,
  /** The input is larger than the protocol or this program allows. */
  OVERSIZED,
  /** More requests were opened on it than may be open at the same time. */
  TOO_MANY_OPEN,
  /** The protocol or the peer requires a close after the answer. */
  ASKED,
  /** The peer has a new address, or a newer connection to it replaces this one. */
  MOVED,
  /** A response did not arrive in time. */
  NO_ANSWER,
  /** A message was lost; a new connection resynchronizes. */
  MISSED,
  /** Read timeout: the rest of a request did not arrive in time. */
  HALF_SENT,
  /**
   * No complete request arrived in time after the connection was opened: the client is
   * unidentified.
   */
  SILENT,
  /** Write timeout: the peer did not read in time what was sent to it. */
  NOT_READ,
  /** It had no open request and was closed at the connection limit to admit a new connection. */
  EVICTED,
  /** It held most of the memory for incomplete requests and unread answers when that was full. */
  MEMORY,
  /** A defect of this program; the preceding log line has the details. */
  FAULT;

  /**
   * Returns the code used in the log and in counters.
   *
   * @return the constant's name in lower case, with dashes for underscores
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
