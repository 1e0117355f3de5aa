package mothwing.testing;

import mothwing.control.Controller;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;

/** Decisions left to the test: it hears all and asks for nothing. */
public class NoDecisionController implements Controller {
  @Override
  public void serverStarted(long now) {
    // nothing is asked for
  }

  @Override
  public void requestRead(long now, Request request) {
    // held
  }

  @Override
  public void requestCancelled(long now, String id) {
    // nothing is asked for
  }

  @Override
  public void callAwaited(long now, String id) {
    // it waits
  }

  @Override
  public void callEnded(long now, String id, RunOutcome outcome, long took) {
    // nothing is asked for
  }

  @Override
  public void runEnded(long now, String id, RunOutcome outcome, long took) {
    // nothing is asked for
  }

  @Override
  public void timerFired(long now, String tag, GaugeSample sample) {
    // nothing is asked for
  }

  @Override
  public void settingsChanged(long now, Settings settings) {
    // nothing is asked for
  }

  @Override
  public void shutdownRequested(long now, long stopAt) {
    // nothing is asked for
  }

  @Override
  public void batchEnded(long now) {
    // nothing is asked for
  }
}
