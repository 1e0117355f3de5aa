package mothwing.bench;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import mothwing.trial.ServerProcess;
import mothwing.trial.StandInPool;

/**
 * Measures the time from the start of a server process to the first positive admin health check,
 * which succeeds once the pool is connected and clients are accepted. Starts single processes
 * first, then many at once on the available cores, each with a pool of its own.
 */
public final class StartBench {
  private StartBench() {}

  private static double startSeconds(Path folder, int number)
      throws IOException, InterruptedException {
    try (StandInPool pool = new StandInPool(1);
        SocketChannel port = ServerProcess.port();
        SocketChannel adminPort = ServerProcess.port()) {
      long start = System.nanoTime();
      try (ServerProcess process =
          new ServerProcess(
              Files.createDirectories(folder.resolve("s" + number)),
              ServerProcess.number(port),
              ServerProcess.number(adminPort),
              pool)) {
        while (!process.call("HEALTH").startsWith("YES")) {
          Thread.sleep(5);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        process.leave();
        process.await();
        return seconds;
      }
    }
  }

  private static String formatRow(int processes, double[] seconds) {
    Arrays.sort(seconds);
    return String.format(
        Locale.ROOT,
        "%d at once on %d cores: median %.2f s, 90th percentile %.2f s, maximum %.2f s",
        processes,
        Runtime.getRuntime().availableProcessors(),
        seconds[seconds.length / 2],
        seconds[(int) Math.ceil(0.9 * seconds.length) - 1],
        seconds[seconds.length - 1]);
  }

  /** Runs the benchmark; the argument is the number of processes started at once, 24 if absent. */
  public static void main(String[] arguments) throws Exception {
    int processes =
        arguments.length > 0 && arguments[0].matches("[0-9]+")
            ? Integer.parseInt(arguments[0])
            : 24;
    Path folder = Files.createTempDirectory("mothwing-start");
    double[] single = new double[5];
    for (int i = 0; i < single.length; i++) {
      single[i] = startSeconds(folder, i);
    }
    System.out.println(formatRow(1, single));
    ExecutorService executor = Executors.newFixedThreadPool(processes);
    List<CompletableFuture<Double>> starts = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      int number = 100 + i;
      starts.add(
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return startSeconds(folder, number);
                } catch (IOException | InterruptedException failed) {
                  throw new IllegalStateException(failed);
                }
              },
              executor));
    }
    double[] concurrent = starts.stream().mapToDouble(CompletableFuture::join).toArray();
    System.out.println(formatRow(processes, concurrent));
    System.out.printf(
        Locale.ROOT,
        "90th percentile of concurrent starts / median of single starts: %.1f%n",
        concurrent[(int) Math.ceil(0.9 * processes) - 1] / single[single.length / 2]);
    executor.shutdownNow();
    System.exit(0);
  }
}
