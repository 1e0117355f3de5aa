package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Counts as the runtime gives them for reads that a signal interrupts. */
class RetryingSocketChannelTest {
  private static final int INTERRUPTED = -3;

  private static int read(Integer... counts) throws Exception {
    ArrayDeque<Integer> all = new ArrayDeque<>(List.of(counts));
    return RetryingSocketChannel.untilRead(() -> all.isEmpty() ? INTERRUPTED : all.remove());
  }

  @Test
  void anInterruptedReadIsTriedAgainAndIsNoEndOfTheStream() throws Exception {
    assertEquals(17, read(INTERRUPTED, INTERRUPTED, 17));
    assertEquals(-1, read(INTERRUPTED, -1));
    assertEquals(0, read(0, 5), "nothing to read");
    assertEquals(0, read(), "interrupted over and over: the selector says so again");
    assertThrows(
        IOException.class,
        () ->
            RetryingSocketChannel.untilRead(
                () -> {
                  throw new IOException("reset");
                }));
  }
}
