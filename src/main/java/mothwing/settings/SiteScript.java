package mothwing.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import mothwing.script.Arguments;
import mothwing.script.Limits;
import mothwing.script.Script;
import mothwing.script.ScriptError;
import mothwing.script.Sources;
import mothwing.settings.Site.DnsLimits;

/**
 * Reads the settings of an installation from a script, as described in docs/settings.md. Each
 * built-in function of the script adds to the settings. One instance reads one script.
 */
public final class SiteScript {
  private static final int MAX_SEEDS = 16;
  private static final int MAX_ENTRIES = 1 << 24;
  private static final int MAX_DOMAIN_NAME_CHARS = 253;
  private static final Set<String> ALGORITHMS =
      Set.of("hmac-sha1", "hmac-sha224", "hmac-sha256", "hmac-sha384", "hmac-sha512");

  private final Path directory;
  private final List<Site.Key> keys = new ArrayList<>();
  private final List<Site.Zone> zones = new ArrayList<>();
  private final Map<Site.Zone, Arguments> zoneCalls = new LinkedHashMap<>();
  private InetSocketAddress ajp;
  private Site.Fleet fleet;
  private Site.Dns dns;
  private Arguments dnsCall;

  private SiteScript(Path directory) {
    this.directory = directory;
  }

  /**
   * Reads the settings from a script.
   *
   * @param file the script; all files that it names are inside its directory
   * @return the settings
   * @throws IOException if the script cannot be read or is invalid; the message names the position
   */
  public static Site read(Path file) throws IOException {
    Path directory = file.toAbsolutePath().getParent();
    SiteScript script = new SiteScript(directory);
    Map<String, Script.Builtin> builtins = new LinkedHashMap<>();
    builtins.put("ajp", script::ajp);
    builtins.put("fleet", script::fleet);
    builtins.put("dns", script::dns);
    builtins.put("key", script::key);
    builtins.put("zone", script::zone);
    builtins.put("allow", SiteScript::allow);
    Script.run(file.getFileName().toString(), Sources.below(directory), Limits.USUAL, builtins);
    return script.createSite();
  }

  /**
   * Checks the zones and keys against each other and creates the settings, once the script has run.
   */
  private Site createSite() throws ScriptError {
    if (dns == null && !zones.isEmpty()) {
      throw zoneCalls.get(zones.get(0)).wrong("there are zones but no dns(listen = ...)");
    }
    Set<String> keyNames = new HashSet<>();
    keys.forEach(key -> keyNames.add(key.name()));
    for (Site.Zone zone : zones) {
      for (Site.Right right : zone.rights()) {
        if (!keyNames.contains(right.key())) {
          throw zoneCalls.get(zone).wrong("there is no key " + right.key());
        }
      }
    }
    if (dns != null && zones.isEmpty()) {
      throw dnsCall.wrong("there is no zone to serve, expected zone(name = ..., file = ...)");
    }
    return new Site(
        ajp,
        dns == null
            ? null
            : new Site.Dns(
                dns.listen(), dns.state(), dns.limits(), List.copyOf(keys), List.copyOf(zones)),
        fleet);
  }

  private static InetSocketAddress parseAddress(Arguments call, String name) throws ScriptError {
    return parseAddress(call, name, call.text(name));
  }

  private static InetSocketAddress parseAddress(Arguments call, String name, String text)
      throws ScriptError {
    try {
      return Addresses.parse(text, name);
    } catch (InvalidInputException invalid) {
      throw call.wrong(invalid.getMessage() + " (\"" + "127.0.0.1:5353\" is one)");
    }
  }

  private Object ajp(Arguments call) throws ScriptError {
    if (ajp != null) {
      throw call.wrong("is called twice");
    }
    ajp = parseAddress(call, "listen");
    call.done(0);
    return null;
  }

  private Object fleet(Arguments call) throws ScriptError {
    if (fleet != null) {
      throw call.wrong("is called twice");
    }
    String name = requireMemberName(call, "name", call.text("name"));
    InetSocketAddress listen = requireSpecific(call, "listen", parseAddress(call, "listen"));
    String advertised = call.text("advertise", "");
    InetSocketAddress advertise =
        advertised.isEmpty()
            ? listen
            : requireSpecific(call, "advertise", parseAddress(call, "advertise", advertised));
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (String seed : call.list("seeds", String.class, "an address")) {
      seeds.add(requireSpecific(call, "seeds", parseAddress(call, "seeds", seed)));
    }
    if (seeds.size() > MAX_SEEDS) {
      throw call.wrong(
          "argument seeds has " + seeds.size() + " addresses, expected at most " + MAX_SEEDS);
    }
    fleet =
        new Site.Fleet(
            name,
            listen,
            advertise,
            List.copyOf(seeds),
            requireMemberName(call, "zone", call.text("zone", "one")));
    call.done(0);
    return null;
  }

  private static String requireMemberName(Arguments call, String name, String text)
      throws ScriptError {
    if (!Site.Fleet.isValidName(text)) {
      throw call.wrong("argument " + name + ": \"" + text + "\" is not " + Site.Fleet.NAME_FORMAT);
    }
    return text;
  }

  /** Requires a specific address and port, so that other members can send to it. */
  private static InetSocketAddress requireSpecific(
      Arguments call, String name, InetSocketAddress address) throws ScriptError {
    if (address.getAddress().isAnyLocalAddress() || address.getPort() == 0) {
      throw call.wrong(
          "argument " + name + ": expected one address with a port, as others write to it");
    }
    return address;
  }

