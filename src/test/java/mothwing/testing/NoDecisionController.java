package mothwing.testing;

import mothwing.control.Controller;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;

/**
 * Ignores all events and decides nothing, so that a test makes the decisions through the broker.
 */
public class NoDecisionController implements Controller {
  @Override
  public void serverStarted(long now) {
    // takes no action
  }

  @Override
  public void requestRead(long now, Request request) {
    // holds the request
  }

  @Override
  public void requestCancelled(long now, String id) {
    // takes no action
  }

  @Override
  public void callAwaited(long now, String id) {
    // leaves the run waiting
  }

  @Override
  public void callEnded(long now, String id, RunOutcome outcome, long took) {
    // takes no action
  }

  @Override
  public void runEnded(long now, String id, RunOutcome outcome, long took) {
    // takes no action
  }

  @Override
  public void timerFired(long now, String tag, GaugeSample sample) {
    // takes no action
  }

  @Override
  public void settingsChanged(long now, Settings settings) {
    // takes no action
  }

  @Override
  public void shutdownRequested(long now, long stopAt) {
    // takes no action
  }

  @Override
  public void batchEnded(long now) {
    // takes no action
  }
}
