package mothwing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
  private final ReconnectBackoff backoff = new ReconnectBackoff();

  @Test
  void growsToBoundUntilReset() {
    assertEquals(0, backoff.delayMicros());
    backoff.increase();
    assertEquals(5_000, backoff.delayMicros());
    for (int i = 0; i < 10; i++) {
      backoff.increase();
    }
    assertEquals(500_000, backoff.delayMicros());
    backoff.reset();
    assertEquals(0, backoff.delayMicros());
  }

  @Test
  void isZeroOnlyAfterStableConnection() {
    backoff.connectionEnded(2_000_000);
    assertEquals(0, backoff.delayMicros());
    backoff.connectionEnded(1_999_999);
    assertEquals(5_000, backoff.delayMicros());
    for (int i = 0; i < 10; i++) {
      backoff.increase();
    }
    backoff.connectionEnded(800_000);
    assertEquals(
        100_000, backoff.delayMicros(), "one eighth of the time for which the connection was open");
  }
}
