package mothwing.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.control.Tenant;
import mothwing.testing.BlockingLog;
import mothwing.testing.Loopback;
import mothwing.testing.RawGatewayConnection;
import mothwing.testing.SettingsVariants;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Races between a server and its peers over real sockets, for the rows of docs/races.md that need a
 * whole server. Each test holds the event loop to force the order of events.
 */
@Timeout(120)
class ServerRaceTest {
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_OK = 200;
  private static final int MAX_IDLE_TURNS = 20;

  private final BlockingLog log = new BlockingLog();
  private InetSocketAddress listen = Loopback.anyPort();
  private StandInPool pool;
  private Server server;

  private Config config(Settings settings, int sockets) throws IOException {
    return new Config(
        "n1", listen, pool.address(), Loopback.REFUSING, null, null, 3200, sockets, settings, null);
  }

  private void create(long workMs, int sockets) throws IOException {
    pool = new StandInPool(workMs);
    server = new Server(config(BrokerFixture.settings(60, 2), sockets), null, log);
  }

  private void start(long workMs, int sockets) throws Exception {
    create(workMs, sockets);
    server.start();
    log.awaitLine("ready ");
    // Before the first answered poll the start of an order is in doubt after a reconnect, and the
    // broker would stop the run to find out whether it was started.
    while (!server.counts().contains("pool-notice-gauges=")) {
      Thread.sleep(1);
    }
  }

  private RawGatewayConnection connect() throws IOException {
    return new RawGatewayConnection(server.clientAddresses().get(0));
  }

  /** Opens a connection on which a health check was answered and no request is open. */
  private RawGatewayConnection openIdle() throws IOException {
    RawGatewayConnection client = connect();
    client.send(RawGatewayConnection.ping(1));
    assertEquals(STATUS_OK, client.answer().status());
    return client;
  }

  /** Runs an action and holds the event loop when it then writes a log line with a prefix. */
  private void holdAt(String prefix, Runnable action) throws InterruptedException {
    log.blockAt(prefix);
    action.run();
    log.awaitBlocked();
  }

  /** Holds the event loop at an arbitrary point. */
  private void holdLoop() throws InterruptedException {
    holdAt("reload-failed", () -> server.reloadFailed("the test holds the loop"));
  }

  /**
   * Sends bytes while the event loop is held, and waits until they lie unread in the server's
   * socket.
   */
  private static void sendUnread(RawGatewayConnection gateway, byte[] bytes) throws IOException {
    gateway.send(bytes);
    gateway.awaitUnread(bytes.length);
  }

  /** Sends bytes such that the server finds all of them in one turn of the event loop. */
  private void sendAtOnce(RawGatewayConnection gateway, byte[] bytes) throws Exception {
    holdLoop();
    sendUnread(gateway, bytes);
    log.release();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    pool.close();
    assertTrue(
        log.lines().stream()
            .noneMatch(line -> line.startsWith("fault") || line.startsWith("controller-fault")),
        () -> String.join("\n", log.lines()));
  }

  /**
   * Guards against a close with unread bytes, which resets the connection and loses the answers in
   * flight.
   */
  @Test
  void readsAllInputBeforeClosingAfterAnAnswer() throws Exception {
    start(1, 256);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(RawGatewayConnection.ping(1));
    bytes.writeBytes(new byte[] {9}); // an invalid protocol version
    bytes.writeBytes(new byte[50_000]);
    try (RawGatewayConnection client = connect()) {
      sendAtOnce(client, bytes.toByteArray());
      assertEquals(STATUS_OK, client.answer().status());
      assertTrue(client.endsGracefully(), "the connection was reset");
    }
    log.awaitLine("connection-closed side=fastcgi reason=malformed");
    assertTrue(
        log.lines().stream()
            .anyMatch(
                line ->
                    line.startsWith("connection-closed side=fastcgi reason=malformed")
                        && line.contains(" in=" + bytes.size() + " ")),
        "bytes were unread at the close: " + log.lines());
  }

  /**
   * Guards against a peer that never closes, or never stops sending, after the server has closed
   * its side, and so would hold a descriptor for long.
   */
  @Test
  void endsLingerAfterATimeoutOrTooManyBytes() throws Exception {
    start(1, 256);
    byte[] notTheProtocol = {9, 9, 9, 9, 9, 9, 9, 9};
    try (RawGatewayConnection silent = connect();
        RawGatewayConnection endless = connect()) {
      silent.send(notTheProtocol);
      assertTrue(silent.endsGracefully());
      endless.send(notTheProtocol);
      assertTrue(endless.endsGracefully());
      assertThrows(
          IOException.class,
          () -> {
            while (true) {
              endless.send(new byte[1024]);
            }
          });
      log.awaitLines("connection-closed side=fastcgi reason=malformed", 2);
    }
  }

