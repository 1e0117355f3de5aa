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

/**
 * Checks the file of a claim table against a recording: it is written byte for byte as recorded,
 * and the recorded file is read back.
 */
class StoredClaimTableTest {
  private static final long BOOT = 0x0102030405060708L;
  private static final long OWNER = 0x1112131415161718L;
  private static final long OTHER_OWNER = 0x2122232425262728L;
  private static final long START_MICROS = 1_000_000;

  @TempDir private Path folder;
  private final AtomicLong clock = new AtomicLong(START_MICROS);

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
  void writesRecordedFile() throws IOException {
    try (ClaimTable table = open(OWNER, BOOT);
        ClaimTable otherTable = open(OTHER_OWNER, BOOT)) {
      assertClaim(Claim.GRANTED, table, "renewed");
      assertClaim(Claim.GRANTED, table, "taken over");
      clock.addAndGet(600);
      assertClaim(Claim.GRANTED, table, "renewed");
      assertClaim(Claim.GRANTED, otherTable, "key of the other");
      assertClaim(Claim.GRANTED, otherTable, "gr\u00fc\u00dfe \u20ac");
      assertClaim(Claim.HELD, otherTable, "renewed");
      clock.addAndGet(400);
      assertClaim(Claim.GRANTED, otherTable, "taken over");
      assertClaim(Claim.GRANTED, table, "");
    }
    HexFile.assertRecorded("claims/table", Files.readAllBytes(file()));
  }

  @Test
  void readsRecordedFile() throws IOException {
    store();
    clock.set(START_MICROS + 1599);
    try (ClaimTable thirdTable = open(3, BOOT)) {
      assertClaim(Claim.HELD, thirdTable, "renewed");
      assertClaim(Claim.HELD, thirdTable, "taken over");
      assertClaim(Claim.HELD, thirdTable, "key of the other");
      assertClaim(Claim.HELD, thirdTable, "gr\u00fc\u00dfe \u20ac");
      assertClaim(Claim.HELD, thirdTable, "");
      clock.addAndGet(1);
      assertClaim(Claim.GRANTED, thirdTable, "renewed");
      assertClaim(Claim.GRANTED, thirdTable, "key of the other");
      assertClaim(Claim.HELD, thirdTable, "taken over");
      assertClaim(Claim.HELD, thirdTable, "");
    }
    store();
    clock.set(START_MICROS + 1000);
    try (ClaimTable reopened = open(OTHER_OWNER, BOOT)) {
      assertClaim(Claim.GRANTED, reopened, "taken over");
      assertClaim(Claim.HELD, reopened, "renewed");
    }
  }

  @Test
  void clearsRecordedFileOfAnotherBoot() throws IOException {
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
