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
  /** This process is leaving. */
  DRAIN,
  /** What came is not the protocol. */
  MALFORMED,
  /** What came is larger than the protocol or this program allows. */
  OVERSIZED,
  /** More requests were opened on it than may be open at once. */
  TOO_MANY_OPEN,
  /** The other side asked for it to be closed after the answer. */
  ASKED,
  /** The party is reached at another address now, or by a newer connection. */
  MOVED,
  /** An answer did not come in time. */
  NO_ANSWER,
  /** Something that was sent on it before is missing, and comes again on a new one. */
  MISSED,
  /** The rest of a request did not come in time. */
  HALF_SENT,
  /** Nothing whole was asked on it in time after it was opened. */
  SILENT,
  /** What was sent to it was not read in time. */
  NOT_READ,
  /** Its place was needed for a new connection, and nothing was open on it. */
  EVICTED,
  /** A fault of this program; the line before it has the details. */
  FAULT;

  /**
   * The code as it stands in the log.
   *
   * @return lower-case words joined by dashes
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
