package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Read counts as the Java runtime returns them for reads that a signal interrupts. */
class RetryingSocketChannelTest {
  private static final int INTERRUPTED = -3;

  private static int read(Integer... counts) throws Exception {
    ArrayDeque<Integer> remaining = new ArrayDeque<>(List.of(counts));
    return RetryingSocketChannel.readUninterrupted(
        () -> remaining.isEmpty() ? INTERRUPTED : remaining.remove());
  }

  @Test
  void retriesInterruptedReadAndDoesNotReportEndOfStream() throws Exception {
    assertEquals(17, read(INTERRUPTED, INTERRUPTED, 17));
    assertEquals(-1, read(INTERRUPTED, -1));
    assertEquals(0, read(0, 5), "no bytes are available");
    assertEquals(0, read(), "interrupted at every attempt: the selector reports the socket again");
    assertThrows(
        IOException.class,
        () ->
            RetryingSocketChannel.readUninterrupted(
                () -> {
                  throw new IOException("reset");
                }));
  }
}
