package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import mothwing.broker.Log;
import mothwing.server.Config;
import mothwing.server.Server;

/** Runs one shop server in the foreground until it has drained. */
final class Serve {
    private Serve() {
    }

    static int run(String path, String ajp, PrintStream out) throws IOException, InterruptedException {
        Config config;
        try (Reader text = Files.newBufferedReader(Path.of(path))) {
            config = Config.read(text);
        }
        Log log = line -> out.println(System.currentTimeMillis() + " " + line);
        Server server = new Server(config, ajp == null ? null : Config.readListen(Path.of(ajp)), log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(server, log, out), "leave"));
        server.start();
        server.await();
        return 0;
    }

    /** The notice to leave is a signal to end: the runtime waits for this, and then ends with status 0. */
    private static void leave(Server server, Log log, PrintStream out) {
        try {
            server.drain();
            server.await();
            log.line(server.counts());
            out.flush();
        } catch (InterruptedException broken) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
