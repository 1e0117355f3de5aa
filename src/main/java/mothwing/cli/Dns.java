package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import mothwing.server.AsyncLogWriter;
import mothwing.server.DnsService;

/** Runs one DNS server in the foreground until it has drained. */
final class Dns {
  private Dns() {}

  static int run(Path settings, PrintStream out) throws IOException, InterruptedException {
    AsyncLogWriter log = new AsyncLogWriter(out);
    DnsService service = new DnsService(settings, log);
    Optional<String> sighupProblem = Hangup.handle(service::reload);
    sighupProblem.ifPresent(problem -> log.write("sighup-unavailable what=\"" + problem + "\""));
    service.start();
    Foreground.drainOnSignal(service, log);
    service.await();
    return service.hasFailed() ? 1 : 0;
  }
}
