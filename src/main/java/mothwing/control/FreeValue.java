package mothwing.control;

/** What the published free value means to callers. */
public enum FreeValue {
  /** No value is published. */
  NONE,
  /** Callers send no request whose rank is lower than the value. */
  LEVEL,
  /** Each caller has at most this many requests in flight at this server. */
  WINDOW,
  /** The probability, of 0 to 1, that a caller considers this server for a request. */
  SHARE
}