  private Object dns(Arguments call) throws ScriptError {
    if (dns != null) {
      throw call.wrong("is called twice");
    }
    DnsLimits defaults = DnsLimits.DEFAULTS;
    InetSocketAddress listen = parseAddress(call, "listen");
    Path state = resolve(call, call.text("state", "state"));
    DnsLimits limits =
        new DnsLimits(
            (int) call.whole("udp_bytes", defaults.udpBytes(), 512, 4096),
            (int) call.whole("unproven_bytes", defaults.unprovenBytes(), 0, 4096),
            (int) call.whole("connections", defaults.connections(), 1, 65_536),
            (int) call.whole("idle_ms", defaults.idleMs(), 100, 600_000),
            (int) call.whole("pipelined", defaults.pipelinedQueries(), 1, 1024),
            (int) call.whole("responses_per_second", defaults.responsesPerSecond(), 0, MAX_ENTRIES),
            (int) call.whole("prefixes", defaults.prefixes(), 16, MAX_ENTRIES),
            (int) call.whole("cached", defaults.cachedResponses(), 0, MAX_ENTRIES),
            (int) call.whole("records", defaults.records(), 1, MAX_ENTRIES),
            call.whole("journal_bytes", defaults.journalBytes(), 4096, 1L << 40),
            (int) call.whole("repeats", defaults.rememberedUpdates(), 16, MAX_ENTRIES),
            !call.text("control", "on").equals("off"));
    dns = new Site.Dns(listen, state, limits, List.of(), List.of());
    dnsCall = call;
    call.done(0);
    return null;
  }

  /** Resolves a path inside the directory of the script. The path need not exist yet. */
  private Path resolve(Arguments call, String name) throws ScriptError {
    Path path = directory.resolve(name).normalize();
    if (name.isEmpty()
        || !path.startsWith(directory.normalize())
        || path.equals(directory.normalize())) {
      throw call.wrong("\"" + name + "\" is not below the settings' folder");
    }
    return path;
  }

  private Path requireFile(Arguments call, String argument) throws ScriptError {
    String name = call.text(argument);
    resolve(call, name);
    try {
      Path path = Sources.inside(directory, name);
      if (!Files.isRegularFile(path)) {
        throw new IOException(name + " is not a file");
      }
      return path;
    } catch (IOException unreadable) {
      throw call.wrong("argument " + argument + ": " + unreadable.getMessage());
    }
  }

  /**
   * Returns a domain name in lower case without the trailing dot. The DNS server checks its labels.
   */
  private static String domainName(Arguments call, String name) throws ScriptError {
    String text = call.text(name).toLowerCase(Locale.ROOT);
    text = text.endsWith(".") ? text.substring(0, text.length() - 1) : text;
    if (text.isEmpty()
        || text.length() > MAX_DOMAIN_NAME_CHARS
        || text.contains("..")
        || text.startsWith(".")) {
      throw call.wrong("argument " + name + ": \"" + text + "\" is not a domain name");
    }
    return text;
  }

  private Object key(Arguments call) throws ScriptError {
    String name = domainName(call, "name");
    String algorithm = call.text("algorithm", "hmac-sha256").toLowerCase(Locale.ROOT);
    if (!ALGORITHMS.contains(algorithm)) {
      throw call.wrong(
          "unknown algorithm "
              + algorithm
              + ", expected one of "
              + ALGORITHMS.stream().sorted().toList());
    }
    if (keys.stream().anyMatch(existing -> existing.name().equals(name))) {
      throw call.wrong("key " + name + " is given twice");
    }
    Site.Key key = new Site.Key(name, algorithm, requireFile(call, "secret_file"));
    call.done(0);
    keys.add(key);
    return key;
  }

  private Object zone(Arguments call) throws ScriptError {
    String name = domainName(call, "name");
    if (zones.stream().anyMatch(existing -> existing.name().equals(name))) {
      throw call.wrong("zone " + name + " is given twice");
    }
    Site.Zone zone =
        new Site.Zone(
            name, requireFile(call, "file"), call.list("updates", Site.Right.class, "allow(...)"));
    call.done(0);
    for (Site.Right right : zone.rights()) {
      String names = right.names().startsWith("*.") ? right.names().substring(2) : right.names();
      if (!names.equals(name) && !names.endsWith("." + name)) {
        throw call.wrong("allow names " + right.names() + ", which is outside of zone " + name);
      }
    }
    zones.add(zone);
    zoneCalls.put(zone, call);
    return zone;
  }

  private static Object allow(Arguments call) throws ScriptError {
    String key = domainName(call, "key");
    String names = domainName(call, "names");
    Set<String> types = new LinkedHashSet<>();
    for (String type : call.list("types", String.class, "a type of records")) {
      types.add(type.toUpperCase(Locale.ROOT));
    }
    if (types.isEmpty()) {
      throw call.wrong("argument types is empty, expected types of records such as \"A\"");
    }
    if (types.contains("SOA") || types.contains("ANY")) {
      throw call.wrong("types cannot have " + (types.contains("SOA") ? "SOA" : "ANY"));
    }
    call.done(0);
    return new Site.Right(key, names, Set.copyOf(types));
  }
}
