package mothwing.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mothwing.server.Config;
import mothwing.server.Server;
import mothwing.trial.BrokerFixture;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line, and the configuration it reads. */
class CommandsTest {
  private static final String CONFIG =
      "{'name':'n3','listen':'127.0.0.1:9090','pool':'127.0.0.1:4400',"
          + "'announce':'127.0.0.1:7946','seed':'8c1f30d27a5be964','stop_ms':3200,'limits':{'sockets':1024},"
          + "'settings':{'Round':2000,'Classes':[{'Name':'stock-check','Target':1800000,'GiveUp':4500000,"
          + "'Worth':1.0}],'Extra':{'Cores':6,'Gauges':['cpu_busy'],'Halt':'suspend','Idle':30000000}}}";

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) throws Exception {
    out.reset();
    err.reset();
    return Commands.run(
        arguments,
        new ByteArrayInputStream("{\"SimTime\":5,\"in\":[]}\n".getBytes(StandardCharsets.UTF_8)),
        new PrintStream(out, true),
        new PrintStream(err, true));
  }

  private String config(String text) throws IOException {
    return Files.writeString(folder.resolve("config.json"), text.replace('\'', '"')).toString();
  }

  @Test
  void knowsItsCommands() throws Exception {
    assertEquals(0, run("adapter"));
    assertEquals("{\"out\":[]}\n", out.toString(StandardCharsets.UTF_8));
    assertEquals(0, run("version"));
    assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("mothwing "));
    assertEquals(0, run("help"));
    assertTrue(
        out.toString(StandardCharsets.UTF_8).contains("serve [-a <FILE>] [-c <FILE>]"),
        out::toString);
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("settings check FILE"), out::toString);
    for (String[] wrong :
        List.of(
            new String[0],
            new String[] {"drill"},
            new String[] {"version", "--loud"},
            new String[] {"settings", "check"},
            new String[] {"settings", "check", "none.star"},
            new String[] {"adapter", "more"})) {
      assertEquals(2, run(wrong));
      assertTrue(err.size() > 0 && out.size() == 0);
    }
  }

  @Test
  void checksAConfigurationAndNamesWhatIsWrong() throws Exception {
    assertEquals(0, run("check", "--config", config(CONFIG)), err::toString);
    assertEquals(
        "good: n3 listens on /127.0.0.1:9090, 1 classes, 0 tenants\n",
        out.toString(StandardCharsets.UTF_8));
    String[][] wrongs = {
      {"'pool':'127.0.0.1:4400',", "", "pool"},
      {"127.0.0.1:4400", "pool.svc:4400", "pool"},
      {"127.0.0.1:4400", "127.0.0.1:99999", "pool"},
      {"8c1f30d27a5be964", "zz", "seed"},
      {"'stop_ms':3200", "'stop_ms':'3200'", "stop_ms"},
      {"'Name':'stock-check',", "", "Name"}
    };
    for (String[] wrong : wrongs) {
      assertEquals(2, run("check", "--config", config(CONFIG.replace(wrong[0], wrong[1]))));
      assertTrue(err.toString(StandardCharsets.UTF_8).contains(wrong[2]), err::toString);
      assertEquals(1, err.toString(StandardCharsets.UTF_8).lines().count());
    }
    for (String text : List.of("", "[]", "{", "{'name':")) {
      assertEquals(2, run("check", "--config", config(text)));
      assertEquals(1, err.toString(StandardCharsets.UTF_8).lines().count(), err::toString);
    }
    assertEquals(2, run("serve", "--config", folder.resolve("none").toString()));
  }

  @Test
  void checksASettingsScript() throws Exception {
    Path script = folder.resolve("site.star");
    Files.writeString(script, "ajp(listen = '127.0.0.1:8009')\n");
    assertEquals(0, run("settings", "check", script.toString()), err::toString);
    assertEquals(
        "good: ajp on /127.0.0.1:8009, fleet off, dns off\n", out.toString(StandardCharsets.UTF_8));
    assertEquals(8009, Config.readSite(script).ajp().getPort());
    Files.writeString(script, "ajp(lisen = '127.0.0.1:8009')\n");
    assertEquals(2, run("settings", "check", script.toString()));
    assertEquals(
        "settings check: site.star:1:1: ajp: argument listen is missing\n",
        err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void checksAndComparesZoneFiles() throws Exception {
    String good = "$TTL 60\n@ SOA ns host 1 2 3 4 5\n@ NS ns\nns A 10.0.0.1\n";
    String a = Files.writeString(folder.resolve("a.zone"), good).toString();
    String b =
        Files.writeString(
                folder.resolve("b.zone"),
                good.replace("host 1", "host 2") + "ns A 10.0.0.2\nx A 10.0.0.300\n")
            .toString();
    assertEquals(0, run("zone", "check", a, "--origin", "example.org"), err::toString);
    assertEquals("3 records, 0 refused\n", out.toString(StandardCharsets.UTF_8));
    assertEquals(1, run("zone", "check", b, "--origin", "example.org"));
    assertEquals(
        "b.zone:6: A: Invalid address: 10.0.0.300\n4 records, 1 refused\n",
        out.toString(StandardCharsets.UTF_8));
    assertEquals(1, run("zone", "diff", a, b, "--origin", "example.org"));
    assertEquals(
        "- example.org. 60 SOA ns.example.org. host.example.org. 1 2 3 4 5\n"
            + "+ example.org. 60 SOA ns.example.org. host.example.org. 2 2 3 4 5\n"
            + "+ ns.example.org. 60 A 10.0.0.2\n",
        out.toString(StandardCharsets.UTF_8));
    assertEquals(0, run("zone", "diff", a, a, "--origin", "example.org"));
    assertEquals(2, run("zone", "check", a));
  }

  private Process serve(String file) throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "mothwing.Main",
            "serve",
            "--config",
            file,
            "--ajp",
            Files.writeString(folder.resolve("ajp.json"), "{\"listen\":\"127.0.0.1:0\"}")
                .toString())
        .redirectErrorStream(true)
        .start();
  }

  private static void awaitLine(BufferedReader log, String part) throws IOException {
    String line = "";
    while (!line.contains(part)) {
      line = log.readLine();
      assertNotNull(line, "it ended before " + part);
      assertFalse(line.contains("ajp=off") || line.contains("fault"), line);
    }
  }

  private static String serving(StandInPool pool) {
    return CONFIG
        .replace("127.0.0.1:9090", "127.0.0.1:0")
        .replace("127.0.0.1:4400", "127.0.0.1:" + pool.address().getPort());
  }

  /**
   * The whole process: SIGHUP moves it to a new pool and a broken file changes nothing (the
   * runtime's default would end it), and it takes SIGTERM as the notice to leave and ends well with
   * its counts.
   */
  @Test
  void servesThroughNewConfigurationsUntilItIsToldToLeave() throws Exception {
    try (StandInPool pool = new StandInPool(1);
        StandInPool next = new StandInPool(1)) {
      Process process = serve(config(serving(pool)));
      try (BufferedReader log = process.inputReader()) {
        awaitLine(log, " ready ");
        String[] hangup = {"kill", "-HUP", Long.toString(process.pid())};
        config("{'name':");
        assertEquals(0, new ProcessBuilder(hangup).start().waitFor());
        awaitLine(log, " reload-failed ");
        config(serving(next).replace("'sockets':1024", "'sockets':512"));
        assertEquals(0, new ProcessBuilder(hangup).start().waitFor());
        awaitLine(log, " needs-restart=limits");
        next.awaitLink();
        awaitLine(log, " reason=moved ");
        process
            .toHandle()
            .destroy(); // the signal alone: Process.destroy would close the log as well
        List<String> rest = log.lines().toList();
        assertEquals(0, process.waitFor(), rest::toString);
        assertTrue(
            rest.stream().anyMatch(one -> one.contains(" shutdown-requested pending=0 ")),
            rest::toString);
        assertTrue(rest.get(rest.size() - 1).contains(" counts open=0 pending=0 "), rest::toString);
      } finally {
        process.destroyForcibly();
      }
    }
  }

  @Test
  void asksARunningServerForItsCounters() throws Exception {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (StandInPool pool = new StandInPool(1)) {
      Server server =
          new Server(
              new Config(
                  "n1",
                  any,
                  pool.address(),
                  pool.address(),
                  null,
                  null,
                  3200,
                  256,
                  BrokerFixture.settings(4.5, 2),
                  null),
              null,
              line -> {});
      server.start();
      int port = server.clientAddresses().get(0).getPort();
      assertEquals(0, run("counts", "--server", "127.0.0.1:" + port), err::toString);
      assertTrue(
          out.toString(StandardCharsets.UTF_8).startsWith("open=0 pending=0 "), out::toString);
      assertTrue(out.toString(StandardCharsets.UTF_8).contains("fastcgi-opened=1"), out::toString);
      server.close();
    }
  }
}
