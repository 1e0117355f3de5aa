package mothwing.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import mothwing.cli.Commands;
import mothwing.testing.Loopback;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import mothwing.trial.GatewayConnection;
import mothwing.trial.ServerProcess;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole server on loopback, between stand-in gateways of both fronts and a stand-in pool. */
class ServerTest {
  private static final List<Supplier<Gateway>> FRONTS =
      List.of(Gateway.FastCgi::new, Gateway.Ajp::new);

  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private StandInPool pool;
  private Server server;
  private double deadlineSeconds;
  private InetSocketAddress adminAddress;

  private void start(StandInPool standIn, double deadlineSeconds, InetSocketAddress announce)
      throws IOException {
    pool = standIn;
    this.deadlineSeconds = deadlineSeconds;
    server = new Server(config(pool.address(), announce), Loopback.anyPort(), lines::add);
    server.start();
  }

  private Config config(InetSocketAddress poolAddress, InetSocketAddress announce) {
    return new Config(
        "n1",
        Loopback.anyPort(),
        poolAddress,
        announce,
        null,
        adminAddress,
        3200,
        256,
        BrokerFixture.settings(deadlineSeconds, 2),
        null);
  }

  private void startReady(long workMs, double deadlineSeconds) throws IOException {
    start(new StandInPool(workMs), deadlineSeconds, Loopback.REFUSING);
    awaitPing(200);
  }

  private GatewayConnection connect(Gateway gateway) throws IOException {
    return new GatewayConnection(
        gateway, server.clientAddresses().get(gateway instanceof Gateway.Ajp ? 1 : 0));
  }

  private int ping(GatewayConnection connection) throws IOException {
    connection.send(connection.gateway.request(1, "/ping", "probe=1", Map.of(), new byte[0]));
    return connection.answer().status();
  }

  private void awaitPing(int status) throws IOException {
    try (GatewayConnection connection = connect(new Gateway.Ajp())) {
      while (ping(connection) != status) {
        Thread.onSpinWait();
      }
    }
  }

  private void awaitLine(String prefix) {
    while (List.copyOf(lines).stream().noneMatch(line -> line.startsWith(prefix))) {
      Thread.onSpinWait();
    }
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    pool.close();
    assertTrue(
        List.copyOf(lines).stream().noneMatch(line -> line.contains("fault")),
        () -> String.join("\n", lines));
  }

  @Test
  void passesBodiesAndResultsUnchangedBetweenGatewaysAndPool() throws Exception {
    startReady(1, 4.5);
    byte[] body = new byte[2048];
    for (int i = 0; i < body.length; i++) {
      body[i] = (byte) (i * 7);
    }
    for (Supplier<Gateway> front : FRONTS) {
      try (GatewayConnection connection = connect(front.get())) {
        for (int i = 1; i <= 20; i++) {
          byte[] sent = Arrays.copyOf(body, i % 3 == 0 ? 0 : 2048 - i);
          connection.ask(
              1, BrokerFixture.ORDER, BrokerFixture.id(i + connection.gateway.hashCode()), sent);
          Answer answer = connection.answer();
          assertEquals(200, answer.status());
          assertArrayEquals(StandInPool.made(sent), answer.content());
        }
      }
    }
    assertEquals(40, pool.spawns().size());
  }

  @Test
  void failsAndStopsRunThatMissesItsDeadline() throws Exception {
    startReady(-1, 1);
    for (Supplier<Gateway> front : FRONTS) {
      try (GatewayConnection connection = connect(front.get())) {
        connection.ask(
            1, BrokerFixture.ORDER, BrokerFixture.id(connection.gateway.hashCode()), new byte[9]);
        assertEquals(500, connection.answer().status());
      }
    }
    pool.awaitSuspends(2);
  }

  @Test
  void stopsRunWhenItsCallerDisconnects() throws Exception {
    startReady(-1, 60);
    int disconnected = 0;
    for (Supplier<Gateway> front : FRONTS) {
      GatewayConnection connection = connect(front.get());
      connection.ask(1, BrokerFixture.ORDER, BrokerFixture.id(7 + disconnected), new byte[9]);
      pool.awaitSpawns(++disconnected);
      connection.close();
      pool.awaitSuspends(disconnected);
    }
  }

