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
 * The configuration of a shop server.
 *
 * @param name the name of the server
 * @param listen where clients connect
 * @param pool where the worker pool listens
 * @param announce where the discovery service listens
 * @param ledger where the dependency listens, or null for none
 * @param management where operators connect, or null for nowhere
 * @param stopMs milliseconds from the request to drain to the stop
 * @param sockets most file descriptors
 * @param settings the settings of the site
 * @param source the fields that it was read from
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
  private static final int HEXADECIMAL = 16;

  /**
   * Reads a configuration. The same checks hold at a start, for {@code check} and at SIGHUP.
   *
   * @param json its text
   * @return the configuration
   * @throws IOException where it cannot be understood; the message names the field
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
        fields.positive("stop_ms"),
        (int) fields.requiredObject("limits").positive("sockets"),
        settings,
        fields);
  }

  /**
   * Reads a configuration's file.
   *
   * @param path its path
   * @return the configuration
   * @throws IOException where it cannot be read or understood
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
   * Reads the file of the configuration that is to replace this one. A file without a key that this
   * one has was truncated, or is a mistake.
   *
   * @param path its path
   * @return the configuration
   * @throws IOException where it cannot be read or understood, or lacks a key
   */
  Config readSuccessor(String path) throws IOException {
    Config next = read(path);
    source.requireKeysIn(next.source);
    return next;
  }

  /**
   * This configuration with those fields of a new one that a running server can apply.
   *
   * @param next the new one
   * @return the one to be in force
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

  /** The names of the fields in which a new configuration differs that need a restart. */
  String restartRequiredFor(Config next) {
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
   * Reads our own settings of a shop server.
   *
   * @param file our settings script, or where its name ends with {@code .json} the older form, a
   *     JSON object with the field {@code listen} that says where AJP is spoken
   * @return the settings
   * @throws IOException where it cannot be read or understood
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
        throw new InvalidInputException("something follows the JSON object");
      }
      return fields;
    } catch (IllegalStateException notObject) {
      throw new InvalidInputException("not a JSON object");
    }
  }

  private static long seed(String text) throws InvalidInputException {
    try {
      return Long.parseUnsignedLong(text, HEXADECIMAL);
    } catch (NumberFormatException notNumber) {
      throw new InvalidInputException("field seed: not a hexadecimal number");
    }
  }

  /** Where operators connect: as configured, else as the environment says. */
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
