package mothwing.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import mothwing.testing.BlockingLog;
import mothwing.testing.Loopback;
import mothwing.testing.RawGatewayConnection;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A gateway over real sockets that falls quiet within a request, beside complete requests on the
 * same connection.
 */
@Timeout(120)
class HalfSentRequestTest {
  private static final int SOCKETS = 256;
  private static final int IDLE_CLIENTS = 300;

  /** The record that ends the body, and the last byte of the record before it. */
  private static final int MISSING_BYTES = 9;

  private final BlockingLog log = new BlockingLog();
  private StandInPool pool;
  private Server server;
  private RawGatewayConnection gateway;
  private byte[] missing;

  /** Starts a server whose runs end on demand, with two orders and a cut request open. */
  @BeforeEach
  void cutRequest() throws Exception {
    pool = new StandInPool(-1);
    Config config =
        new Config(
            "n1",
            Loopback.anyPort(),
            pool.address(),
            Loopback.REFUSING,
            null,
            null,
            3200,
            SOCKETS,
            BrokerFixture.settings(60, 2),
            null);
    server = new Server(config, null, log);
    server.start();
    log.awaitLine("ready ");
    gateway = new RawGatewayConnection(server.clientAddresses().get(0));
    for (int id = 1; id <= 2; id++) {
      gateway.send(RawGatewayConnection.request(id, BrokerFixture.ORDER, BrokerFixture.id(id)));
    }
    pool.awaitSpawns(2);
    byte[] cut = RawGatewayConnection.request(3, BrokerFixture.LOOK, BrokerFixture.id(3));
    gateway.send(Arrays.copyOf(cut, cut.length - MISSING_BYTES));
    missing = Arrays.copyOfRange(cut, cut.length - MISSING_BYTES, cut.length);
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    server.close();
    pool.close();
  }

  private void expectTimeoutOfCutRequest() throws IOException {
    Answer answer = gateway.answer();
    assertEquals(3, answer.id());
    assertEquals(408, answer.status());
  }

  private void expectResultsOfOrders() throws Exception {
    pool.release();
    Answer first = gateway.answer();
    Answer second = gateway.answer();
    assertEquals(Set.of(1, 2), Set.of(first.id(), second.id()));
    assertEquals(List.of(200, 200), List.of(first.status(), second.status()));
  }

  /** Guards against orders that are lost, or a descriptor that is held, beside idle clients. */
  @Test
  void answersCompleteRequestsAndGivesWayToIdleClients() throws Exception {
    expectTimeoutOfCutRequest();
    InetSocketAddress address = server.clientAddresses().get(0);
    List<Socket> idleClients = new ArrayList<>();
    try {
      for (int i = 0; i < IDLE_CLIENTS; i++) {
        idleClients.add(new Socket(address.getAddress(), address.getPort()));
      }
      expectResultsOfOrders();
      gateway.send(missing);
      gateway.send(RawGatewayConnection.ping(3));
      assertEquals(200, gateway.answer().status(), "the connection can be used again");
    } finally {
      for (Socket client : idleClients) {
        client.close();
      }
    }
  }

  /** Guards against a shutdown that loses the orders, or that waits for the cut request. */
  @Test
  void answersCompleteRequestsAndEndsInAShutdown() throws Exception {
    expectTimeoutOfCutRequest();
    server.drain();
    log.awaitLine("shutdown-requested");
    expectResultsOfOrders();
    assertNull(gateway.answer(), "the connection is closed");
    server.await();
    assertTrue(
        log.lines().stream().anyMatch(line -> line.startsWith("shutdown-complete pending=0")),
        () -> String.join("\n", log.lines()));
  }
}
