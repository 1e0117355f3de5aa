package mothwing.override;

/** How an override stands with one holder. */
public enum OverrideStatus {
  /** It came off a disk, and its age is not known. */
  UNSURE,
  /** It acts until its lifetime is over. */
  IN_FORCE,
  /** Its lifetime is over. */
  ENDED,
  /** It was taken back. */
  REVOKED
}