  /**
   * Guards against a shutdown that closes an idle connection while a request lies unread in its
   * socket.
   */
  @Test
  void answersUnreadRequestWhenShutdownIsRequested() throws Exception {
    start(1, 256);
    try (RawGatewayConnection complete = openIdle();
        RawGatewayConnection incomplete = openIdle()) {
      byte[] request = RawGatewayConnection.request(2, BrokerFixture.ORDER, BrokerFixture.id(2));
      holdAt("shutdown-requested ", server::drain);
      sendUnread(complete, request);
      byte[] splitRequest =
          RawGatewayConnection.request(2, BrokerFixture.ORDER, BrokerFixture.id(3));
      sendUnread(incomplete, Arrays.copyOf(splitRequest, 30));
      log.release();
      assertNotNull(complete.answer(), "closed without an answer");
      assertTrue(complete.endsGracefully());
      incomplete.send(Arrays.copyOfRange(splitRequest, 30, splitRequest.length));
      assertNotNull(incomplete.answer(), "closed in the middle of a request");
      assertTrue(incomplete.endsGracefully());
    }
    server.await();
    assertTrue(server.counts().contains(" pending=0 "), server.counts());
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }

  /**
   * Sends requests until the server stops reading because its answers are not read, and returns the
   * number of requests sent.
   */
  private int fill(RawGatewayConnection client) throws IOException {
    int requestsSent = 0;
    for (int idleTurns = 0; idleTurns < MAX_IDLE_TURNS; ) {
      ByteArrayOutputStream requests = new ByteArrayOutputStream();
      for (int i = 1; i <= 30; i++) {
        requests.writeBytes(RawGatewayConnection.statistics(i));
      }
      client.send(requests.toByteArray());
      requestsSent += 30;
      idleTurns = 0;
      while (client.unreadBytes() > 0 && idleTurns < MAX_IDLE_TURNS) {
        server.counts(); // takes a turn of the event loop
        idleTurns++;
      }
    }
    return requestsSent;
  }

  /**
   * Guards against a full socket buffer: the server reads nothing meanwhile, so a connection with
   * requests in its socket seems idle.
   */
  @Test
  void answersUnreadRequestsBehindFullSocketBufferWhenShutdownIsRequested() throws Exception {
    start(1, 256);
    try (RawGatewayConnection client =
        new RawGatewayConnection(server.clientAddresses().get(0), 4096)) {
      int requestsSent = fill(client);
      holdAt("shutdown-requested ", server::drain);
      client.awaitUnread(1);
      log.release();
      for (int i = 0; i < requestsSent; i++) {
        assertNotNull(client.answer(), "closed without answer " + i + " of " + requestsSent);
      }
      assertTrue(client.endsGracefully());
    }
    server.await();
  }

