package mothwing.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class IdempotencyKeyTest {
  /** Guards against a claim that a process of another version does not recognise. */
  @Test
  void keepsFormatOfClaimText() {
    assertEquals("shop\nsave\nk 1", new IdempotencyKey("shop", "save", "k 1").claimText());
  }
}
