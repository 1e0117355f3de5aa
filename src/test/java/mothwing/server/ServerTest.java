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
  private double patience;
  private InetSocketAddress door;

  private void start(StandInPool with, double patience, InetSocketAddress announce)
      throws IOException {
    pool = with;
    this.patience = patience;
    server = new Server(config(pool.address(), announce), Loopback.any(), lines::add);
    server.start();
  }

  private Config config(InetSocketAddress poolAt, InetSocketAddress announce) {
    return new Config(
        "n1",
        Loopback.any(),
        poolAt,
        announce,
        null,
        door,
        3200,
        256,
        BrokerFixture.settings(patience, 2),
        null);
  }

  private void startReady(long workMs, double patience) throws IOException {
    start(new StandInPool(workMs), patience, Loopback.NOBODY);
    awaitPing(200);
  }

  private GatewayConnection till(Gateway gateway) throws IOException {
    return new GatewayConnection(
        gateway, server.clientAddresses().get(gateway instanceof Gateway.Ajp ? 1 : 0));
  }

  private int ping(GatewayConnection till) throws IOException {
    till.send(till.gateway.request(1, "/ping", "probe=1", Map.of(), new byte[0]));
    return till.answer().status();
  }

  private void awaitPing(int status) throws IOException {
    try (GatewayConnection till = till(new Gateway.Ajp())) {
      while (ping(till) != status) {
        Thread.onSpinWait();
      }
    }
  }

  private void awaitLine(String start) {
    while (List.copyOf(lines).stream().noneMatch(line -> line.startsWith(start))) {
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
  void aRequestGoesThroughToThePoolAndItsResultBackUnchanged() throws Exception {
    startReady(1, 4.5);
    byte[] body = new byte[2048];
    for (int i = 0; i < body.length; i++) {
      body[i] = (byte) (i * 7);
    }
    for (Supplier<Gateway> front : FRONTS) {
      try (GatewayConnection till = till(front.get())) {
        for (int i = 1; i <= 20; i++) {
          byte[] sent = Arrays.copyOf(body, i % 3 == 0 ? 0 : 2048 - i);
          till.ask(1, BrokerFixture.ORDER, BrokerFixture.id(i + till.gateway.hashCode()), sent);
          Answer answer = till.answer();
          assertEquals(200, answer.status());
          assertArrayEquals(StandInPool.made(sent), answer.content());
        }
      }
    }
    assertEquals(40, pool.spawns().size());
  }

  @Test
  void whatThePoolDoesNotEndFailsByItsDueTimeAndIsStopped() throws Exception {
    startReady(-1, 1);
    for (Supplier<Gateway> front : FRONTS) {
      try (GatewayConnection till = till(front.get())) {
        till.ask(1, BrokerFixture.ORDER, BrokerFixture.id(till.gateway.hashCode()), new byte[9]);
        assertEquals(500, till.answer().status());
      }
    }
    pool.awaitSuspends(2);
  }

  @Test
  void aCallerThatLeavesEndsItsRun() throws Exception {
    startReady(-1, 60);
    int left = 0;
    for (Supplier<Gateway> front : FRONTS) {
      GatewayConnection till = till(front.get());
      till.ask(1, BrokerFixture.ORDER, BrokerFixture.id(7 + left), new byte[9]);
      pool.awaitSpawns(++left);
      till.close();
      pool.awaitSuspends(left);
    }
  }

  /**
   * Guards against a run's end that is lost with the link, and against a second run of what must
   * run once.
   */
  @Test
  void aBrokenLinkLosesNoEndAndRepeatsNoRun() throws Exception {
    startReady(-1, 60);
    try (GatewayConnection one = till(new Gateway.FastCgi());
        GatewayConnection two = till(new Gateway.Ajp())) {
      one.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2, 3});
      two.ask(1, BrokerFixture.LOOK, BrokerFixture.id(2), new byte[] {4, 5});
      pool.awaitSpawns(2);
      pool.cut();
      pool.release();
      assertArrayEquals(new byte[] {3, 2, 1}, one.answer().content());
      assertArrayEquals(new byte[] {5, 4}, two.answer().content());
      assertEquals(1, pool.spawns().get(BrokerFixture.id(1)));
      pool.awaitLink();
      two.ask(1, BrokerFixture.LOOK, BrokerFixture.id(3), new byte[] {6});
      pool.awaitSpawns(3);
      pool.release();
      assertEquals(200, two.answer().status());
    }
  }

  /**
   * Guards against a run that a new address of the pool loses or repeats, and against a server that
   * stays behind.
   */
  @Test
  void aNewAddressOfThePoolLosesNoRun() throws Exception {
    startReady(-1, 60);
    try (GatewayConnection one = till(new Gateway.FastCgi());
        GatewayConnection two = till(new Gateway.Ajp());
        StandInPool.Door door = pool.door()) {
      one.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2, 3});
      pool.awaitSpawns(1);
      for (int i = 0; i < 3; i++) { // the signal may repeat
        server.reload(config(door.address(), Loopback.NOBODY));
      }
      awaitLine("connection-closed side=pool reason=moved");
      two.ask(1, BrokerFixture.ORDER, BrokerFixture.id(2), new byte[] {4, 5});
      pool.awaitSpawns(2);
      pool.release();
      assertArrayEquals(new byte[] {3, 2, 1}, one.answer().content());
      assertArrayEquals(new byte[] {5, 4}, two.answer().content());
      pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
      assertEquals(
          1, List.copyOf(lines).stream().filter(line -> line.contains("reason=moved")).count());
    }
  }

  @Test
  void aPoolThatComesUpLateIsWaitedFor() throws Exception {
    StandInPool late = new StandInPool(1);
    late.up(false);
    start(late, 4.5, Loopback.NOBODY);
    pool.awaitLink();
    for (Supplier<Gateway> front : FRONTS) {
      try (GatewayConnection till = till(front.get())) {
        assertEquals(503, ping(till));
        till.ask(1, BrokerFixture.LOOK, BrokerFixture.id(1), new byte[0]);
        assertEquals(503, till.answer().status());
      }
    }
    pool.up(true);
    awaitPing(200);
  }

  @Test
  void theNoticeToLeaveAnswersWhatWasReadAndRunsNothingNew() throws Exception {
    startReady(-1, 60);
    try (GatewayConnection one = till(new Gateway.FastCgi());
        GatewayConnection two = till(new Gateway.Ajp())) {
      one.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2});
      two.ask(1, BrokerFixture.ORDER, BrokerFixture.id(2), new byte[] {3});
      pool.awaitSpawns(2);
      server.drain();
      awaitLine("shutdown-requested ");
      one.ask(2, BrokerFixture.ORDER, BrokerFixture.id(3), new byte[0]);
      Answer refusal = one.answer();
      assertEquals(503, refusal.status());
      assertTrue(Long.parseLong(refusal.fields().get("Hold-Off-Ms")) > 0);
      pool.release();
      assertArrayEquals(new byte[] {2, 1}, one.answer().content());
      assertArrayEquals(new byte[] {3}, two.answer().content());
      assertTrue(one.closedByServer() && two.closedByServer());
    }
    server.await();
    assertEquals(2, pool.spawns().size());
    assertTrue(server.counts().contains(" pending=0 "), server.counts());
    assertTrue(server.counts().contains(" completed=2"), server.counts());
  }

  private String call(String line) throws IOException, InterruptedException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Commands.run(
        new String[] {"manage", "--server", "127.0.0.1:" + server.adminAddress().getPort(), line},
        InputStream.nullInputStream(),
        new PrintStream(out),
        System.err);
    return out.toString(StandardCharsets.UTF_8);
  }

  /**
   * Guards against a door that callers who say nothing can block, and against calls that change
   * what they should not.
   */
  @Test
  void operatorsAskAndTellThroughADoorThatSilentCallersCannotBlock() throws Exception {
    door = Loopback.any();
    start(new StandInPool(1), 4.5, Loopback.NOBODY);
    awaitLine("takes-clients ");
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      silent.add(new Socket(server.adminAddress().getAddress(), server.adminAddress().getPort()));
    }
    assertEquals("YES\n", call("health"));
    assertEquals("YES\n", call("LEAVE"));
    try (GatewayConnection till = till(new Gateway.FastCgi())) {
      assertEquals(503, ping(till));
      till.ask(1, BrokerFixture.ORDER, BrokerFixture.id(1), new byte[] {1, 2});
      assertEquals(200, till.answer().status());
      server.reloadFailed("on purpose");
      assertEquals("YES\n", call("JOIN"));
      assertEquals(200, ping(till));
    }
    String figures = call("DUMP");
    assertTrue(figures.startsWith("{\"completed\":{\"stock-check\":0,\"place-order\":1}"), figures);
    assertTrue(
        figures.endsWith("\"pending\":0,\"config_reloads\":0,\"config_reload_errors\":1}\nEND\n"),
        figures);
    for (Socket one : silent) {
      one.close();
    }
  }

  /**
   * Guards against a file that is cut, or means nothing, and is taken in part: whatever is wrong,
   * nothing changes.
   */
  @Test
  void aFaultyFileIsTurnedDownWholeAndCounted(@TempDir Path folder) throws Exception {
    pool = new StandInPool(1);
    String good = ServerProcess.config(1, 2, pool);
    Path file = Files.writeString(folder.resolve("config.json"), good);
    Config first = Config.read(file.toString());
    server =
        new Server(
            new Config(
                "n1",
                Loopback.any(),
                pool.address(),
                Loopback.NOBODY,
                null,
                Loopback.any(),
                3200,
                256,
                first.settings(),
                first.source()),
            null,
            lines::add);
    server.start();
    awaitLine("takes-clients ");
    ConfigReloader reload = new ConfigReloader(file.toString(), first, server);
    List<String> wrong =
        new ArrayList<>(List.of("", "{", good.substring(0, good.length() / 2), good + "{}"));
    for (String deadline :
        List.of("0", "-1", "0.5", "\"4500000\"", "NaN", "\"NaN\"", "1e999", "null", "true", "[]")) {
      wrong.add(good.replaceFirst("\"GiveUp\":4500000", "\"GiveUp\":" + deadline));
    }
    for (String key : List.of("seed", "limits", "settings", "management", "stop_ms", "pool")) {
      wrong.add(good.replace("\"" + key + "\"", "\"other\""));
    }
    for (String key :
        List.of("Worth", "GiveUp", "Cores", "DrainGrace", "QuotaPerS", "Tenants", "Classes")) {
      wrong.add(
          good.replaceFirst("\"" + key + "\"", "\"Other\"")); // also where only one class lacks it
    }
    for (String text : wrong) {
      assertNotEquals(good, text);
      Files.writeString(file, text);
      reload.reload();
      awaitCount("reload-failed ", 1 + wrong.indexOf(text));
    }
    Files.writeString(file, good.replace("stock-check", "stock-look"));
    reload.reload();
    awaitLine("reload ");
    String figures = call("DUMP");
    assertTrue(
        figures.contains("\"config_reloads\":1,\"config_reload_errors\":" + wrong.size()), figures);
    assertTrue(
        figures.startsWith("{\"completed\":{\"stock-check\":0,\"place-order\":0,\"stock-look\":0}"),
        figures);
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

  private void awaitCount(String start, int many) {
    while (List.copyOf(lines).stream().filter(line -> line.startsWith(start)).count() < many) {
      Thread.onSpinWait();
    }
  }

  @Test
  void reportsToTheAnnounceServiceAgainAfterItsConnectionBroke() throws Exception {
    CountDownLatch reports = new CountDownLatch(2);
    try (ServerSocket service = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      Thread answers =
          new Thread(
              () -> {
                while (!service.isClosed()) {
                  try (Socket call = service.accept()) {
                    byte[] came = new byte[4096];
                    String text = "";
                    while (!text.endsWith("}")) {
                      text +=
                          new String(
                              came, 0, call.getInputStream().read(came), StandardCharsets.UTF_8);
                    }
                    if (text.startsWith("PUT /announce/n1 HTTP/1.1\r\n")
                        && text.endsWith("{\"accepting\":\"true\"}")) {
                      call.getOutputStream()
                          .write(
                              "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                      reports.countDown();
                    }
                  } catch (IOException | IndexOutOfBoundsException broken) {
                    // the next call follows
                  }
                }
              });
      answers.setDaemon(true);
      answers.start();
      start(new StandInPool(1), 4.5, (InetSocketAddress) service.getLocalSocketAddress());
      reports.await();
    }
  }

  /**
   * Half of a rush comes over each front: what is worth the same gets the same, and neither front
   * starves.
   */
  @Test
  void anEidRushGetsEqualServiceForEqualWorthOverBothFronts() throws Exception {
    startReady(25, 1.5);
    int wide = 40;
    List<GatewayConnection> ajp = new ArrayList<>();
    List<GatewayConnection> fast =
        List.of(till(new Gateway.FastCgi()), till(new Gateway.FastCgi()));
    for (int i = 0; i < wide; i++) {
      ajp.add(till(new Gateway.Ajp()));
    }
    int[][] served = new int[2][2];
    int answers = 0;
    int refused = 0;
    for (int wave = 0; wave < 6; wave++) {
      for (int i = 0; i < wide; i++) {
        String kind = i % 5 == 0 ? BrokerFixture.ORDER : BrokerFixture.LOOK;
        int number = 1000 * (wave + 1) + 2 * i;
        GatewayConnection first = fast.get(i % 2);
        for (int turn = 0; turn < 2; turn++) { // the fronts take turns at coming first
          if ((turn + i) % 2 == 0) {
            first.ask(1 + i, kind, BrokerFixture.id(number), new byte[] {(byte) i});
          } else {
            ajp.get(i).ask(1, kind, BrokerFixture.id(number + 1), new byte[] {(byte) i});
          }
        }
      }
      for (int i = 0; i < wide; i++) {
        Answer one = fast.get(i % 2).answer();
        Answer two = ajp.get(i).answer();
        answers += 2;
        refused += (one.status() == 503 ? 1 : 0) + (two.status() == 503 ? 1 : 0);
        served[0][(one.id() - 1) % 5 == 0 ? 1 : 0] += one.status() == 200 ? 1 : 0;
        served[1][i % 5 == 0 ? 1 : 0] += two.status() == 200 ? 1 : 0;
      }
    }
    assertEquals(6 * 2 * wide, answers);
    String all = Arrays.deepToString(served) + " refused " + refused;
    assertTrue(refused > 0, "it is a rush: " + all);
    for (int worth = 0; worth < 2; worth++) {
      int most = Math.max(served[0][worth], served[1][worth]);
      int least = Math.min(served[0][worth], served[1][worth]);
      assertTrue(least > 0 && 2 * least >= most, all);
    }
    assertTrue(
        served[0][1] + served[1][1] > 0.5 * 6 * 2 * wide / 5, "orders are worth more: " + all);
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
    for (GatewayConnection till : ajp) {
      till.close();
    }
  }
}
