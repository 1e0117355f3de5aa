package mothwing.server;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import mothwing.broker.EventLog;
import mothwing.broker.RunClaims;
import mothwing.store.ClaimTable;

/**
 * Claims on runs of requests, by idempotency key or by id, in tables that this process and another
 * one at the same address both map into memory, so that each run is claimed by only one of them.
 */
final class SharedRunClaims {
  private SharedRunClaims() {}

  /**
   * Opens the claims on idempotency keys.
   *
   * @param serverName the name of the server
   * @param log the event log
   * @return the claims, which are not shared if the table is not available
   */
  static RunClaims ofKeys(String serverName, EventLog log) {
    return open("mothwing-claims-" + serverName, log);
  }

  /**
   * Opens the claims on ids of requests that may run once.
   *
   * @param config the configuration of the server
   * @param log the event log
   * @return the claims, which are not shared if the table is not available, or no other process can
   *     have the address
   */
  static RunClaims ofIds(Config config, EventLog log) {
    int port = config.listen().getPort();
    return port == 0 ? RunClaims.UNSHARED : open("mothwing-ids-" + config.name() + "-" + port, log);
  }

  private static RunClaims open(String fileName, EventLog log) {
    Path file = Path.of(System.getProperty("java.io.tmpdir"), fileName);
    try {
      return open(file);
    } catch (IOException | RuntimeException failure) {
      log.write(
          "shared-claims-unavailable file=" + file + " what=\"" + failure.getMessage() + "\"");
      return RunClaims.UNSHARED;
    }
  }

  private static RunClaims open(Path file) throws IOException {
    long owner = new SecureRandom().nextLong();
    ClaimTable table =
        ClaimTable.open(
            file,
            owner,
            SharedProcessState.bootId(),
            () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime()));
    return (key, span) ->
        switch (table.claim(key, span)) {
          case GRANTED -> RunClaims.Claim.GRANTED;
          case HELD -> RunClaims.Claim.HELD;
          case FULL -> RunClaims.Claim.FULL;
          case UNKNOWN -> RunClaims.Claim.UNKNOWN;
        };
  }
}
