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
 * Holds the bytes of the simulator's wire: recorded lines of events get the recorded lines of
 * actions, and bad lines the recorded complaints. {@link AdapterRecorder} made the recordings.
 */
class AdapterWitnessTest {
  /** The recorded variants of the settings. */
  static final List<String> VARIANTS = List.of("guarded-calls", "plain");

  private static final int LINES_AN_INPUT = 3;
  private static final String FOLDER = "/witness/adapter/";

  private record Result(int status, String output, String complaints) {}

  private static Result adapter(String input) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream complaints = new ByteArrayOutputStream();
    int status =
        new Adapter(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                output,
                new PrintStream(complaints, true, StandardCharsets.UTF_8))
            .run();
    return new Result(
        status,
        output.toString(StandardCharsets.UTF_8),
        complaints.toString(StandardCharsets.UTF_8));
  }

  private static String text(String name) throws IOException {
    try (InputStream file = AdapterWitnessTest.class.getResourceAsStream(FOLDER + name);
        InputStream plain = name.endsWith(".gz") ? new GZIPInputStream(file) : file) {
      return new String(plain.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void theRecordedEventsGetTheRecordedActions() throws IOException {
    for (String variant : VARIANTS) {
      Result result = adapter(text(variant + "-input.gz"));
      assertEquals("", result.complaints(), variant);
      assertEquals(0, result.status(), variant);
      List<String> expected = text(variant + "-output.gz").lines().toList();
      List<String> found = result.output().lines().toList();
      for (int line = 0; line < Math.min(expected.size(), found.size()); line++) {
        assertEquals(expected.get(line), found.get(line), variant + ", line " + (line + 1));
      }
      assertEquals(expected.size(), found.size(), variant);
    }
  }

  /** A recording that leaves out a kind of event, outcome or action would hold nothing about it. */
  @Test
  void theRecordingsHoldEveryKindOfEventOutcomeAndAction() throws IOException {
    assertEquals(text("kinds.txt"), kinds());
  }

  /** The kinds in the recordings, a line each. */
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
              for (JsonElement one : batch.getAsJsonArray(list)) {
                collect(one.getAsJsonObject(), list, kinds);
              }
            });
  }

  /** Each key of each kind, and each value of the keys that have few. */
  private static void collect(JsonObject one, String list, Set<String> kinds) {
    String what = list + " " + one.get("what").getAsString();
    kinds.add(what);
    for (String key : one.keySet()) {
      if (!key.equals("what") && !key.equals("Who")) {
        kinds.add(what + " " + key);
      }
    }
    if (one.has("Verdict")) {
      kinds.add(what + " " + one.get("Verdict").getAsString());
    }
    if (one.has("Stats")) {
      kinds.add(what + " with " + one.getAsJsonArray("Stats").size() + " gauges");
    }
    if (one.has("Want")) {
      kinds.add(what + " " + one.get("Cheap") + " " + one.get("Want"));
    }
  }

  /**
   * Each bad line comes after a good one in which instance 1 starts, so that the complaint's number
   * is held too. The file has three lines an input: the input, the status, the complaint with its
   * line ends escaped.
   */
  @Test
  void badLinesGetTheRecordedComplaints() throws IOException {
    assertEquals(text("bad-lines.txt"), badLines());
  }

  /** The bad lines, each with the status and the complaint of now. */
  static String badLines() throws IOException {
    String start = text("bad-lines-first.json").strip() + "\n";
    String started = adapter(start).output();
    assertTrue(started.startsWith("{\"out\":[{"), started);
    List<String> recorded = text("bad-lines.txt").lines().toList();
    StringBuilder found = new StringBuilder();
    for (int place = 0; place < recorded.size(); place += LINES_AN_INPUT) {
      Result result = adapter(start + recorded.get(place) + "\n");
      assertEquals(started, result.output(), recorded.get(place));
      found.append(recorded.get(place)).append('\n').append(result.status()).append('\n');
      found.append(result.complaints().strip().replace("\n", "\\n")).append('\n');
    }
    return found.toString();
  }
}
