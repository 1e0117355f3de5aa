package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import mothwing.server.DnsService;
import mothwing.server.LineLog;

/** Runs one DNS server in the foreground until it has drained. */
final class Dns {
  private Dns() {}

  static int run(Path settings, PrintStream out) throws IOException, InterruptedException {
    LineLog log = new LineLog(out);
    DnsService service = new DnsService(settings, log);
    String noHangups = Hangup.handle(service::reload);
    if (noHangups != null) {
      log.line("no-reloads what=\"" + noHangups + "\"");
    }
    service.start();
    Foreground.leaveOnSignal(service, log);
    service.await();
    return 0;
  }
}
