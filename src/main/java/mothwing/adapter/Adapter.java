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
 * Reads batches of events, one JSON line each, and answers each batch with one JSON line of
 * actions, until the input ends.
 */
public final class Adapter {
  private final BufferedReader input;
  private final Writer output;
  private final PrintStream errors;
  private final Map<Long, Instance> instances = new LinkedHashMap<>();

  /**
   * Creates an adapter.
   *
   * @param input event lines
   * @param output action lines
   * @param errors receives a line for an input error and the stack trace of each controller failure
   */
  public Adapter(InputStream input, OutputStream output, PrintStream errors) {
    this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    this.output = new BufferedWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8));
    this.errors = errors;
  }

  /**
   * Processes the input until it ends or a line is invalid.
   *
   * @return the exit status: 0 at the end of the input, 1 after an invalid line
   * @throws IOException if reading the input or writing the output fails
   */
  public int run() throws IOException {
    long lineNumber = 0;
    String line;
    while ((line = input.readLine()) != null) {
      lineNumber++;
      String reply;
      try {
        reply = processBatch(line);
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

  private String processBatch(String line) throws IOException {
    JsonFields batch = parse(line);
    long now = batch.integer(Field.TIME);
    Set<Long> instanceIds = new LinkedHashSet<>();
    for (JsonFields event : batch.requiredObjects(Field.EVENTS)) {
      instanceIds.add(handle(now, event));
    }
    StringJoiner actions = new StringJoiner(",", "{\"" + Field.ACTIONS + "\":[", "]}");
    for (long id : instanceIds) {
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

  /** Handles an event and returns the id of its instance. */
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
        runReportingFailure(id, instance, () -> instance.handle(now, name, event));
      }
    }
    return id;
  }

  private void start(long now, long id, JsonFields event) throws InvalidInputException {
    long seed = event.integer(Field.SEED, 0);
    Settings settings = SettingsCodec.read(seed, event.requiredObject(Field.SETTINGS));
    Instance instance = new Instance(id, settings);
    instances.put(id, instance);
    runReportingFailure(id, instance, () -> instance.controller().serverStarted(now));
  }

  private String endBatch(long now, long id) throws InvalidInputException {
    Instance instance = instances.get(id);
    if (instance == null) {
      return "";
    }
    runReportingFailure(id, instance, () -> instance.controller().batchEnded(now));
    return instance.actions().takeElements();
  }

  /** A step of the processing that may encounter invalid input. */
  private interface Step {
    void run() throws InvalidInputException;
  }

  /**
   * Runs a step, and reports a failure of the controller as an action of its instance. The stack
   * trace is written to the error stream.
   */
  private void runReportingFailure(long id, Instance instance, Step step)
      throws InvalidInputException {
    try {
      step.run();
    } catch (RuntimeException failure) {
      failure.printStackTrace(errors);
      instance.actions().reportException("instance " + id + ": " + failure);
    }
  }
}
