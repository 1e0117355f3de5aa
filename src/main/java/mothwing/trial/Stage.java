package mothwing.trial;

import java.io.IOException;
import java.util.function.Consumer;

/** Plays a trial and gives what was seen. */
interface Stage {
  /**
   * Plays it to its end.
   *
   * @param trial the trial
   * @param progress takes a line now and then
   * @return what was seen; what the stage could not do is among its troubles
   * @throws IOException where it cannot be begun; the message says which machine and why
   * @throws InterruptedException where the wait is broken off
   */
  History play(Trial trial, Consumer<String> progress) throws IOException, InterruptedException;
}
