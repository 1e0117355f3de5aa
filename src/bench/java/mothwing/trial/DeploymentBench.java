package mothwing.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import mothwing.overload.OverloadController;

/**
 * Compares the overload controller with a policy that has full knowledge of the deployment, on
 * random deployments, by the ratio of the value that they serve.
 */
public final class DeploymentBench {
  private record Row(
      Deployment deployment,
      DeploymentSimulation.Result controller,
      DeploymentSimulation.Result policy) {
    double ratio() {
      return controller.served() / Math.max(1e-9, policy.served());
    }
  }

  private DeploymentBench() {}

  /** Returns the best result of the policy over several limits of concurrency per core. */
  private static DeploymentSimulation.Result bestOfPolicy(Deployment deployment) {
    return IntStream.of(1, 2, 4)
        .mapToObj(
            concurrency ->
                DeploymentSimulation.play(
                    deployment,
                    (settings, host, speed) ->
                        new FullKnowledgePolicy(settings, host, deployment, speed, concurrency)))
        .max(Comparator.comparingDouble(DeploymentSimulation.Result::served))
        .orElseThrow();
  }

  /** Runs the comparison; the arguments are the number of deployments and the first seed. */
  public static void main(String[] arguments) {
    int count = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 40;
    long firstSeed = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
    List<Row> rows = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      Deployment deployment = Deployment.drawn(seed);
      rows.add(
          new Row(
              deployment,
              DeploymentSimulation.play(
                  deployment, (settings, host, speed) -> new OverloadController(settings, host)),
              bestOfPolicy(deployment)));
    }
    rows.sort(Comparator.comparingDouble(Row::ratio));
    for (Row row : rows) {
      System.out.printf(
          Locale.ROOT,
          "%.3f  served %.3f of %.3f  rejected %.2f/%.2f failed %.2f/%.2f  faults %d  %s  %s / %s%n",
          row.ratio(),
          row.controller().served(),
          row.policy().served(),
          row.controller().refused(),
          row.policy().refused(),
          row.controller().failed(),
          row.policy().failed(),
          row.controller().faults(),
          row.deployment(),
          row.controller().broken(),
          row.policy().broken());
    }
    System.out.printf(
        Locale.ROOT,
        "mean %.3f, %d of %d at 0.8 or more, rules violated in %d%n",
        rows.stream().mapToDouble(Row::ratio).average().orElse(0),
        rows.stream().filter(row -> row.ratio() >= 0.8).count(),
        count,
        rows.stream().filter(row -> !row.controller().broken().isEmpty()).count());
  }
}
