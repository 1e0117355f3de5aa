package mothwing.adapter;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import mothwing.adapter.SimulatorProtocol.Action;
import mothwing.adapter.SimulatorProtocol.Field;
import mothwing.control.ControllerHost;

/**
 * Encodes the actions of one instance as elements of a JSON array, in the order in which the
 * controller requests them.
 */
final class ActionWriter implements ControllerHost {
  private final long instanceId;
  private final StringBuilder elements = new StringBuilder();

  ActionWriter(long instanceId) {
    this.instanceId = instanceId;
  }

  /** Writes the fields of an action after its name and instance. */
  private interface Body {
    void write(JsonWriter json) throws IOException;
  }

  private void writeAction(String name, Body body) {
    StringWriter text = new StringWriter();
    try (JsonWriter json = new JsonWriter(text)) {
      json.beginObject();
      json.name(Field.NAME).value(name);
      json.name(Field.INSTANCE).value(instanceId);
      body.write(json);
      json.endObject();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    if (elements.length() > 0) {
      elements.append(',');
    }
    elements.append(text.getBuffer());
  }

  private void writeRequestAction(String name, String requestId) {
    writeAction(name, json -> json.name(Field.REQUEST).value(requestId));
  }

  /** Returns the elements written since the previous call, separated by commas, and clears them. */
  String takeElements() {
    String taken = elements.toString();
    elements.setLength(0);
    return taken;
  }

  /** Writes an action that reports a failure of the controller. */
  void reportException(String text) {
    writeAction(Action.REPORT_EXCEPTION, json -> json.name(Field.TEXT).value(text));
  }

  @Override
  public void startRun(String id) {
    writeRequestAction(Action.START_RUN, id);
  }

  @Override
  public void startCall(String id, long abandonAt) {
    writeAction(
        Action.START_CALL,
        json -> {
          json.name(Field.REQUEST).value(id);
          json.name(Field.CALL_DEADLINE).value(abandonAt);
        });
  }

  @Override
  public void skipCall(String id) {
    writeRequestAction(Action.SKIP_CALL, id);
  }

  @Override
  public void stopRun(String id) {
    writeRequestAction(Action.STOP_RUN, id);
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long retryAfter) {
    writeAction(
        Action.REJECT_REQUEST,
        json -> {
          json.name(Field.REQUEST).value(id);
          if (dontRetry) {
            json.name(Field.IS_FINAL).value(true);
          }
          if (retryAfter > 0) {
            json.name(Field.RETRY_AFTER).value(retryAfter);
          }
        });
  }

  @Override
  public void failRequest(String id) {
    writeRequestAction(Action.FAIL_REQUEST, id);
  }

  @Override
  public void rememberKey(String id, long duration) {
    writeAction(
        Action.REMEMBER_KEY,
        json -> {
          json.name(Field.REQUEST).value(id);
          json.name(Field.LIFETIME).value(duration);
        });
  }

  @Override
  public void forgetKey(String id) {
    writeRequestAction(Action.FORGET_KEY, id);
  }

  @Override
  public void replayResult(String id) {
    writeRequestAction(Action.REPLAY_RESULT, id);
  }

  @Override
  public void scheduleTimer(long at, String tag) {
    writeAction(
        Action.SCHEDULE_TIMER,
        json -> {
          json.name(Field.TIMER_AT).value(at);
          json.name(Field.TIMER_TAG).value(tag);
        });
  }

  @Override
  public void publishFreeValue(double value) {
    writeAction(Action.PUBLISH_FREE_VALUE, json -> json.name(Field.FREE_VALUE).value(value));
  }

  @Override
  public void setHealth(boolean shallow, boolean healthy) {
    writeAction(
        Action.SET_HEALTH,
        json -> {
          json.name(Field.IS_SHALLOW).value(shallow);
          json.name(Field.IS_HEALTHY).value(healthy);
        });
  }

  @Override
  public void closeIdleConnections(long idleTimeout) {
    writeAction(
        Action.CLOSE_IDLE_CONNECTIONS, json -> json.name(Field.LIFETIME).value(idleTimeout));
  }

  @Override
  public void log(String text) {
    writeAction(Action.LOG, json -> json.name(Field.TEXT).value(text));
  }
}
