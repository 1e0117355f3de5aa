package mothwing.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the settings that a script gives, and the errors of invalid scripts. */
class SiteScriptTest {
  private static final String VALID_SCRIPT =
      """
            load("rooms.star", "rooms")
            ajp(listen = "127.0.0.1:8009")
            dns(listen = "127.0.0.1:5353", state = "state", idle_ms = 500)
            key(name = "till-key", secret_file = "till.key")
            zone(name = "Example.org.", file = "example.zone", updates = [
                allow(key = "till-key", names = "*.%s.example.org" % room, types = ["A", "srv"]) for room in rooms])
            """;

  @TempDir private Path directory;

  @BeforeEach
  void writeFiles() throws IOException {
    Files.writeString(directory.resolve("rooms.star"), "rooms = ['nasr-city', 'sixth-october']\n");
    Files.writeString(directory.resolve("till.key"), "MDEyMzQ1Njc4OWFiY2RlZg==\n");
    Files.writeString(directory.resolve("example.zone"), "");
  }

  private Site read(String script) throws IOException {
    return SiteScript.read(Files.writeString(directory.resolve("site.star"), script));
  }

  @Test
  void readsSettingsFromScript() throws IOException {
    Site site = read(VALID_SCRIPT);
    assertEquals(8009, site.ajp().getPort());
    assertEquals(500, site.dns().limits().idleMs());
    assertEquals(1232, site.dns().limits().udpBytes());
    assertEquals(16, Secret.read(site.dns().keys().get(0)).length);
    Site.Zone zone = site.dns().zones().get(0);
    assertEquals("example.org", zone.name());
    assertEquals(2, zone.rights().size());
    assertEquals(
        new Site.Right("till-key", "*.sixth-october.example.org", Set.of("A", "SRV")),
        zone.rights().get(1));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "127.0.0.1:5353| till.svc:53| site.star:3:1: dns: field listen: not an address",
        "idle_ms = 500| idle_ms = 5| site.star:3:1: dns: argument idle_ms is 5, expected 100 to 600000",
        "idle_ms = 500| idle = 5| site.star:3:1: dns: unknown argument idle",
        "state = \"state\"| state = \"../state\"| is not below the settings' folder",
        "state = \"state\"| state = 7| argument state is an int, expected a string",
        "till.key| /etc/hostname| is not below the settings' folder",
        "example.zone| none.zone| zone: argument file: no such file: none.zone",
        "key(name = \"till-key\"| key(name = \"other\"| zone: there is no key till-key",
        "secret_file| algorithm = \"md5\", secret_file| key: unknown algorithm md5",
        "[\"A\", \"srv\"]| [\"A\", 1]| argument types[1] is an int, expected a type of records",
        "[\"A\", \"srv\"]| [\"SOA\"]| allow: types cannot have SOA",
        ".example.org\"| .example.net\"| which is outside of zone example.org",
        "dns(| #| there are zones but no dns"
      })
  void rejectsInvalidScriptWithPositionAndReason(String valid, String invalid, String message) {
    IOException error =
        assertThrows(IOException.class, () -> read(VALID_SCRIPT.replace(valid, invalid)));
    assertTrue(error.getMessage().startsWith("site.star:"), error::getMessage);
    assertTrue(error.getMessage().contains(message), error::getMessage);
  }

  /** Guards against a symbolic link out of the directory, in load() and in a file argument. */
  @Test
  void rejectsSymbolicLinkOutOfDirectory(@TempDir Path outside) throws IOException {
    Files.writeString(outside.resolve("out.star"), "rooms = []\n");
    Files.createSymbolicLink(directory.resolve("link.star"), outside.resolve("out.star"));
    String script = VALID_SCRIPT.replace("rooms.star", "link.star");
    assertTrue(
        assertThrows(IOException.class, () -> read(script)).getMessage().contains("lies outside"));
    assertTrue(
        assertThrows(
                IOException.class, () -> read(VALID_SCRIPT.replace("example.zone", "link.star")))
            .getMessage()
            .contains("lies outside"));
  }

  @Test
  void rejectsInvalidSecretWithoutShowingIt() throws IOException {
    Site.Key key = read(VALID_SCRIPT).dns().keys().get(0);
    for (String invalid : new String[] {"short", "c2hvcnQ=", "not base64 at all!"}) {
      Files.writeString(directory.resolve("till.key"), invalid);
      IOException error = assertThrows(IOException.class, () -> Secret.read(key));
      assertTrue(error.getMessage().startsWith("key till-key: till.key "), error::getMessage);
      assertTrue(!error.getMessage().contains(invalid), error::getMessage);
    }
  }
}
