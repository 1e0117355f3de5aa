package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mothwing.control.FreeValue;
import mothwing.control.Idempotency;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.control.StopMode;
import mothwing.server.Config;
import org.junit.jupiter.api.Test;

/**
 * Checks each key of the configuration file and its settings: the field that it sets, the default
 * if it is absent, and the message for an invalid value.
 */
class SettingsWitnessTest {
  private static final String FOLDER = "/witness/settings/";

  /** The values that replace the value of each key in turn. */
  private static final List<String> INVALID_VALUES =
      List.of("null", "true", "7", "-7", "\"word\"", "\"\"", "[]", "[7]", "{}", "1e999");

  private static String text(String name) throws IOException {
    try (InputStream file = SettingsWitnessTest.class.getResourceAsStream(FOLDER + name)) {
      return new String(file.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static Config read(String json) throws IOException {
    return Config.read(new StringReader(json));
  }

  private static Settings fullSettings() throws IOException {
    return read(text("config.json")).settings();
  }

  /** Reads the settings of the full configuration in which one text is replaced by another. */
  private static Settings settingsWith(String from, String to) throws IOException {
    String json = text("config.json");
    assertTrue(json.contains(from), from);
    return read(json.replace(from, to)).settings();
  }

  /** Reads the settings of a configuration with only the required keys. */
  private static Settings minimalSettings() throws IOException {
    return read(text("least.json")).settings();
  }

  @Test
  void readsEachKeyOfTheConfiguration() throws IOException {
    Config config = read(text("config.json"));
    assertEquals("quay-3", config.name());
    assertEquals(0xf00000000000000dL, config.settings().seed());
    assertEquals(new InetSocketAddress("127.0.0.1", 4101), config.listen());
    assertEquals(new InetSocketAddress("127.0.0.2", 4102), config.pool());
    assertEquals(new InetSocketAddress("127.0.0.3", 4103), config.announce());
    assertEquals(new InetSocketAddress("127.0.0.4", 4104), config.ledger());
    assertEquals(new InetSocketAddress("::1", 4105), config.management());
    assertEquals(4106, config.stopMs());
    assertEquals(4107, config.sockets());
  }

  @Test
  void readsEachTopLevelKeyOfTheSettings() throws IOException {
    Settings settings = fullSettings();
    assertEquals(11, settings.batchInterval());
    assertEquals(12, settings.replicas());
    assertTrue(settings.weightByWork());
    assertFalse(settingsWith("\"work\"", "\"request\"").weightByWork());
    assertEquals(0.13, settings.overQuotaWeightRatio());
    assertEquals(0.14, settings.objectiveWeights().overallWeight());
    assertEquals(0.15, settings.objectiveWeights().worstWindowWeight());
    assertEquals(0.16, settings.objectiveWeights().worstClassWeight());
    assertEquals(0.17, settings.objectiveWeights().worstTenantWeight());
    assertEquals(2, settings.tenants().size());
    assertEquals("alder", settings.tenants().get(0).name());
    assertEquals(0.51, settings.tenants().get(0).requestsPerSecond());
    assertEquals("birch", settings.tenants().get(1).name());
    assertEquals(0, settings.tenants().get(1).requestsPerSecond());
  }

  @Test
  void readsEachKeyOfAClass() throws IOException {
    List<RequestClass> classes = fullSettings().classes();
    assertEquals(3, classes.size());
    RequestClass peek = classes.get(0);
    assertEquals("peek", peek.name());
    assertEquals(21, peek.latencyObjective());
    assertEquals(22, peek.deadline());
    assertEquals(0.23, peek.priorityWeight());
    assertEquals(0.24, peek.lateWeightRatio());
    assertEquals(Idempotency.ALWAYS, peek.idempotency());
    assertEquals(25, peek.idempotencyWindow());
    assertFalse(peek.callsDependency());
    assertEquals(0.83, peek.degradedWeightRatio());
    RequestClass stow = classes.get(1);
    assertEquals("stow", stow.name());
    assertEquals(31, stow.latencyObjective());
    assertEquals(32, stow.deadline());
    assertEquals(0.33, stow.priorityWeight());
    assertEquals(0.34, stow.lateWeightRatio());
    assertEquals(Idempotency.WITH_KEY, stow.idempotency());
    assertEquals(35, stow.idempotencyWindow());
    assertTrue(stow.callsDependency());
    assertEquals(0.84, stow.degradedWeightRatio());
    RequestClass mint = classes.get(2);
    assertEquals("mint", mint.name());
    assertEquals(41, mint.latencyObjective());
    assertEquals(42, mint.deadline());
    assertEquals(0, mint.priorityWeight());
    assertEquals(0, mint.lateWeightRatio());
    assertEquals(Idempotency.NEVER, mint.idempotency());
    assertEquals(0, mint.idempotencyWindow());
    assertFalse(mint.callsDependency());
    assertEquals(0, mint.degradedWeightRatio());
  }

  @Test
  void readsEachKeyOfTheLimitsAndTheDependency() throws IOException {
    Settings settings = fullSettings();
    assertEquals(61, settings.limits().answerSlack());
    assertEquals(62, settings.limits().drainGracePeriod());
    assertEquals(0.63, settings.limits().concurrencyPerCore());
    assertEquals(64, settings.limits().concurrencyWindow());
    assertEquals(0.65, settings.limits().coldSpeedRatio());
    assertEquals(66, settings.limits().warmUpDuration());
    assertEquals(81, settings.callers());
    assertEquals(82, settings.cacheLifetime());
    assertEquals(0.85, settings.dependency().concurrencyQuota());
    assertEquals(86, settings.dependency().window());
    assertEquals(87, settings.dependency().abandonedCallDuration());
  }

  @Test
  void readsEachKeyOfTheMachineAndTheSignals() throws IOException {
    Settings settings = fullSettings();
    assertEquals(88, settings.machine().cores());
    assertEquals(0.89, settings.machine().memoryKb());
    assertEquals(0.91, settings.machine().runMemoryFactor());
    assertEquals(0.92, settings.machine().keyMemoryKb());
    assertTrue(settings.machine().coldStart());
    assertEquals(List.of("cpu_busy", "runnable"), settings.machine().gaugeNames());
    assertEquals(93, settings.signals().freeValueLifetime());
    assertTrue(settings.signals().retryAfterHonoured());
    assertEquals(71, settings.signals().maxRetryAfter());
    assertTrue(settings.signals().cancellationsReported());
    assertEquals(94, settings.signals().idleTimeout());
  }

  @Test
  void readsEachValueOfHaltAndSay() throws IOException {
    String halt = "\"suspend\"";
    assertEquals(StopMode.SUSPEND, fullSettings().machine().stopMode());
    assertEquals(StopMode.ABORT, settingsWith(halt, "\"abort\"").machine().stopMode());
    assertEquals(StopMode.NONE, settingsWith(halt, "\"silent\"").machine().stopMode());
    assertEquals(StopMode.NONE, settingsWith(halt, "\"other\"").machine().stopMode());
    String say = "\"share_of\"";
    assertEquals(FreeValue.SHARE, fullSettings().signals().freeValue());
    assertEquals(FreeValue.LEVEL, settingsWith(say, "\"threshold\"").signals().freeValue());
    assertEquals(FreeValue.WINDOW, settingsWith(say, "\"window\"").signals().freeValue());
    assertEquals(FreeValue.NONE, settingsWith(say, "\"silent\"").signals().freeValue());
    assertEquals(FreeValue.NONE, settingsWith(say, "\"other\"").signals().freeValue());
  }

  @Test
  void usesDefaultsForAbsentTopLevelKeys() throws IOException {
    Config config = read(text("least.json"));
    assertNull(config.ledger());
    assertEquals(System.getenv("EDGE_MANAGEMENT") == null, config.management() == null);
    Settings settings = config.settings();
    assertEquals(0, settings.batchInterval());
    assertEquals(List.of(), settings.tenants());
    assertEquals(1, settings.replicas());
    assertEquals(0, settings.callers());
    assertFalse(settings.weightByWork());
    assertEquals(1, settings.overQuotaWeightRatio());
    assertEquals(0, settings.cacheLifetime());
    assertEquals(0, settings.objectiveWeights().overallWeight());
    assertEquals(0, settings.objectiveWeights().worstWindowWeight());
    assertEquals(0, settings.objectiveWeights().worstClassWeight());
    assertEquals(0, settings.objectiveWeights().worstTenantWeight());
    assertEquals(Idempotency.ALWAYS, settings.classes().get(0).idempotency());
  }

  @Test
  void usesDefaultsForAbsentNestedKeys() throws IOException {
    Settings settings = minimalSettings();
    assertEquals(0, settings.limits().answerSlack());
    assertEquals(0, settings.limits().drainGracePeriod());
    assertEquals(1, settings.limits().concurrencyPerCore());
    assertEquals(0, settings.limits().concurrencyWindow());
    assertEquals(1, settings.limits().coldSpeedRatio());
    assertEquals(0, settings.limits().warmUpDuration());
    assertEquals(0, settings.dependency().concurrencyQuota());
    assertEquals(0, settings.dependency().window());
    assertEquals(0, settings.dependency().abandonedCallDuration());
    assertEquals(1, settings.machine().cores());
    assertEquals(0, settings.machine().memoryKb());
    assertEquals(1, settings.machine().runMemoryFactor());
    assertEquals(0, settings.machine().keyMemoryKb());
    assertFalse(settings.machine().coldStart());
    assertEquals(List.of(), settings.machine().gaugeNames());
    assertEquals(StopMode.NONE, settings.machine().stopMode());
    assertEquals(FreeValue.NONE, settings.signals().freeValue());
    assertEquals(0, settings.signals().freeValueLifetime());
    assertFalse(settings.signals().retryAfterHonoured());
    assertEquals(0, settings.signals().maxRetryAfter());
    assertFalse(settings.signals().cancellationsReported());
    assertEquals(0, settings.signals().idleTimeout());
  }

  /**
   * Replaces each value of the full configuration by each invalid value, and compares the message,
   * or "taken" if there is none, with the recorded one.
   */
  @Test
  void rejectsInvalidValuesWithRecordedMessages() throws IOException {
    assertEquals(text("bad-values.txt"), invalidValues());
  }

  /** Returns the invalid values of each key, each with its current message. */
  static String invalidValues() throws IOException {
    JsonObject root = JsonParser.parseString(text("config.json")).getAsJsonObject();
    List<String> lines = new ArrayList<>();
    visit(root, root, "", lines);
    return String.join("\n", lines) + "\n";
  }

  private static void visit(JsonObject root, JsonElement element, String path, List<String> lines) {
    if (element instanceof JsonObject object) {
      for (String key : List.copyOf(object.keySet())) {
        JsonElement original = object.get(key);
        for (String invalid : INVALID_VALUES) {
          object.add(key, value(invalid));
          lines.add(path + key + " = " + invalid + ": " + message(root));
        }
        object.add(key, original);
        visit(root, original, path + key + ".", lines);
      }
    } else if (element instanceof JsonArray array && !array.isEmpty()) {
      visit(root, array.get(0), path + "0.", lines);
    }
  }

  private static JsonElement value(String json) {
    return json.equals("1e999")
        ? new JsonPrimitive(new BigDecimal(json))
        : JsonParser.parseString(json);
  }

  private static String message(JsonObject root) {
    try {
      read(new GsonBuilder().serializeNulls().create().toJson(root));
      return "taken";
    } catch (IOException invalid) {
      return invalid.getMessage();
    }
  }

  @Test
  void rejectsMalformedConfigurations() {
    assertEquals("not a JSON object", errorMessage("[]"));
    assertEquals("not a JSON object", errorMessage("7"));
    assertTrue(errorMessage("{} {}").contains("malformed JSON at line 1 column 5 path $"));
    assertEquals("field seed: required", errorMessage("{}"));
    assertEquals("field settings: required", errorMessage("{\"seed\":\"1\"}"));
    assertEquals(
        "field settings.Classes: required", errorMessage("{\"seed\":\"1\",\"settings\":{}}"));
  }

  private static String errorMessage(String json) {
    return assertThrows(IOException.class, () -> read(json), json).getMessage();
  }
}
