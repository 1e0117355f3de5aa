package mothwing.dns.server;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A DNS server as a process of its own, on a port of its choice. */
final class DnsProcess implements AutoCloseable {
  /** Where it serves. */
  final InetSocketAddress address;

  private final Process process;

  DnsProcess(Path folder, String... options) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC"));
    command.addAll(List.of(options));
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "mothwing.Main",
            "dns",
            "--settings",
            folder.resolve("site.star").toString()));
    process = new ProcessBuilder(command).redirectErrorStream(true).start();
    BufferedReader log = process.inputReader();
    String line = log.readLine();
    while (line != null && !line.contains(" dns-ready ")) {
      line = log.readLine();
    }
    assertNotNull(line, "it ended before it was ready");
    address =
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(line.replaceAll(".*listen=/127.0.0.1:([0-9]+).*", "$1")));
    Thread drain =
        new Thread(() -> log.lines().forEach(one -> {})); // what is not read would hold it up
    drain.setDaemon(true);
    drain.start();
  }

  /** Kills it. */
  @Override
  public void close() {
    process.destroyForcibly();
    process.onExit().join();
  }
}