  /**
   * Guards against a shutdown that closes the listener while a connection waits to be accepted and
   * its request is already sent.
   */
  @Test
  void answersClientInBacklogWhenShutdownIsRequested() throws Exception {
    start(1, 256);
    InetSocketAddress address = server.clientAddresses().get(0);
    holdLoop();
    server.drain();
    try (RawGatewayConnection client = new RawGatewayConnection(address);
        RawGatewayConnection silent = new RawGatewayConnection(address)) {
      byte[] request = RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(1));
      sendUnread(client, request);
      log.release();
      assertNotNull(client.answer(), "closed without an answer");
      assertTrue(client.endsGracefully() && silent.endsGracefully());
    }
    server.await();
    assertTrue(server.counts().contains(" pending=0 "), server.counts());
  }

  /**
   * Guards against the idle limit closing a connection while a request lies unread in its socket.
   * Here a reload lowers the limit to 1 µs in the same turn in which the request arrives.
   */
  @Test
  void answersUnreadRequestWhenIdleLimitExpires() throws Exception {
    start(1, 256);
    try (RawGatewayConnection client = openIdle();
        RawGatewayConnection otherClient = openIdle()) {
      byte[] request = RawGatewayConnection.request(2, BrokerFixture.LOOK, BrokerFixture.id(2));
      holdLoop();
      server.reload(
          config(SettingsVariants.withIdleTimeout(BrokerFixture.settings(60, 2), 1), 256));
      sendUnread(client, request);
      log.release();
      Answer answer = client.answer();
      assertNotNull(answer, "closed without an answer");
      assertEquals(STATUS_OK, answer.status());
      assertTrue(otherClient.endsGracefully() && client.endsGracefully());
    }
  }

  /**
   * Guards against the eviction of a connection while a request lies unread in its socket. Here the
   * limit is one connection, and the new connection arrives before the request.
   */
  @Test
  void answersUnreadRequestOfConnectionToBeEvicted() throws Exception {
    start(1, 33);
    try (RawGatewayConnection client = openIdle()) {
      byte[] request = RawGatewayConnection.request(2, BrokerFixture.LOOK, BrokerFixture.id(2));
      holdLoop();
      try (RawGatewayConnection newConnection = connect()) {
        sendUnread(client, request);
        log.release();
        Answer answer = client.answer();
        assertNotNull(answer, "closed without an answer");
        assertEquals(STATUS_OK, answer.status());
        assertNull(newConnection.answer());
      }
    }
    try (RawGatewayConnection next = openIdle();
        RawGatewayConnection after = openIdle()) { // the second connection evicts the first
      assertTrue(next.endsGracefully());
      after.send(RawGatewayConnection.ping(2));
      assertEquals(STATUS_OK, after.answer().status());
    }
  }

  /**
   * Guards against a listener that is bound after the shutdown: clients that connect there would be
   * reset when the process ends.
   */
  @Test
  void waitsForBindsWhenShutdownIsRequestedDuringStart() throws Exception {
    // An address at which no other test or client takes the port after its release.
    listen = new InetSocketAddress("127.0.83.1", 0);
    create(1, 256);
    server.drain();
    server.start();
    InetSocketAddress previous = server.clientAddresses().get(0);
    server.await();
    assertThrows(ConnectException.class, () -> new RawGatewayConnection(previous).close());
    assertTrue(log.lines().contains("shutdown-complete pending=0"), log.lines()::toString);
  }

  /**
   * Guards against losing or repeating a run whose start or end is in flight between server and
   * pool when a shutdown is requested twice.
   */
  @Test
  void runsRequestInFlightOnceDuringGracefulShutdown() throws Exception {
    start(-1, 256);
    try (RawGatewayConnection client = connect();
        RawGatewayConnection secondClient = connect()) {
      client.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      pool.awaitSpawns(1);
      holdAt("shutdown-requested ", server::drain);
      pool.release(); // the end of the run lies unread in the socket of the pool connection
      server.drain();
      secondClient.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(2)));
      log.release();
      Answer served = client.answer();
      assertEquals(STATUS_OK, served.status());
      assertArrayEquals(new byte[] {3, 2, 1}, served.content());
      Answer rejected = secondClient.answer();
      assertEquals(STATUS_UNAVAILABLE, rejected.status());
      assertTrue(client.endsGracefully() && secondClient.endsGracefully());
    }
    server.await();
    assertEquals(1, pool.spawns().size());
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }

  /**
   * Guards against a reload during a shutdown that reopens connections, or replaces the classes so
   * that open requests may no longer run.
   */
  @Test
  void keepsOpenRequestsWhenReloadedDuringShutdown() throws Exception {
    start(-1, 256);
    try (RawGatewayConnection client = connect()) {
      client.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      pool.awaitSpawns(1);
      holdAt("shutdown-requested ", server::drain);
      Settings previous = BrokerFixture.settings(60, 2);
      RequestClass replacement =
          new RequestClass(
              "other", 1, 1_000, 1, 0, previous.classes().get(0).idempotency(), 0, false, 0);
      server.reload(
          config(
              SettingsVariants.withClassesAndTenants(
                  previous, List.of(replacement), List.of(new Tenant("two", 1))),
              256));
      log.release();
      log.awaitLine("reload ");
      pool.release();
      assertEquals(STATUS_OK, client.answer().status());
    }
    server.await();
  }

  /**
   * Guards against confusing two requests with the same id on a connection when an abort crosses
   * the answer to the first.
   */
  @Test
  void answersEachRequestWhenAnIdIsReusedAfterAnAbort() throws Exception {
    start(-1, 256);
    try (RawGatewayConnection client = connect()) {
      client.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      pool.awaitSpawns(1);
      holdLoop();
      pool.release(); // the answer of the first is ready in the same turn as its abort
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(Gateway.FastCgi.abort(1));
      bytes.writeBytes(RawGatewayConnection.ping(1));
      client.send(bytes.toByteArray());
      client.awaitUnread(bytes.size());
      log.release();
      // The answer to the first request: its result, or the answer to the abort.
      assertNotNull(client.answer());
      Answer second = client.answer();
      assertEquals(STATUS_OK, second.status());
      assertEquals(0, second.content().length);
    }
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }

  /**
   * Guards against a reset by one client that crosses its answer and loses the answers of other
   * clients.
   */
  @Test
  void answersOtherClientsWhenAResetCrossesAnAnswer() throws Exception {
    start(-1, 256);
    try (RawGatewayConnection otherClient = connect()) {
      RawGatewayConnection client = connect();
      client.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      otherClient.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(2)));
      pool.awaitSpawns(2);
      holdLoop();
      pool.release();
      client.reset();
      log.release();
      assertEquals(STATUS_OK, otherClient.answer().status());
      while (!server.counts().contains("open=0 ")) {
        Thread.sleep(1); // the end of the other run may arrive a moment later
      }
    }
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }
}
