package mothwing.control;

/** The meaning of the published free value. */
public enum FreeValue {
  /** No value is published. */
  NONE,
  /** Callers send no request whose rank is below the value. */
  LEVEL,
  /** Each caller has at most this number of requests in flight at this server. */
  WINDOW,
  /** The probability, from 0 to 1, that a caller considers this server for a request. */
  SHARE
}
