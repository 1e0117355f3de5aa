package mothwing.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import mothwing.testing.RawGatewayConnection;
import mothwing.trial.BrokerFixture;
import mothwing.trial.ServerProcess;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The limits and the reserve of file descriptors, and a server with few descriptors under many idle
 * clients while the discovery service does not answer.
 */
@Timeout(120)
class FileDescriptorBudgetTest {
  private static final int LIMIT = 160;
  private static final int IDLE_CLIENTS = 300;

  @TempDir private Path folder;

  @Test
  void appliesLowerLimitAndReservesDescriptors() {
    List<String> table =
        List.of(
            "Limit                     Soft Limit           Hard Limit           Units     ",
            "Max open files            512                  4096                 files     ");
    assertEquals(512, FileDescriptorBudget.limit(table, 1024));
    assertEquals(
        7,
        FileDescriptorBudget.limit(
            List.of("Max open files            unlimited unlimited files"), 7));
    assertEquals(7, FileDescriptorBudget.limit(List.of(), 7));
    assertEquals(64, FileDescriptorBudget.reserved(1024, 16));
    assertEquals(50, FileDescriptorBudget.reserved(200, 16));
    assertEquals(40, FileDescriptorBudget.reserved(33, 16));
    assertEquals(124, FileDescriptorBudget.reserved(1024, 100));
    assertTrue(FileDescriptorBudget.openNow() > 3);
  }

  private static String report(ServerSocket service) throws IOException {
    while (true) {
      try (Socket connection = service.accept()) {
        StringBuilder text = new StringBuilder();
        int next = connection.getInputStream().read();
        while (next >= 0 && text.indexOf("}") < 0) {
          text.append((char) next);
          next = text.indexOf("}") < 0 ? connection.getInputStream().read() : -1;
        }
        if (text.indexOf("}") > 0) {
          connection
              .getOutputStream()
              .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          return text.toString();
        }
      } catch (IOException reset) {
        // a connection that the server has given up meanwhile
      }
    }
  }

  /**
   * Guards against idle clients that take every descriptor: requests must be answered, the pool
   * connection reopened, and load reports resumed.
   */
  @Test
  void servesGatewaysAndReconnectsWhileIdleClientsTakeAllDescriptors() throws Exception {
    List<Socket> idleClients = new ArrayList<>();
    List<String> log = Collections.synchronizedList(new ArrayList<>());
    try (StandInPool pool = new StandInPool(1);
        SocketChannel clientPort = ServerProcess.port();
        SocketChannel adminPort = ServerProcess.port();
        ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String config =
          ServerProcess.config(
                  ServerProcess.number(clientPort), ServerProcess.number(adminPort), pool)
              .replace("\"sockets\":256", "\"sockets\":1024")
              .replaceFirst(
                  "\"announce\":\"[^\"]*\"",
                  "\"announce\":\"127.0.0.1:" + discovery.getLocalPort() + "\"");
      assertTrue(config.contains("\"sockets\":1024"));
      Path file = Files.writeString(folder.resolve("config.json"), config);
      Process server =
          new ProcessBuilder(
                  "/bin/sh",
                  "-c",
                  "ulimit -n " + LIMIT + "; exec \"$@\"",
                  "sh",
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  "mothwing.Main",
                  "serve",
                  "--config",
                  file.toString())
              .redirectErrorStream(true)
              .start();
      try {
        // Not closed here: the thread below holds the lock of the reader until the process ends.
        BufferedReader out = server.inputReader();
        for (String line = out.readLine();
            !line.contains(" takes-clients ");
            line = out.readLine()) {
          log.add(line);
        }
        Thread reader =
            new Thread(
                () -> {
                  try {
                    out.lines().forEach(log::add);
                  } catch (UncheckedIOException ended) {
                    // the process has ended
                  }
                });
        reader.setDaemon(true);
        reader.start();
        InetSocketAddress address =
            new InetSocketAddress(
                InetAddress.getLoopbackAddress(), ServerProcess.number(clientPort));
        for (int i = 0; i < IDLE_CLIENTS; i++) {
          idleClients.add(new Socket(address.getAddress(), address.getPort()));
        }
        for (int i = 1; i <= 20; i++) {
          try (RawGatewayConnection gateway = new RawGatewayConnection(address)) {
            gateway.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(i)));
            assertEquals(200, gateway.answer().status());
          }
          idleClients.add(new Socket(address.getAddress(), address.getPort()));
        }
        pool.cut();
        pool.awaitLink();
        assertTrue(report(discovery).startsWith("PUT /announce/n1 "));
        assertTrue(report(discovery).endsWith("}"), "load reports have not resumed");
        try (RawGatewayConnection gateway = new RawGatewayConnection(address)) {
          gateway.send(RawGatewayConnection.request(1, BrokerFixture.ORDER, BrokerFixture.id(99)));
          assertEquals(200, gateway.answer().status());
        }
        assertTrue(server.isAlive());
        assertTrue(
            List.copyOf(log).stream().noneMatch(line -> line.contains("fault ")),
            () -> String.join("\n", log));
      } finally {
        server.destroyForcibly().waitFor();
        for (Socket client : idleClients) {
          client.close();
        }
      }
    }
  }
}
