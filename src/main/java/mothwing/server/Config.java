package mothwing.server;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import mothwing.control.Settings;
import mothwing.settings.Addresses;
import mothwing.settings.InvalidInputException;
import mothwing.settings.JsonFields;
import mothwing.settings.SettingsCodec;
import mothwing.settings.Site;
import mothwing.settings.SiteScript;

/**
 * The configuration of a server.
 *
 * @param name the name of the server
 * @param listen the address for clients
 * @param pool the address of the worker pool
 * @param announce the address of the discovery service
 * @param ledger the address of the dependency, or null if there is none
 * @param management the address for operators, or null if there is none
 * @param stopMs most milliseconds from the drain request until the process stops
 * @param sockets most file descriptors of the process
 * @param settings the settings of the site
 * @param source the JSON fields of the configuration
 */
public record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress pool,
    InetSocketAddress announce,
    InetSocketAddress ledger,
    InetSocketAddress management,
    long stopMs,
    int sockets,
    Settings settings,
    JsonFields source) {
  private static final int SEED_RADIX = 16;

  /**
   * Reads a configuration. The same checks apply at a start, to the {@code check} command and at
   * SIGHUP.
   *
   * @param json the text of the configuration
   * @return the configuration
   * @throws IOException if it is invalid; the message names the field
   */
  public static Config read(Reader json) throws IOException {
    JsonFields fields = object(json);
    Settings settings =
        SettingsCodec.read(seed(fields.text("seed")), fields.requiredObject("settings"));
    if (settings.classes().isEmpty()) {
      throw new InvalidInputException("field settings.Classes: required");
    }
    return new Config(
        fields.text("name"),
        address(fields, "listen"),
        address(fields, "pool"),
        address(fields, "announce"),
        ledger(fields.text("ledger", "")),
        management(fields.text("management", "")),
        fields.positiveInteger("stop_ms"),
        (int) fields.requiredObject("limits").positiveInteger("sockets"),
        settings,
        fields);
  }

  /**
   * Reads a configuration file.
   *
   * @param path the path of the file
   * @return the configuration
   * @throws IOException if the file cannot be read or is invalid
   */
  public static Config read(String path) throws IOException {
    if (path.isEmpty()) {
      throw new IOException("no configuration: give --config or EDGE_CONFIG");
    }
    try (Reader text = Files.newBufferedReader(Path.of(path))) {
      return read(text);
    }
  }

  /**
   * Reads the configuration file that is to replace this configuration. A file that lacks a key of
   * this configuration is considered truncated or mistaken.
   *
   * @param path the path of the file
   * @return the configuration
   * @throws IOException if the file cannot be read, is invalid, or lacks a key
   */
  Config readSuccessor(String path) throws IOException {
    Config next = read(path);
    source.requireKeysIn(next.source);
    return next;
  }

  /**
   * Returns this configuration with those fields of a new one that a running server can apply.
   *
   * @param next the new configuration
   * @return the configuration to apply
   */
  Config withReloaded(Config next) {
    return new Config(
        name,
        listen,
        next.pool,
        next.announce,
        next.ledger,
        management,
        next.stopMs,
        sockets,
        next.settings,
        next.source);
  }

  /**
   * Returns the names of the fields that differ in a new configuration and need a restart,
   * separated by commas.
   */
  String fieldsRequiringRestart(Config next) {
    List<String> fields = new ArrayList<>();
    if (!name.equals(next.name)) {
      fields.add("name");
    }
    if (!listen.equals(next.listen)) {
      fields.add("listen");
    }
    if (!Objects.equals(management, next.management)) {
      fields.add("management");
    }
    if (sockets != next.sockets) {
      fields.add("limits");
    }
    return String.join(",", fields);
  }

  /**
   * Reads the site settings of a server.
   *
   * @param file the site script, or, if its name ends with {@code .json}, the older format: a JSON
   *     object whose field {@code listen} is the address for AJP
   * @return the site settings
   * @throws IOException if the file cannot be read or is invalid
   */
  public static Site readSite(Path file) throws IOException {
    if (!file.toString().endsWith(".json")) {
      return SiteScript.read(file);
    }
    try (Reader text = Files.newBufferedReader(file)) {
      return new Site(address(object(text), "listen"), null, null);
    }
  }

  private static JsonFields object(Reader json) throws IOException {
    try (JsonReader reader = new JsonReader(json)) {
      JsonFields fields = JsonFields.read(reader);
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new InvalidInputException("unexpected text after the JSON object");
      }
      return fields;
    } catch (IllegalStateException notObject) {
      throw new InvalidInputException("not a JSON object");
    }
  }

  private static long seed(String text) throws InvalidInputException {
    try {
      return Long.parseUnsignedLong(text, SEED_RADIX);
    } catch (NumberFormatException notNumber) {
      throw new InvalidInputException("field seed: not a hexadecimal number");
    }
  }

  /** Returns the address for operators from the configuration, else from the environment. */
  private static InetSocketAddress management(String configured) throws InvalidInputException {
    String address =
        configured.isEmpty()
            ? Objects.requireNonNullElse(System.getenv("EDGE_MANAGEMENT"), "")
            : configured;
    return address.isEmpty() ? null : Addresses.parse(address, "management");
  }

  private static InetSocketAddress ledger(String configured) throws InvalidInputException {
    return configured.isEmpty() ? null : Addresses.parse(configured, "ledger");
  }

  private static InetSocketAddress address(JsonFields fields, String name)
      throws InvalidInputException {
    return Addresses.parse(fields.text(name), name);
  }
}
