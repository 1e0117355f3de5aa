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
 * What a shop server is told.
 *
 * @param name its name
 * @param listen where gateways connect
 * @param pool where the worker pool listens
 * @param announce where the announce service listens
 * @param ledger where the tier below is called, or null for nowhere
 * @param management where operators call, or null for nowhere
 * @param stopMs milliseconds from the notice to leave to the stop
 * @param sockets most descriptors
 * @param settings the settings of the site
 * @param source all that it was read from
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
    JsonFields all = object(json);
    Settings settings = SettingsCodec.read(seed(all.text("seed")), all.requiredObject("settings"));
    if (settings.classes().isEmpty()) {
      throw new InvalidInputException("field settings.Classes: required");
    }
    return new Config(
        all.text("name"),
        address(all, "listen"),
        address(all, "pool"),
        address(all, "announce"),
        ledger(all.text("ledger", "")),
        management(all.text("management", "")),
        all.positive("stop_ms"),
        (int) all.requiredObject("limits").positive("sockets"),
        settings,
        all);
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
   * Reads the file that is to follow this configuration. A file that names less than this one was
   * cut, or is not meant.
   *
   * @param path its path
   * @return the configuration
   * @throws IOException where it cannot be read or understood, or lacks a key
   */
  Config readSuccessor(String path) throws IOException {
    Config now = read(path);
    source.requireKeysIn(now.source);
    return now;
  }

  /**
   * This configuration with what a running server can take of a new one.
   *
   * @param now the new one
   * @return the one in force
   */
  Config withReloaded(Config now) {
    return new Config(
        name,
        listen,
        now.pool,
        now.announce,
        now.ledger,
        management,
        now.stopMs,
        sockets,
        now.settings,
        now.source);
  }

  /** The fields in which a new configuration asks for what only a new start can give. */
  String restartRequiredFor(Config now) {
    List<String> all = new ArrayList<>();
    if (!name.equals(now.name)) {
      all.add("name");
    }
    if (!listen.equals(now.listen)) {
      all.add("listen");
    }
    if (!Objects.equals(management, now.management)) {
      all.add("management");
    }
    if (sockets != now.sockets) {
      all.add("limits");
    }
    return String.join(",", all);
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
      JsonFields all = JsonFields.read(reader);
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new InvalidInputException("something follows the JSON object");
      }
      return all;
    } catch (IllegalStateException notObject) {
      throw new InvalidInputException("not a JSON object");
    }
  }

  private static long seed(String text) throws InvalidInputException {
    try {
      return Long.parseUnsignedLong(text, HEXADECIMAL);
    } catch (NumberFormatException notOne) {
      throw new InvalidInputException("field seed: not a hexadecimal number");
    }
  }

  /** Where operators call: what the configuration says, else what the environment does. */
  private static InetSocketAddress management(String told) throws InvalidInputException {
    String address =
        told.isEmpty() ? Objects.requireNonNullElse(System.getenv("EDGE_MANAGEMENT"), "") : told;
    return address.isEmpty() ? null : Addresses.read(address, "management");
  }

  private static InetSocketAddress ledger(String told) throws InvalidInputException {
    return told.isEmpty() ? null : Addresses.read(told, "ledger");
  }

  private static InetSocketAddress address(JsonFields all, String name)
      throws InvalidInputException {
    return Addresses.read(all.text(name), name);
  }
}
