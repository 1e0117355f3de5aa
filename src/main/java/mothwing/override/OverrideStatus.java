package mothwing.override;

/** The status of an override at one replica. */
public enum OverrideStatus {
  /** Loaded from disk: its age is not known. */
  UNCONFIRMED,
  /** In effect until its lifetime is over. */
  ACTIVE,
  /** Its lifetime is over. */
  EXPIRED,
  /** Revoked; supersedes every other status. */
  REVOKED
}
