package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import mothwing.settings.Site;
import mothwing.settings.SiteScript;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Holds each argument of each function of the settings script: what it sets, what stands for it
 * where it is absent, and what is said of a bad value.
 */
class ScriptWitnessTest {
  private static final int LINES_A_SCRIPT = 2;

  @TempDir private Path folder;

  @BeforeEach
  void files() throws IOException {
    Files.writeString(folder.resolve("quay.key"), "MDEyMzQ1Njc4OWFiY2RlZg==\n");
    Files.writeString(folder.resolve("quay.zone"), "");
  }

  private static String text(String name) throws IOException {
    try (InputStream file =
        ScriptWitnessTest.class.getResourceAsStream("/witness/script/" + name)) {
      return new String(file.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private Site read(String script) throws IOException {
    return SiteScript.read(Files.writeString(folder.resolve("site.star"), script));
  }

  @Test
  void eachArgumentOfAjpAndFleetSetsItsField() throws IOException {
    Site site = read(text("full.star"));
    assertEquals(new InetSocketAddress("127.0.0.1", 4201), site.ajp());
    assertEquals("quays", site.fleet().name());
    assertEquals(new InetSocketAddress("127.0.0.2", 4202), site.fleet().listen());
    assertEquals(new InetSocketAddress("127.0.0.3", 4203), site.fleet().advertise());
    assertEquals(
        List.of(new InetSocketAddress("127.0.0.4", 4204), new InetSocketAddress("::1", 4205)),
        site.fleet().seeds());
    assertEquals("east", site.fleet().zone());
  }

  @Test
  void eachArgumentOfDnsSetsItsField() throws IOException {
    Site.Dns dns = read(text("full.star")).dns();
    assertEquals(new InetSocketAddress("127.0.0.5", 4206), dns.listen());
    assertEquals("kept", dns.state().getFileName().toString());
    assertEquals(1001, dns.limits().udpBytes());
    assertEquals(1002, dns.limits().unprovenBytes());
    assertEquals(1003, dns.limits().connections());
    assertEquals(1004, dns.limits().idleMs());
    assertEquals(105, dns.limits().pipelinedQueries());
    assertEquals(1006, dns.limits().responsesPerSecond());
    assertEquals(1007, dns.limits().prefixes());
    assertEquals(1008, dns.limits().cachedResponses());
    assertEquals(1009, dns.limits().records());
    assertEquals(5010, dns.limits().journalBytes());
    assertEquals(1011, dns.limits().rememberedUpdates());
    assertFalse(dns.limits().isControlled());
  }

  @Test
  void eachArgumentOfKeyZoneAndAllowSetsItsField() throws IOException {
    Site.Dns dns = read(text("full.star")).dns();
    assertEquals("quay-key", dns.keys().get(0).name());
    assertEquals("hmac-sha512", dns.keys().get(0).algorithm());
    assertEquals("quay.key", dns.keys().get(0).secretFile().getFileName().toString());
    Site.Zone zone = dns.zones().get(0);
    assertEquals("quay.test", zone.name());
    assertEquals("quay.zone", zone.file().getFileName().toString());
    assertEquals("quay-key", zone.rights().get(0).key());
    assertEquals("*.quay.test", zone.rights().get(0).names());
    assertEquals(Set.of("A", "TXT"), zone.rights().get(0).types());
  }

  @Test
  void whatStandsForAnAbsentFunctionOrArgumentIsHeld() throws IOException {
    Site none = read("");
    assertNull(none.ajp());
    assertNull(none.dns());
    assertNull(none.fleet());
    Site site = read(text("least.star"));
    assertEquals(site.fleet().listen(), site.fleet().advertise());
    assertEquals(List.of(), site.fleet().seeds());
    assertEquals("one", site.fleet().zone());
    assertEquals("state", site.dns().state().getFileName().toString());
    assertEquals("hmac-sha256", site.dns().keys().get(0).algorithm());
    assertEquals(List.of(), site.dns().zones().get(0).rights());
  }

  @Test
  void whatStandsForAnAbsentLimitOfDnsIsHeld() throws IOException {
    Site.DnsLimits limits = read(text("least.star")).dns().limits();
    assertEquals(1232, limits.udpBytes());
    assertEquals(512, limits.unprovenBytes());
    assertEquals(512, limits.connections());
    assertEquals(10_000, limits.idleMs());
    assertEquals(32, limits.pipelinedQueries());
    assertEquals(0, limits.responsesPerSecond());
    assertEquals(16_384, limits.prefixes());
    assertEquals(8192, limits.cachedResponses());
    assertEquals(2_000_000, limits.records());
    assertEquals(64L << 20, limits.journalBytes());
    assertEquals(65_536, limits.rememberedUpdates());
    assertTrue(limits.isControlled());
  }

  /**
   * The file has two lines a script: the script, with a semicolon and a blank for each line end,
   * and the message or that it is taken.
   */
  @Test
  void badScriptsGetTheRecordedMessages() throws IOException {
    List<String> recorded = text("bad-scripts.txt").lines().toList();
    StringBuilder found = new StringBuilder();
    for (int place = 0; place < recorded.size(); place += LINES_A_SCRIPT) {
      String script = recorded.get(place);
      found.append(script).append('\n').append(message(script)).append('\n');
    }
    assertEquals(text("bad-scripts.txt"), found.toString());
  }

  private String message(String script) {
    try {
      read(script.replace("; ", "\n"));
      return "taken";
    } catch (IOException bad) {
      return bad.getMessage().replace(folder.toString(), "FOLDER").replace("\n", "\\n");
    }
  }
}
