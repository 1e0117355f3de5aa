package mothwing.control;

/** What callers make of the free value. */
public enum FreeValue {
  /** There is none. */
  NONE,
  /** Requests of lower rank stay away. */
  LEVEL,
  /** So many requests of each caller may be out here. */
  WINDOW,
  /** The chance that a caller does not pass this server over. */
  SHARE
}
