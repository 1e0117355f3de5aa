package mothwing.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mothwing.trial.ServerProcess;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * How a server is started: with SIGHUP ignored by its starter, as nohup does, and with nothing that
 * it has no use for.
 */
class StartTest {
  private static final List<String> STRANGE =
      List.of(
          "mothwing.trial.", "HdrHistogram", "mothwing.membership.", "mothwing.peer.", "msgpack");
  @TempDir private Path folder;

  private Process start(StandInPool pool, List<String> options, String... between)
      throws IOException {
    Path config =
        Files.writeString(folder.resolve("config.json"), ServerProcess.config(0, 0, pool));
    List<String> command =
        new ArrayList<>(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
    command.addAll(List.of(between));
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "mothwing.Main",
            "serve",
            "--config",
            config.toString()));
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
      Process server = start(pool, List.of());
      try (BufferedReader log = server.inputReader()) {
        assertTrue(next(log, "sighup-unavailable").contains("env --default-signal=HUP"));
      } finally {
        server.destroyForcibly().waitFor();
      }
    }
  }

  /** The way in which the deploy file starts it. */
  @Test
  void itsDefaultIsPutBackBeforeTheStart() throws Exception {
    try (StandInPool pool = new StandInPool(1)) {
      Process server = start(pool, List.of(), "env", "--default-signal=HUP");
      try (BufferedReader log = server.inputReader()) {
        next(log, " start ");
        assertEquals(
            0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + server.pid()).start().waitFor());
        next(log, " reload ");
      } finally {
        server.destroyForcibly().waitFor();
      }
    }
  }

  /** What is for trials, and for fleets where there is none, costs a server nothing. */
  @Test
  void aServerLoadsNothingOfTheLabOrOfAFleet() throws Exception {
    try (StandInPool pool = new StandInPool(1)) {
      Process server = start(pool, List.of("-Xlog:class+load"));
      try (BufferedReader log = server.inputReader()) {
        List<String> loaded = new ArrayList<>();
        for (String line = log.readLine();
            !line.contains(" takes-clients ");
            line = log.readLine()) {
          loaded.add(line);
        }
        assertTrue(loaded.stream().anyMatch(line -> line.contains("mothwing.broker.Broker ")));
        List<String> strange =
            loaded.stream().filter(line -> STRANGE.stream().anyMatch(line::contains)).toList();
        assertTrue(strange.isEmpty(), strange::toString);
      } finally {
        server.destroyForcibly().waitFor();
      }
    }
  }
}
