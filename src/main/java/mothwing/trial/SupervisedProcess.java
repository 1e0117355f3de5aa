package mothwing.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * A process that ends with the rig, also when the rig is killed: a shell between them holds a pipe
 * to the rig, and kills the process once the pipe is closed, whether it runs or stands still. The
 * shell's status is that of the process.
 */
final class SupervisedProcess implements AutoCloseable {
  private static final String GUARD =
      "exec 3<&0; \"$@\" 3<&- </dev/null & p=$!; echo \"pid $p\"; "
          + "( read -r over <&3; kill -KILL $p ) >/dev/null 2>&1 & w=$!; exec 3<&-; "
          + "wait $p; s=$?; kill -KILL $w 2>/dev/null; exit $s";
  private static final int PATIENCE_S = 10;

  private final Process shell;
  private final long pid;

  /**
   * Starts a process.
   *
   * @param command the program and its arguments
   * @param log takes the lines of its output, on a thread of its own
   * @throws IOException where it cannot be started
   */
  SupervisedProcess(List<String> command, Consumer<String> log) throws IOException {
    this(command, Map.of(), log);
  }

  /** The same with further variables in its environment. */
  SupervisedProcess(List<String> command, Map<String, String> environment, Consumer<String> log)
      throws IOException {
    List<String> all = new ArrayList<>(List.of("/bin/sh", "-c", GUARD, "guard"));
    all.addAll(command);
    ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
    builder.environment().putAll(environment);
    shell = builder.start();
    CompletableFuture<Long> told = new CompletableFuture<>();
    Thread reader = new Thread(() -> read(told, log), "log-of-" + shell.pid());
    reader.setDaemon(true);
    reader.start();
    try {
      pid = told.get(PATIENCE_S, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException none) {
      shell.destroyForcibly();
      throw new IOException("cannot start " + command.get(0) + ": " + none.getMessage());
    }
  }

  private void read(CompletableFuture<Long> told, Consumer<String> log) {
    try (BufferedReader in = shell.inputReader()) {
      String first = in.readLine();
      if (first == null || !first.startsWith("pid ")) {
        told.completeExceptionally(new IOException("it says " + first));
        return;
      }
      told.complete(Long.parseLong(first.substring(4)));
      in.lines().forEach(log);
    } catch (IOException | RuntimeException over) {
      told.completeExceptionally(over);
    }
  }

  /** This runtime with some options, on the class path of this process. */
  static List<String> java(List<String> options, String program, String... arguments) {
    List<String> all =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    all.addAll(options);
    all.addAll(List.of("-cp", System.getProperty("java.class.path"), program));
    all.addAll(List.of(arguments));
    return all;
  }

  long pid() {
    return pid;
  }

  boolean alive() {
    return shell.isAlive();
  }

  /**
   * Sends a signal.
   *
   * @param name without the letters SIG
   * @throws IOException where no shell can be started for it
   */
  void signal(String name) throws IOException {
    try {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pid + " 2>/dev/null")
          .start()
          .waitFor();
    } catch (InterruptedException broken) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills it outright. */
  void kill() {
    ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
  }

  /** Completes with its status; over 128 for a signal. */
  CompletableFuture<Integer> ended() {
    return shell.onExit().thenApply(Process::exitValue);
  }

  /** Waits for its end. */
  int await() throws InterruptedException {
    return shell.waitFor();
  }

  @Override
  public void close() {
    kill();
    shell.destroy();
  }
}
