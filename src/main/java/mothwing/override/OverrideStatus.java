package mothwing.override;

/** How an override stands with one holder. */
public enum OverrideStatus {
  /** It came off a disk, and its age is not known. */
  UNCONFIRMED,
  /** It acts until its lifetime is over. */
  ACTIVE,
  /** Its lifetime is over. */
  EXPIRED,
  /** It was taken back. */
  REVOKED
}
