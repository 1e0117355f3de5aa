package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.control.ControllerHost;
import mothwing.control.Request;
import mothwing.overload.OverloadController;
import mothwing.testing.NoDecisionController;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Deployments that nobody has, drawn from fixed seeds: the module is fitted to none of them. */
class DeploymentTest {
  private static DeploymentSimulation.Result decided(Deployment of) {
    return DeploymentSimulation.play(
        of, (settings, host, speed) -> new OverloadController(settings, host));
  }

  /**
   * Guards against settings on which the decisions throw, break a rule, or serve next to nothing.
   */
  @ParameterizedTest
  @ValueSource(longs = {5, 9, 15, 20, 22, 36, 38})
  void keepsTheRulesWhateverTheSettingsSay(long seed) {
    DeploymentSimulation.Result result = decided(Deployment.drawn(seed));
    assertEquals(List.of(), result.broken());
    assertEquals(0, result.faults());
    assertTrue(result.served() > 0.3, result::toString);
  }

  /**
   * Guards against requests of a few milliseconds that are refused as the runs of some hundred on
   * the cores are taken to come before them: 0.09 of the worth was served so, where 0.99 can be.
   */
  @Test
  void shortRequestsAreNotRefusedForLongRuns() {
    Deployment of = Deployment.drawn(37);
    double ours = decided(of).served();
    double most =
        DeploymentSimulation.play(
                of,
                (settings, host, speed) -> new FullKnowledgePolicy(settings, host, of, speed, 1))
            .served();
    assertTrue(ours > 0.8 * most, ours + " of " + most);
  }

  /** Plants decisions that start all they read: the oracle has to see the crowd, or the memory. */
  @Test
  void aCrowdIsSeen() {
    Deployment of = Deployment.drawn(37);
    DeploymentSimulation.Result result =
        DeploymentSimulation.play(of, (settings, host, speed) -> new StartsAll(host));
    assertFalse(result.broken().isEmpty());
    assertTrue(
        result.broken().get(0).matches(".*(felled by a crowd|needs [0-9]+ KB).*"),
        result::toString);
  }

  private static final class StartsAll extends NoDecisionController {
    private final ControllerHost host;

    StartsAll(ControllerHost host) {
      this.host = host;
    }

    @Override
    public void requestRead(long now, Request request) {
      host.startRun(request.id());
    }
  }
}
