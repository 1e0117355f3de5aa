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
import mothwing.testing.Crossing;
import mothwing.trial.BrokerFixture;
import mothwing.trial.ServerProcess;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Idle clients without number, before a process that may hold few descriptors, as the announce
 * service says nothing.
 */
@Timeout(120)
class FileDescriptorBudgetTest {
  private static final int LIMIT = 160;
  private static final int CROWD = 300;

  @TempDir private Path folder;

  @Test
  void theLowerOfTwoLimitsHoldsAndAPartIsKept() {
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
      try (Socket call = service.accept()) {
        StringBuilder text = new StringBuilder();
        int next = call.getInputStream().read();
        while (next >= 0 && text.indexOf("}") < 0) {
          text.append((char) next);
          next = text.indexOf("}") < 0 ? call.getInputStream().read() : -1;
        }
        if (text.indexOf("}") > 0) {
          call.getOutputStream()
              .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          return text.toString();
        }
      } catch (IOException reset) {
        // one that was left meanwhile
      }
    }
  }

  /**
   * Guards against idle clients that take every descriptor: who asks is answered, the pool is
   * linked again, reports resume.
   */
  @Test
  void gatewaysAreServedAndLinksReopenedWhileIdleClientsFillTheDescriptors() throws Exception {
    List<Socket> crowd = new ArrayList<>();
    List<String> log = Collections.synchronizedList(new ArrayList<>());
    try (StandInPool pool = new StandInPool(1);
        SocketChannel port = ServerProcess.port();
        SocketChannel door = ServerProcess.port();
        ServerSocket announce = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String config =
          ServerProcess.config(ServerProcess.number(port), ServerProcess.number(door), pool)
              .replace("\"sockets\":256", "\"sockets\":1024")
              .replaceFirst(
                  "\"announce\":\"[^\"]*\"",
                  "\"announce\":\"127.0.0.1:" + announce.getLocalPort() + "\"");
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
        BufferedReader out =
            server.inputReader(); // its lock is the reader's while the process lives: it ends with
        // that
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
                  } catch (UncheckedIOException over) {
                    // the process has been ended
                  }
                });
        reader.setDaemon(true);
        reader.start();
        InetSocketAddress at =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), ServerProcess.number(port));
        for (int i = 0; i < CROWD; i++) {
          crowd.add(new Socket(at.getAddress(), at.getPort()));
        }
        for (int i = 1; i <= 20; i++) {
          try (Crossing gateway = new Crossing(at)) {
            gateway.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(i)));
            assertEquals(200, gateway.answer().status());
          }
          crowd.add(new Socket(at.getAddress(), at.getPort()));
        }
        pool.cut();
        pool.awaitLink();
        assertTrue(report(announce).startsWith("PUT /announce/n1 "));
        assertTrue(report(announce).endsWith("}"), "reports resume");
        try (Crossing gateway = new Crossing(at)) {
          gateway.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(99)));
          assertEquals(200, gateway.answer().status());
        }
        assertTrue(server.isAlive());
        assertTrue(
            List.copyOf(log).stream().noneMatch(line -> line.contains("fault ")),
            () -> String.join("\n", log));
      } finally {
        server.destroyForcibly().waitFor();
        for (Socket one : crowd) {
          one.close();
        }
      }
    }
  }
}
