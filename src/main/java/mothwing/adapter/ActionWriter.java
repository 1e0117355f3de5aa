package mothwing.adapter;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import mothwing.control.ControllerHost;

/**
 * Writes the actions of one instance, as the elements of a JSON array, in the order in which they
 * come.
 */
final class ActionWriter implements ControllerHost {
  private final long who;
  private final StringBuilder written = new StringBuilder();

  ActionWriter(long who) {
    this.who = who;
  }

  /** Writes the fields of an action after its name and instance. */
  private interface Body {
    void write(JsonWriter json) throws IOException;
  }

  private void action(String name, Body body) {
    StringWriter text = new StringWriter();
    try (JsonWriter json = new JsonWriter(text)) {
      json.beginObject();
      json.name("what").value(name);
      json.name("Who").value(who);
      body.write(json);
      json.endObject();
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
    if (written.length() > 0) {
      written.append(',');
    }
    written.append(text.getBuffer());
  }

  private void named(String name, String id) {
    action(name, json -> json.name("Job").value(id));
  }

  /** What was written since the last call. */
  String take() {
    String all = written.toString();
    written.setLength(0);
    return all;
  }

  void exception(String text) {
    action("Exception", json -> json.name("What").value(text));
  }

  @Override
  public void startRun(String id) {
    named("Start", id);
  }

  @Override
  public void startCall(String id, long until) {
    action(
        "AskBelow",
        json -> {
          json.name("Job").value(id);
          json.name("TryUntil").value(until);
        });
  }

  @Override
  public void skipCall(String id) {
    named("Omit", id);
  }

  @Override
  public void stopRun(String id) {
    named("Preempt", id);
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long stayAway) {
    action(
        "Bounce",
        json -> {
          json.name("Job").value(id);
          if (dontRetry) {
            json.name("DontRetry").value(true);
          }
          if (stayAway > 0) {
            json.name("Pause").value(stayAway);
          }
        });
  }

  @Override
  public void failRequest(String id) {
    named("EndFailed", id);
  }

  @Override
  public void rememberKey(String id, long span) {
    action(
        "Remember",
        json -> {
          json.name("Job").value(id);
          json.name("Lifetime").value(span);
        });
  }

  @Override
  public void forgetKey(String id) {
    named("DropKey", id);
  }

  @Override
  public void replayResult(String id) {
    named("Replay", id);
  }

  @Override
  public void scheduleTimer(long at, String tag) {
    action(
        "Timer",
        json -> {
          json.name("Time").value(at);
          json.name("Tag").value(tag);
        });
  }

  @Override
  public void publishFreeValue(double value) {
    action("Stamp", json -> json.name("X").value(value));
  }

  @Override
  public void setHealth(boolean cheap, boolean good) {
    action(
        "Health",
        json -> {
          json.name("Cheap").value(cheap);
          json.name("Want").value(good);
        });
  }

  @Override
  public void closeIdleConnections(long span) {
    action("TrimAfter", json -> json.name("Lifetime").value(span));
  }

  @Override
  public void log(String text) {
    action("Log", json -> json.name("What").value(text));
  }
}
