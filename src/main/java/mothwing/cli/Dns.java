package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import mothwing.server.AsyncLogWriter;
import mothwing.server.DnsService;

/** Runs one DNS server in the foreground until it has drained. */
final class Dns {
  private Dns() {}

  static int run(Path settings, PrintStream out) throws IOException, InterruptedException {
    AsyncLogWriter log = new AsyncLogWriter(out);
    DnsService service = new DnsService(settings, log);
    String sighupProblem = Hangup.handle(service::reload);
    if (sighupProblem != null) {
      log.write("sighup-unavailable what=\"" + sighupProblem + "\"");
    }
    service.start();
    Foreground.leaveOnSignal(service, log);
    service.await();
    return 0;
  }
}
