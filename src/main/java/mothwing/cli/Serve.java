package mothwing.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import mothwing.server.AsyncLogWriter;
import mothwing.server.Config;
import mothwing.server.ConfigReloader;
import mothwing.server.Server;
import mothwing.settings.Site;

/** Runs one shop server in the foreground until it has drained. */
final class Serve {
  private Serve() {}

  static int run(String path, String siteFile, PrintStream out)
      throws IOException, InterruptedException {
    // Netty would look for the logging library of the DNS part first, and load it.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    CompletableFuture<ConfigReloader> started = new CompletableFuture<>();
    Optional<String> sighupProblem =
        Hangup.handle(
            () ->
                started.thenAccept(
                    ConfigReloader::reload)); // early, as an unhandled SIGHUP ends the process
    Config config = Config.read(path);
    AsyncLogWriter log = new AsyncLogWriter(out);
    sighupProblem.ifPresent(problem -> log.write("sighup-unavailable what=\"" + problem + "\""));
    Site site = siteFile == null ? new Site(null, null, null) : Config.readSite(Path.of(siteFile));
    Server server = new Server(config, site.ajp(), log);
    if (site.fleet() != null) {
      server.join(site.fleet());
    }
    Foreground.drainOnSignal(server, log);
    server.start();
    started.complete(new ConfigReloader(path, config, server));
    server.await();
    return server.hasFailed() ? 1 : 0;
  }

  static int check(String path, PrintStream out) throws IOException {
    Config config = Config.read(path);
    out.println(
        "good: "
            + config.name()
            + " listens on "
            + config.listen()
            + ", "
            + config.settings().classes().size()
            + " classes, "
            + config.settings().tenants().size()
            + " tenants");
    return 0;
  }
}
