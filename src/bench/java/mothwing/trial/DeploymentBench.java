package mothwing.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import mothwing.overload.OverloadController;

/**
 * Drawn deployments, decided by the module and by a policy that is told the truth: the ratio of
 * what they serve.
 */
public final class DeploymentBench {
  private record Row(
      Deployment of, DeploymentSimulation.Result ours, DeploymentSimulation.Result theirs) {
    double ratio() {
      return ours.served() / Math.max(1e-9, theirs.served());
    }
  }

  private DeploymentBench() {}

  private static DeploymentSimulation.Result best(Deployment of) {
    return IntStream.of(1, 2, 4)
        .mapToObj(
            crowd ->
                DeploymentSimulation.play(
                    of,
                    (settings, host, speed) ->
                        new FullKnowledgePolicy(settings, host, of, speed, crowd)))
        .max(Comparator.comparingDouble(DeploymentSimulation.Result::served))
        .orElseThrow();
  }

  /** Arguments: how many, the first seed. */
  public static void main(String[] arguments) {
    int many = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 40;
    long first = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
    List<Row> rows = new ArrayList<>();
    for (long seed = first; seed < first + many; seed++) {
      Deployment of = Deployment.drawn(seed);
      rows.add(
          new Row(
              of,
              DeploymentSimulation.play(
                  of, (settings, host, speed) -> new OverloadController(settings, host)),
              best(of)));
    }
    rows.sort(Comparator.comparingDouble(Row::ratio));
    for (Row row : rows) {
      System.out.printf(
          Locale.ROOT,
          "%.3f  served %.3f of %.3f  refused %.2f/%.2f failed %.2f/%.2f  faults %d  %s  %s / %s%n",
          row.ratio(),
          row.ours().served(),
          row.theirs().served(),
          row.ours().refused(),
          row.theirs().refused(),
          row.ours().failed(),
          row.theirs().failed(),
          row.ours().faults(),
          row.of(),
          row.ours().broken(),
          row.theirs().broken());
    }
    System.out.printf(
        Locale.ROOT,
        "mean %.3f, %d of %d at 0.8 or more, rules broken in %d%n",
        rows.stream().mapToDouble(Row::ratio).average().orElse(0),
        rows.stream().filter(one -> one.ratio() >= 0.8).count(),
        many,
        rows.stream().filter(one -> !one.ours().broken().isEmpty()).count());
  }
}
