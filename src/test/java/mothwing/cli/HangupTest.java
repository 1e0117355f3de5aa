package mothwing.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mothwing.lab.Served;
import mothwing.lab.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A server whose starter ignores SIGHUP, as nohup does: the runtime leaves it ignored and says nothing of it. */
class HangupTest {
    @TempDir
    private Path folder;

    private Process start(StandInPool pool, String... between) throws IOException {
        Path config = Files.writeString(folder.resolve("config.json"), Served.config(0, 0, pool));
        List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        command.addAll(List.of(between));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "mothwing.Main", "serve", "--config", config.toString()));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private static String next(BufferedReader log, String word) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(word)) {
                return line;
            }
        }
        throw new IOException("it ended before " + word);
    }

    @Test
    void anIgnoredSignalIsSaidAtTheStart() throws Exception {
        try (StandInPool pool = new StandInPool(1)) {
            Process server = start(pool);
            try (BufferedReader log = server.inputReader()) {
                assertTrue(next(log, "no-reloads").contains("env --default-signal=HUP"));
            } finally {
                server.destroyForcibly().waitFor();
            }
        }
    }

    /** The way in which the deploy file starts it. */
    @Test
    void itsDefaultIsPutBackBeforeTheStart() throws Exception {
        try (StandInPool pool = new StandInPool(1)) {
            Process server = start(pool, "env", "--default-signal=HUP");
            try (BufferedReader log = server.inputReader()) {
                next(log, " start ");
                assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + server.pid()).start().waitFor());
                next(log, " reload ");
            } finally {
                server.destroyForcibly().waitFor();
            }
        }
    }
}
