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
 * From the start of a process to the first good word of its door's health check, which it gives
 * once the pool is linked and clients are taken: one alone, then so many at once on the cores at
 * hand, each in front of a pool of its own.
 */
public final class StartBench {
  private StartBench() {}

  private static double start(Path folder, int number) throws IOException, InterruptedException {
    try (StandInPool pool = new StandInPool(1);
        SocketChannel port = ServerProcess.port();
        SocketChannel door = ServerProcess.port()) {
      long begun = System.nanoTime();
      try (ServerProcess one =
          new ServerProcess(
              Files.createDirectories(folder.resolve("s" + number)),
              ServerProcess.number(port),
              ServerProcess.number(door),
              pool)) {
        while (!one.call("HEALTH").startsWith("YES")) {
          Thread.sleep(5);
        }
        double took = (System.nanoTime() - begun) / 1e9;
        one.leave();
        one.await();
        return took;
      }
    }
  }

  private static String row(int many, double[] all) {
    Arrays.sort(all);
    return String.format(
        Locale.ROOT,
        "%d at once on %d cores: median %.2f s, nine in ten %.2f s, longest %.2f s",
        many,
        Runtime.getRuntime().availableProcessors(),
        all[all.length / 2],
        all[(int) Math.ceil(0.9 * all.length) - 1],
        all[all.length - 1]);
  }

  /** Plays it; the argument says how many at once. */
  public static void main(String[] arguments) throws Exception {
    int many =
        arguments.length > 0 && arguments[0].matches("[0-9]+")
            ? Integer.parseInt(arguments[0])
            : 24;
    Path folder = Files.createTempDirectory("mothwing-start");
    double[] alone = new double[5];
    for (int i = 0; i < alone.length; i++) {
      alone[i] = start(folder, i);
    }
    System.out.println(row(1, alone));
    ExecutorService hands = Executors.newFixedThreadPool(many);
    List<CompletableFuture<Double>> all = new ArrayList<>();
    for (int i = 0; i < many; i++) {
      int number = 100 + i;
      all.add(
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return start(folder, number);
                } catch (IOException | InterruptedException failed) {
                  throw new IllegalStateException(failed);
                }
              },
              hands));
    }
    double[] together = all.stream().mapToDouble(CompletableFuture::join).toArray();
    System.out.println(row(many, together));
    System.out.printf(
        Locale.ROOT,
        "nine in ten together to one alone: %.1f times%n",
        together[(int) Math.ceil(0.9 * many) - 1] / alone[alone.length / 2]);
    hands.shutdownNow();
    System.exit(0);
  }
}
