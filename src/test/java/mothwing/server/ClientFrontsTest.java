package mothwing.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Stopping the listeners, and the binds that the stop waits for. */
class ClientFrontsTest {
  private final AtomicInteger stops = new AtomicInteger();
  private final ClientFronts fronts =
      new ClientFronts(
          new EmbeddedChannel().eventLoop(), UnpooledByteBufAllocator.DEFAULT, line -> {});

  @Test
  void waitsForTheStartBeforeStopping() {
    fronts.stop(stops::incrementAndGet);
    assertEquals(0, stops.get());
    fronts.bindFinished();
    assertEquals(1, stops.get());
  }

  @Test
  void stopsAtOnceAfterTheStart() {
    fronts.bindFinished();
    fronts.stop(stops::incrementAndGet);
    assertEquals(1, stops.get());
    assertTrue(fronts.isListening(), "not listening although every front is bound");
  }
}
