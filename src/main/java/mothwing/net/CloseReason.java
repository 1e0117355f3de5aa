package mothwing.net;

import java.util.Locale;

/** Why a connection ended: the code in its line of the log. */
public enum CloseReason {
  /** The other side closed it. */
  PEER_CLOSED,
  /** The other side reset it, or the network broke it. */
  PEER_RESET,
  /** It was idle for longer than connections may be now. */
  IDLE,
  /** This process shuts down gracefully. */
  DRAIN,
  /** The input breaks the protocol. */
  MALFORMED,
  /** The input is larger than the protocol or this program allows. */
  OVERSIZED,
  /** More requests were opened on it than may be open at once. */
  TOO_MANY_OPEN,
  /** The protocol or the other side asks for a close after the answer. */
  ASKED,
  /** The peer is reached at another address now, or by a newer connection. */
  MOVED,
  /** A response did not come in time. */
  NO_ANSWER,
  /** A message was lost; a new connection resynchronizes. */
  MISSED,
  /** The rest of a request did not come in time: a read timeout. */
  HALF_SENT,
  /** No complete request came in time after it was opened: an unidentified client. */
  SILENT,
  /** The other side did not read in time what was sent: a write timeout. */
  NOT_READ,
  /** It was closed at the connection limit for a new one, without an open request. */
  EVICTED,
  /** A defect of this program; the log line before it has the details. */
  FAULT;

  /**
   * The code for the log and for counters.
   *
   * @return lower-case words joined by dashes
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
