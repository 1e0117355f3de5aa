package mothwing.testing;

import mothwing.control.Controller;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;

/** Decisions left to the test: it hears all and asks for nothing. */
public class NoDecisionController implements Controller {
  @Override
  public void started(long now) {
    // nothing is asked for
  }

  @Override
  public void read(long now, Request request) {
    // held
  }

  @Override
  public void gone(long now, String id) {
    // nothing is asked for
  }

  @Override
  public void atCall(long now, String id) {
    // it waits
  }

  @Override
  public void callEnded(long now, String id, RunOutcome outcome, long took) {
    // nothing is asked for
  }

  @Override
  public void finished(long now, String id, RunOutcome outcome, long took) {
    // nothing is asked for
  }

  @Override
  public void timer(long now, String tag, GaugeSample sample) {
    // nothing is asked for
  }

  @Override
  public void retuned(long now, Settings settings) {
    // nothing is asked for
  }

  @Override
  public void drain(long now, long stopAt) {
    // nothing is asked for
  }

  @Override
  public void settled(long now) {
    // nothing is asked for
  }
}
