package mothwing.testing;

import mothwing.OverloadControl.Controller;
import mothwing.OverloadControl.Outcome;
import mothwing.OverloadControl.Request;
import mothwing.OverloadControl.Sample;
import mothwing.OverloadControl.Settings;

/** Decisions left to the test: it hears all and asks for nothing. */
public class Undecided implements Controller {
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
  public void callEnded(long now, String id, Outcome outcome, long took) {
    // nothing is asked for
  }

  @Override
  public void finished(long now, String id, Outcome outcome, long took) {
    // nothing is asked for
  }

  @Override
  public void timer(long now, String tag, Sample sample) {
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
