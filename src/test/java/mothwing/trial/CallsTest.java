package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real process whose runs call a tier below, while links between the three break. */
class CallsTest {
  private static final int EACH = 12;

  @TempDir private Path folder;
  private int asked;

  private interface Fault {
    void happens() throws IOException, InterruptedException;
  }

  /**
   * Asks for so many at once, of either class in turn, and gives how many were served; all are
   * answered once.
   */
  private int served(GatewayConnection till, Fault meanwhile)
      throws IOException, InterruptedException {
    for (int i = 1; i <= EACH; i++) {
      String id = BrokerFixture.id(++asked);
      till.ask(
          i,
          i % 2 == 0 ? BrokerFixture.LOOK : BrokerFixture.ORDER,
          id,
          id.getBytes(StandardCharsets.UTF_8));
    }
    meanwhile.happens();
    int served = 0;
    for (int i = 0; i < EACH; i++) {
      served += till.answer().status() == 200 ? 1 : 0;
    }
    return served;
  }

  /**
   * Guards against runs that stand at their call for ever, go on with another one's answer, or call
   * twice where they must not, as the link to the tier below, or to the pool, breaks with calls on
   * it.
   */
  @Test
  void callsAreMadeAcrossBrokenLinks() throws Exception {
    try (SocketChannel port = ServerProcess.port();
        SocketChannel adminPort = ServerProcess.port();
        StandInPool pool = StandInPool.calling(4, 2);
        StandInDependency ledger = new StandInDependency(40);
        ServerProcess server =
            ServerProcess.calling(
                folder,
                ServerProcess.number(port),
                ServerProcess.number(adminPort),
                pool,
                ledger.address())) {
      server.awaitYes();
      InetSocketAddress to =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), ServerProcess.number(port));
      try (GatewayConnection till = new GatewayConnection(new Gateway.FastCgi(), to)) {
        assertEquals(EACH, served(till, () -> {}), server.lines::toString);
        Map<String, Integer> calls = ledger.asked();
        assertTrue(
            calls.size() == EACH && calls.values().stream().allMatch(times -> times == 2),
            calls::toString);

        int cut =
            served(
                till,
                () -> {
                  while (ledger.asked().size() < EACH + 4) {
                    Thread.onSpinWait();
                  }
                  ledger.cut();
                });
        assertTrue(
            cut >= EACH / 2, cut + " served: what may be called again was not, " + server.lines);
        ledger
            .asked()
            .forEach(
                (id, times) ->
                    assertTrue(
                        times <= 2 || Integer.parseInt(id, 16) % 2 == 0,
                        id + " must not call twice, and did so " + times + " times"));

        served(
            till,
            () -> {
              while (ledger.asked().size() < 2 * EACH + 4) {
                Thread.onSpinWait();
              }
              pool.cut();
              pool.awaitLink();
            });
        assertEquals(EACH, served(till, () -> {}), "all is well again");
      }
      assertEquals(List.of(), pool.mistaken());
      pool.spawns()
          .forEach(
              (id, times) ->
                  assertTrue(
                      times == 1 || Integer.parseInt(id, 16) % 2 == 0,
                      id + " is an order and was handed over " + times + " times"));
    }
  }
}
