package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import mothwing.store.ClaimTable;
import mothwing.store.ClaimTable.Claim;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The file of a table of claims as recorded: written again to the byte, and read again. */
class StoredClaimTableTest {
  private static final long BOOT = 0x0102030405060708L;
  private static final long OWNER = 0x1112131415161718L;
  private static final long OTHER = 0x2122232425262728L;
  private static final long BEGIN = 1_000_000;

  @TempDir private Path folder;
  private final AtomicLong clock = new AtomicLong(BEGIN);

  private Path file() {
    return folder.resolve("claims");
  }

  private ClaimTable open(long owner, long boot) throws IOException {
    return ClaimTable.open(file(), owner, boot, clock::get);
  }

  private static void assertClaim(Claim outcome, ClaimTable table, String key) {
    assertEquals(outcome, table.claim(key, 1000));
  }

  private void store() throws IOException {
    Files.write(file(), HexFile.read("claims/table"));
  }

  @Test
  void writesTheRecordedFile() throws IOException {
    try (ClaimTable one = open(OWNER, BOOT);
        ClaimTable other = open(OTHER, BOOT)) {
      assertClaim(Claim.GRANTED, one, "renewed");
      assertClaim(Claim.GRANTED, one, "taken over");
      clock.addAndGet(600);
      assertClaim(Claim.GRANTED, one, "renewed");
      assertClaim(Claim.GRANTED, other, "key of the other");
      assertClaim(Claim.GRANTED, other, "gr\u00fc\u00dfe \u20ac");
      assertClaim(Claim.HELD, other, "renewed");
      clock.addAndGet(400);
      assertClaim(Claim.GRANTED, other, "taken over");
      assertClaim(Claim.GRANTED, one, "");
    }
    HexFile.assertRecorded("claims/table", Files.readAllBytes(file()));
  }

  @Test
  void readsTheRecordedFile() throws IOException {
    store();
    clock.set(BEGIN + 1599);
    try (ClaimTable third = open(3, BOOT)) {
      assertClaim(Claim.HELD, third, "renewed");
      assertClaim(Claim.HELD, third, "taken over");
      assertClaim(Claim.HELD, third, "key of the other");
      assertClaim(Claim.HELD, third, "gr\u00fc\u00dfe \u20ac");
      assertClaim(Claim.HELD, third, "");
      clock.addAndGet(1);
      assertClaim(Claim.GRANTED, third, "renewed");
      assertClaim(Claim.GRANTED, third, "key of the other");
      assertClaim(Claim.HELD, third, "taken over");
      assertClaim(Claim.HELD, third, "");
    }
    store();
    clock.set(BEGIN + 1000);
    try (ClaimTable again = open(OTHER, BOOT)) {
      assertClaim(Claim.GRANTED, again, "taken over");
      assertClaim(Claim.HELD, again, "renewed");
    }
  }

  @Test
  void emptiesTheRecordedFileOfAnotherBoot() throws IOException {
    store();
    open(OWNER, BOOT + 1).close();
    HexFile.assertRecorded("claims/emptied-table", Files.readAllBytes(file()));
    byte[] damaged = HexFile.read("claims/table");
    damaged[0] ^= 1;
    Files.write(file(), damaged);
    try (ClaimTable table = open(3, BOOT + 1)) {
      HexFile.assertRecorded("claims/emptied-table", Files.readAllBytes(file()));
      assertClaim(Claim.GRANTED, table, "renewed");
    }
  }
}
