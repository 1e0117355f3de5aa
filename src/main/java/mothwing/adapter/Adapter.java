package mothwing.adapter;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.StringReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import mothwing.adapter.SimulatorProtocol.Event;
import mothwing.adapter.SimulatorProtocol.Field;
import mothwing.control.Settings;
import mothwing.settings.InvalidInputException;
import mothwing.settings.JsonFields;
import mothwing.settings.SettingsCodec;

/**
 * Answers batches of events, one JSON line each, with one JSON line of actions each, until the
 * input ends.
 */
public final class Adapter {
  private final BufferedReader input;
  private final Writer output;
  private final PrintStream errors;
  private final Map<Long, Instance> instances = new LinkedHashMap<>();

  /**
   * Makes an adapter.
   *
   * @param input event lines
   * @param output action lines
   * @param errors takes a line for each error
   */
  public Adapter(InputStream input, OutputStream output, PrintStream errors) {
    this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    this.output = new BufferedWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8));
    this.errors = errors;
  }

  /**
   * Runs until the input ends or cannot be understood.
   *
   * @return the exit status
   * @throws IOException when the input or output breaks
   */
  public int run() throws IOException {
    long lineNumber = 0;
    String line;
    while ((line = input.readLine()) != null) {
      lineNumber++;
      String reply;
      try {
        reply = answer(line);
      } catch (InvalidInputException invalid) {
        errors.println("line " + lineNumber + ": " + invalid.getMessage());
        return 1;
      } catch (MalformedJsonException | EOFException notJson) {
        errors.println("line " + lineNumber + ": not a JSON value: " + notJson.getMessage());
        return 1;
      }
      output.write(reply);
      output.write('\n');
      output.flush();
    }
    return 0;
  }

  private String answer(String line) throws IOException {
    JsonFields batch = parse(line);
    long now = batch.integer(Field.TIME);
    Set<Long> touched = new LinkedHashSet<>();
    for (JsonFields event : batch.requiredObjects(Field.EVENTS)) {
      touched.add(handle(now, event));
    }
    StringJoiner actions = new StringJoiner(",", "{\"" + Field.ACTIONS + "\":[", "]}");
    for (long id : touched) {
      String elements = endBatch(now, id);
      if (!elements.isEmpty()) {
        actions.add(elements);
      }
    }
    return actions.toString();
  }

  private static JsonFields parse(String line) throws IOException {
    try (JsonReader parser = new JsonReader(new StringReader(line))) {
      if (parser.peek() != JsonToken.BEGIN_OBJECT) {
        throw new InvalidInputException("not a JSON object");
      }
      JsonFields batch = JsonFields.read(parser);
      if (parser.peek() != JsonToken.END_DOCUMENT) {
        throw new InvalidInputException("more than one JSON value");
      }
      return batch;
    }
  }

  /** Handles an event, and returns the id of its instance. */
  private long handle(long now, JsonFields event) throws InvalidInputException {
    String name = event.text(Field.NAME);
    long id = event.integer(Field.INSTANCE);
    switch (name) {
      case Event.SERVER_REMOVED -> instances.remove(id);
      case Event.SERVER_STARTED -> start(now, id, event);
      default -> {
        Instance instance = instances.get(id);
        if (instance == null) {
          throw new InvalidInputException("field Who: instance " + id + " has not started");
        }
        reportFailure(id, instance, () -> instance.handle(now, name, event));
      }
    }
    return id;
  }

  private void start(long now, long id, JsonFields event) throws InvalidInputException {
    long seed = event.integer(Field.SEED, 0);
    Settings settings = SettingsCodec.read(seed, event.requiredObject(Field.SETTINGS));
    Instance instance = new Instance(id, settings);
    instances.put(id, instance);
    reportFailure(id, instance, () -> instance.controller().serverStarted(now));
  }

  private String endBatch(long now, long id) throws InvalidInputException {
    Instance instance = instances.get(id);
    if (instance == null) {
      return "";
    }
    reportFailure(id, instance, () -> instance.controller().batchEnded(now));
    return instance.actions().take();
  }

  /** A step that may find invalid input. */
  private interface Step {
    void run() throws InvalidInputException;
  }

  /** Reports a failure of the controller as an action of its instance; errors get the stack. */
  private void reportFailure(long id, Instance instance, Step step) throws InvalidInputException {
    try {
      step.run();
    } catch (RuntimeException broken) {
      broken.printStackTrace(errors);
      instance.actions().exception("instance " + id + ": " + broken);
    }
  }
}
