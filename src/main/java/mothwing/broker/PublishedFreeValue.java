package mothwing.broker;

import java.util.OptionalDouble;
import mothwing.control.FreeValue;

/** The free value that is sent with answers; the settings define its meaning. */
final class PublishedFreeValue {
  private FreeValue meaning;
  private double value;

  PublishedFreeValue(FreeValue meaning) {
    this.meaning = meaning;
  }

  /** Sets the meaning; a change resets the value, which callers would misread. */
  void setMeaning(FreeValue newMeaning) {
    if (newMeaning != meaning) {
      value = newMeaning == FreeValue.SHARE ? 1 : 0;
    }
    meaning = newMeaning;
  }

  void publish(double newValue) {
    value = newValue;
  }

  /**
   * The value, or none if the settings give it no meaning. It is none also if the meaning is a
   * window, because the controller computes none, and a 0 would tell callers to send nothing.
   */
  OptionalDouble value() {
    return meaning == FreeValue.LEVEL || meaning == FreeValue.SHARE
        ? OptionalDouble.of(value)
        : OptionalDouble.empty();
  }
}
