package mothwing.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import mothwing.broker.RunClaims;
import mothwing.store.ClaimTable;

/**
 * Claims on runs of requests with an idempotency key, in a table that this process and another one
 * at the same address both map into memory, so that each run is claimed by only one of them.
 */
final class SharedRunClaims {
  private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

  private SharedRunClaims() {}

  /** Returns the file of the claim table of a server. */
  static Path file(String serverName) {
    return Path.of(System.getProperty("java.io.tmpdir"), "mothwing-claims-" + serverName);
  }

  /**
   * Opens the claim table.
   *
   * @param file the file of the table
   * @return the claims
   * @throws IOException if it cannot be opened
   */
  static RunClaims open(Path file) throws IOException {
    long boot = Files.readString(BOOT_ID).strip().hashCode();
    long owner = new SecureRandom().nextLong();
    ClaimTable table =
        ClaimTable.open(file, owner, boot, () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime()));
    return (key, span) ->
        switch (table.claim(key, span)) {
          case GRANTED -> RunClaims.Claim.GRANTED;
          case HELD -> RunClaims.Claim.HELD;
          case FULL -> RunClaims.Claim.FULL;
          case UNKNOWN -> RunClaims.Claim.UNKNOWN;
        };
  }
}