  /**
   * Guards against the end of a run that is lost with the pool connection, and against a second run
   * of a request that must run once.
   */
  @Test
  void losesNoRunEndAndRepeatsNoRunWhenPoolConnectionBreaks() throws Exception {
    startReady(-1, 60);
    try (GatewayConnection fastCgi = connect(new Gateway.FastCgi());
        GatewayConnection ajp = connect(new Gateway.Ajp())) {
      fastCgi.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2, 3});
      ajp.ask(1, BrokerFixture.LOOK, BrokerFixture.id(2), new byte[] {4, 5});
      pool.awaitSpawns(2);
      pool.cut();
      pool.release();
      assertArrayEquals(new byte[] {3, 2, 1}, fastCgi.answer().content());
      assertArrayEquals(new byte[] {5, 4}, ajp.answer().content());
      assertEquals(1, pool.spawns().get(BrokerFixture.id(1)));
      pool.awaitLink();
      ajp.ask(1, BrokerFixture.LOOK, BrokerFixture.id(3), new byte[] {6});
      pool.awaitSpawns(3);
      pool.release();
      assertEquals(200, ajp.answer().status());
    }
  }

  /**
   * Guards against a change of the pool's address that loses or repeats a run, and against a server
   * that stays connected to the old address.
   */
  @Test
  void losesNoRunWhenPoolAddressChanges() throws Exception {
    startReady(-1, 60);
    try (GatewayConnection fastCgi = connect(new Gateway.FastCgi());
        GatewayConnection ajp = connect(new Gateway.Ajp());
        StandInPool.Door newAddress = pool.door()) {
      fastCgi.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2, 3});
      pool.awaitSpawns(1);
      for (int i = 0; i < 3; i++) { // SIGHUP may arrive repeatedly
        server.reload(config(newAddress.address(), Loopback.REFUSING));
      }
      awaitLine("connection-closed side=pool reason=moved");
      ajp.ask(1, BrokerFixture.ORDER, BrokerFixture.id(2), new byte[] {4, 5});
      pool.awaitSpawns(2);
      pool.release();
      assertArrayEquals(new byte[] {3, 2, 1}, fastCgi.answer().content());
      assertArrayEquals(new byte[] {5, 4}, ajp.answer().content());
      pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
      assertEquals(
          1, List.copyOf(lines).stream().filter(line -> line.contains("reason=moved")).count());
    }
  }

  @Test
  void waitsForPoolThatStartsLate() throws Exception {
    StandInPool standIn = new StandInPool(1);
    standIn.up(false);
    start(standIn, 4.5, Loopback.REFUSING);
    pool.awaitLink();
    for (Supplier<Gateway> front : FRONTS) {
      try (GatewayConnection connection = connect(front.get())) {
        assertEquals(503, ping(connection));
        connection.ask(1, BrokerFixture.LOOK, BrokerFixture.id(1), new byte[0]);
        assertEquals(503, connection.answer().status());
      }
    }
    pool.up(true);
    awaitPing(200);
  }

  @Test
  void answersReadRequestsAndRejectsNewOnesDuringShutdown() throws Exception {
    startReady(-1, 60);
    try (GatewayConnection fastCgi = connect(new Gateway.FastCgi());
        GatewayConnection ajp = connect(new Gateway.Ajp())) {
      fastCgi.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2});
      ajp.ask(1, BrokerFixture.ORDER, BrokerFixture.id(2), new byte[] {3});
      pool.awaitSpawns(2);
      server.drain();
      awaitLine("shutdown-requested ");
      fastCgi.ask(2, BrokerFixture.ORDER, BrokerFixture.id(3), new byte[0]);
      Answer rejection = fastCgi.answer();
      assertEquals(503, rejection.status());
      assertTrue(Long.parseLong(rejection.fields().get("Hold-Off-Ms")) > 0);
      pool.release();
      assertArrayEquals(new byte[] {2, 1}, fastCgi.answer().content());
      assertArrayEquals(new byte[] {3}, ajp.answer().content());
      assertTrue(fastCgi.closedByServer() && ajp.closedByServer());
    }
    server.await();
    assertEquals(2, pool.spawns().size());
    assertTrue(server.counts().contains(" pending=0 "), server.counts());
    assertTrue(server.counts().contains(" completed=2"), server.counts());
  }

  private String runAdminCommand(String line) throws IOException, InterruptedException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Commands.run(
        new String[] {"manage", "--server", "127.0.0.1:" + server.adminAddress().getPort(), line},
        InputStream.nullInputStream(),
        new PrintStream(out),
        System.err);
    return out.toString(StandardCharsets.UTF_8);
  }

  /**
   * Guards against an admin listener that silent clients can block, and against commands that
   * change more than they should.
   */
  @Test
  void executesAdminCommandsDespiteSilentAdminConnections() throws Exception {
    adminAddress = Loopback.anyPort();
    start(new StandInPool(1), 4.5, Loopback.REFUSING);
    awaitLine("takes-clients ");
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      silent.add(new Socket(server.adminAddress().getAddress(), server.adminAddress().getPort()));
    }
    assertEquals("YES\n", runAdminCommand("health"));
    assertEquals("YES\n", runAdminCommand("LEAVE"));
    try (GatewayConnection connection = connect(new Gateway.FastCgi())) {
      assertEquals(503, ping(connection));
      connection.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2});
      assertEquals(200, connection.answer().status());
      server.reloadFailed("on purpose");
      assertEquals("YES\n", runAdminCommand("JOIN"));
      assertEquals(200, ping(connection));
    }
    String statistics = runAdminCommand("DUMP");
    assertTrue(
        statistics.startsWith("{\"completed\":{\"stock-check\":0,\"place-order\":1}"), statistics);
    assertTrue(
        statistics.endsWith(
            "\"pending\":0,\"config_reloads\":0,\"config_reload_errors\":1}\nEND\n"),
        statistics);
    for (Socket socket : silent) {
      socket.close();
    }
  }

  /**
   * Guards against a truncated or invalid configuration file that is applied in part: after any
   * error nothing may change.
   */
  @Test
  void rejectsFaultyConfigurationAsAWholeAndCountsIt(@TempDir Path folder) throws Exception {
    pool = new StandInPool(1);
    String valid = ServerProcess.config(1, 2, pool);
    Path file = Files.writeString(folder.resolve("config.json"), valid);
    Config first = Config.read(file.toString());
    server =
        new Server(
            new Config(
                "n1",
                Loopback.anyPort(),
                pool.address(),
                Loopback.REFUSING,
                null,
                Loopback.anyPort(),
                3200,
                256,
                first.settings(),
                first.source()),
            null,
            lines::add);
    server.start();
    awaitLine("takes-clients ");
    ConfigReloader reloader = new ConfigReloader(file.toString(), first, server);
    List<String> invalid =
        new ArrayList<>(List.of("", "{", valid.substring(0, valid.length() / 2), valid + "{}"));
    for (String deadline :
        List.of("0", "-1", "0.5", "\"4500000\"", "NaN", "\"NaN\"", "1e999", "null", "true", "[]")) {
      invalid.add(valid.replaceFirst("\"GiveUp\":4500000", "\"GiveUp\":" + deadline));
    }
    for (String key : List.of("seed", "limits", "settings", "management", "stop_ms", "pool")) {
      invalid.add(valid.replace("\"" + key + "\"", "\"other\""));
    }
    for (String key :
        List.of("Worth", "GiveUp", "Cores", "DrainGrace", "QuotaPerS", "Tenants", "Classes")) {
      // A configuration is invalid even if only one of its classes lacks the key.
      invalid.add(valid.replaceFirst("\"" + key + "\"", "\"Other\""));
    }
    for (String text : invalid) {
      assertNotEquals(valid, text);
      Files.writeString(file, text);
      reloader.reload();
      awaitCount("reload-failed ", 1 + invalid.indexOf(text));
    }
    Files.writeString(file, valid.replace("stock-check", "stock-look"));
    reloader.reload();
    awaitLine("reload ");
    String statistics = runAdminCommand("DUMP");
    assertTrue(
        statistics.contains("\"config_reloads\":1,\"config_reload_errors\":" + invalid.size()),
        statistics);
    assertTrue(
        statistics.startsWith(
            "{\"completed\":{\"stock-check\":0,\"place-order\":0,\"stock-look\":0}"),
        statistics);
    List.copyOf(lines).stream()
        .filter(line -> line.startsWith("reload-failed"))
        .forEach(
            line ->
                assertTrue(
                    line.contains("field ")
                        || line.contains("JSON")
                        || line.contains("EOF")
                        || line.contains("line "),
                    line));
  }

  private void awaitCount(String prefix, int count) {
    while (List.copyOf(lines).stream().filter(line -> line.startsWith(prefix)).count() < count) {
      Thread.onSpinWait();
    }
  }

  @Test
  void resumesLoadReportsAfterDiscoveryConnectionBreaks() throws Exception {
    CountDownLatch reports = new CountDownLatch(2);
    try (ServerSocket service = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      Thread responder =
          new Thread(
              () -> {
                while (!service.isClosed()) {
                  try (Socket connection = service.accept()) {
                    byte[] buffer = new byte[4096];
                    String text = "";
                    while (!text.endsWith("}")) {
                      text +=
                          new String(
                              buffer,
                              0,
                              connection.getInputStream().read(buffer),
                              StandardCharsets.UTF_8);
                    }
                    if (text.startsWith("PUT /announce/n1 HTTP/1.1\r\n")
                        && text.endsWith("{\"accepting\":\"true\"}")) {
                      connection
                          .getOutputStream()
                          .write(
                              "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                      reports.countDown();
                    }
                  } catch (IOException | IndexOutOfBoundsException broken) {
                    // the next connection follows
                  }
                }
              });
      responder.setDaemon(true);
      responder.start();
      start(new StandInPool(1), 4.5, (InetSocketAddress) service.getLocalSocketAddress());
      reports.await();
    }
  }

  /**
   * Guards against a front that starves under overload: half of the requests come over each front,
   * and requests of equal priority weight must get equal service within a factor of 2.
   */
  @Test
  void servesEqualPriorityWeightsEquallyOverBothFrontsUnderOverload() throws Exception {
    startReady(25, 1.5);
    int requestsPerFront = 40;
    List<GatewayConnection> ajp = new ArrayList<>();
    List<GatewayConnection> fastCgi =
        List.of(connect(new Gateway.FastCgi()), connect(new Gateway.FastCgi()));
    for (int i = 0; i < requestsPerFront; i++) {
      ajp.add(connect(new Gateway.Ajp()));
    }
    int[][] served = new int[2][2];
    int answers = 0;
    int rejected = 0;
    for (int wave = 0; wave < 6; wave++) {
      for (int i = 0; i < requestsPerFront; i++) {
        String requestClass = i % 5 == 0 ? BrokerFixture.ORDER : BrokerFixture.LOOK;
        int number = 1000 * (wave + 1) + 2 * i;
        GatewayConnection first = fastCgi.get(i % 2);
        for (int turn = 0; turn < 2; turn++) { // the fronts alternate in sending first
          if ((turn + i) % 2 == 0) {
            first.ask(1 + i, requestClass, BrokerFixture.id(number), new byte[] {(byte) i});
          } else {
            ajp.get(i).ask(1, requestClass, BrokerFixture.id(number + 1), new byte[] {(byte) i});
          }
        }
      }
      for (int i = 0; i < requestsPerFront; i++) {
        Answer fastCgiAnswer = fastCgi.get(i % 2).answer();
        Answer ajpAnswer = ajp.get(i).answer();
        answers += 2;
        rejected += (fastCgiAnswer.status() == 503 ? 1 : 0) + (ajpAnswer.status() == 503 ? 1 : 0);
        served[0][(fastCgiAnswer.id() - 1) % 5 == 0 ? 1 : 0] +=
            fastCgiAnswer.status() == 200 ? 1 : 0;
        served[1][i % 5 == 0 ? 1 : 0] += ajpAnswer.status() == 200 ? 1 : 0;
      }
    }
    assertEquals(6 * 2 * requestsPerFront, answers);
    String summary = Arrays.deepToString(served) + " rejected " + rejected;
    assertTrue(rejected > 0, "nothing was rejected, so there was no overload: " + summary);
    for (int kind = 0; kind < 2; kind++) {
      int max = Math.max(served[0][kind], served[1][kind]);
      int min = Math.min(served[0][kind], served[1][kind]);
      assertTrue(min > 0 && 2 * min >= max, summary);
    }
    assertTrue(
        served[0][1] + served[1][1] > 0.5 * 6 * 2 * requestsPerFront / 5,
        "too few orders were served although they have the higher priority weight: " + summary);
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
    for (GatewayConnection connection : ajp) {
      connection.close();
    }
  }
}
