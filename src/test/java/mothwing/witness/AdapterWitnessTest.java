package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.GZIPInputStream;
import mothwing.adapter.Adapter;
import org.junit.jupiter.api.Test;

/**
 * Checks the bytes of the simulator's wire format against recordings: recorded lines of events
 * yield the recorded lines of actions, and malformed lines the recorded errors. {@link
 * AdapterRecorder} writes the recordings.
 */
class AdapterWitnessTest {
  /** The variants of the settings that are recorded. */
  static final List<String> VARIANTS = List.of("guarded-calls", "plain");

  private static final int LINES_PER_INPUT = 3;
  private static final String FOLDER = "/witness/adapter/";

  private record Result(int status, String output, String errors) {}

  private static Result runAdapter(String input) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    int status =
        new Adapter(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                output,
                new PrintStream(errors, true, StandardCharsets.UTF_8))
            .run();
    return new Result(
        status, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
  }

  private static String text(String name) throws IOException {
    try (InputStream file = AdapterWitnessTest.class.getResourceAsStream(FOLDER + name);
        InputStream plain = name.endsWith(".gz") ? new GZIPInputStream(file) : file) {
      return new String(plain.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void recordedEventsYieldRecordedActions() throws IOException {
    for (String variant : VARIANTS) {
      Result result = runAdapter(text(variant + "-input.gz"));
      assertEquals("", result.errors(), variant);
      assertEquals(0, result.status(), variant);
      List<String> expected = text(variant + "-output.gz").lines().toList();
      List<String> found = result.output().lines().toList();
      for (int line = 0; line < Math.min(expected.size(), found.size()); line++) {
        assertEquals(expected.get(line), found.get(line), variant + ", line " + (line + 1));
      }
      assertEquals(expected.size(), found.size(), variant);
    }
  }

  /**
   * Guards against a recording without some kind of event, outcome or action, which then no test
   * checks.
   */
  @Test
  void recordingsCoverEveryKindOfEventOutcomeAndAction() throws IOException {
    assertEquals(text("kinds.txt"), kinds());
  }

  /** Returns the kinds in the recordings, one per line. */
  static String kinds() throws IOException {
    Set<String> kinds = new TreeSet<>();
    for (String variant : VARIANTS) {
      collect(text(variant + "-input.gz"), "in", kinds);
      collect(text(variant + "-output.gz"), "out", kinds);
    }
    return String.join("\n", kinds) + "\n";
  }

  private static void collect(String lines, String list, Set<String> kinds) {
    lines
        .lines()
        .forEach(
            line -> {
              JsonObject batch = JsonParser.parseString(line).getAsJsonObject();
              for (JsonElement element : batch.getAsJsonArray(list)) {
                collect(element.getAsJsonObject(), list, kinds);
              }
            });
  }

  /** Collects each key of each kind, and the values of the keys with few values. */
  private static void collect(JsonObject message, String list, Set<String> kinds) {
    String kind = list + " " + message.get("what").getAsString();
    kinds.add(kind);
    for (String key : message.keySet()) {
      if (!key.equals("what") && !key.equals("Who")) {
        kinds.add(kind + " " + key);
      }
    }
    if (message.has("Verdict")) {
      kinds.add(kind + " " + message.get("Verdict").getAsString());
    }
    if (message.has("Stats")) {
      kinds.add(kind + " with " + message.getAsJsonArray("Stats").size() + " gauges");
    }
    if (message.has("Want")) {
      kinds.add(kind + " " + message.get("Cheap") + " " + message.get("Want"));
    }
  }

  /**
   * Sends each malformed line after a valid one that starts instance 1, so that the line number in
   * the error is checked too. The file has three lines per input: the input, the exit status, and
   * the error with its line ends escaped.
   */
  @Test
  void malformedLinesYieldRecordedErrors() throws IOException {
    assertEquals(text("bad-lines.txt"), malformedLines());
  }

  /** Returns the malformed lines, each with its current exit status and error. */
  static String malformedLines() throws IOException {
    String start = text("bad-lines-first.json").strip() + "\n";
    String started = runAdapter(start).output();
    assertTrue(started.startsWith("{\"out\":[{"), started);
    List<String> recorded = text("bad-lines.txt").lines().toList();
    StringBuilder found = new StringBuilder();
    for (int index = 0; index < recorded.size(); index += LINES_PER_INPUT) {
      Result result = runAdapter(start + recorded.get(index) + "\n");
      assertEquals(started, result.output(), recorded.get(index));
      found.append(recorded.get(index)).append('\n').append(result.status()).append('\n');
      found.append(result.errors().strip().replace("\n", "\\n")).append('\n');
    }
    return found.toString();
  }
}
