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
  private final PrintStream complaints;
  private final Map<Long, Instance> instances = new LinkedHashMap<>();

  /**
   * Makes a adapter.
   *
   * @param input event lines
   * @param output action lines
   * @param complaints plain words on what went wrong
   */
  public Adapter(InputStream input, OutputStream output, PrintStream complaints) {
    this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    this.output = new BufferedWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8));
    this.complaints = complaints;
  }

  /**
   * Runs until the input ends or cannot be understood.
   *
   * @return the exit status
   * @throws IOException when the input or output breaks
   */
  public int run() throws IOException {
    long number = 0;
    String line;
    while ((line = input.readLine()) != null) {
      number++;
      String reply;
      try {
        reply = batch(line);
      } catch (InvalidInputException bad) {
        complaints.println("line " + number + ": " + bad.getMessage());
        return 1;
      } catch (MalformedJsonException | EOFException notJson) {
        complaints.println("line " + number + ": not a JSON value: " + notJson.getMessage());
        return 1;
      }
      output.write(reply);
      output.write('\n');
      output.flush();
    }
    return 0;
  }

  private String batch(String line) throws IOException {
    JsonFields batch;
    try (JsonReader parser = new JsonReader(new StringReader(line))) {
      if (parser.peek() != JsonToken.BEGIN_OBJECT) {
        throw new InvalidInputException("not a JSON object");
      }
      batch = JsonFields.read(parser);
      if (parser.peek() != JsonToken.END_DOCUMENT) {
        throw new InvalidInputException("more than one JSON value");
      }
    }
    long now = batch.whole("SimTime");
    Set<Long> touched = new LinkedHashSet<>();
    for (JsonFields event : batch.requiredInners("in")) {
      event(now, event, touched);
    }
    StringBuilder reply = new StringBuilder("{\"out\":[");
    boolean first = true;
    for (long who : touched) {
      String actions = settle(now, who);
      if (!actions.isEmpty()) {
        reply.append(first ? "" : ",").append(actions);
        first = false;
      }
    }
    return reply.append("]}").toString();
  }

  private void event(long now, JsonFields event, Set<Long> touched) throws InvalidInputException {
    String what = event.text("what");
    long who = event.whole("Who");
    touched.add(who);
    if (what.equals("Detach")) {
      instances.remove(who);
      return;
    }
    if (what.equals("PowerOn")) {
      Instance life =
          new Instance(
              who, SettingsCodec.read(event.whole("Seed", 0), event.requiredInner("Options")));
      instances.put(who, life);
      guard(who, life, () -> life.controller().serverStarted(now));
      return;
    }
    Instance life = instances.get(who);
    if (life == null) {
      throw new InvalidInputException("field Who: instance " + who + " has not started");
    }
    guard(who, life, () -> life.event(now, what, event));
  }

  private String settle(long now, long who) throws InvalidInputException {
    Instance life = instances.get(who);
    if (life == null) {
      return "";
    }
    guard(who, life, () -> life.controller().batchEnded(now));
    return life.actions().take();
  }

  /** A step that may find bad input. */
  private interface Step {
    void run() throws InvalidInputException;
  }

  /** Reports a failure of the controller for its instance, with the stack on the complaints. */
  private void guard(long who, Instance life, Step step) throws InvalidInputException {
    try {
      step.run();
    } catch (RuntimeException broken) {
      broken.printStackTrace(complaints);
      life.actions().exception("instance " + who + ": " + broken);
    }
  }
}
