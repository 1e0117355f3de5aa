package mothwing.broker;

import java.util.OptionalDouble;
import mothwing.control.FreeValue;

/** The free value that goes out with answers; the settings say what it means. */
final class PublishedFreeValue {
  private FreeValue meaning;
  private double value;

  PublishedFreeValue(FreeValue meaning) {
    this.meaning = meaning;
  }

  /** Takes the meaning of new settings; a value of another meaning would be misread. */
  void setMeaning(FreeValue next) {
    if (next != meaning) {
      value = next == FreeValue.SHARE ? 1 : 0;
    }
    meaning = next;
  }

  void publish(double next) {
    value = next;
  }

  /**
   * The value, or none where the settings give it no meaning, or one that the controller does not
   * fill: callers would read a 0 as a window for no request at all.
   */
  OptionalDouble value() {
    return meaning == FreeValue.LEVEL || meaning == FreeValue.SHARE
        ? OptionalDouble.of(value)
        : OptionalDouble.empty();
  }
}
