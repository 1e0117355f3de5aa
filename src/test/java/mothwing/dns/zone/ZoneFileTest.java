package mothwing.dns.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xbill.DNS.Type;

/** Zone files: what is read, and what a malformed record costs. */
class ZoneFileTest {
  private static final String HEAD = "$TTL 300\n@ SOA ns host 1 2 3 4 5\n@ NS ns\nns A 10.0.0.1\n";

  private static ZoneFile.Result read(Map<String, String> files) throws IOException {
    return ZoneFile.read(
        "z",
        name -> {
          if (!files.containsKey(name)) {
            throw new IOException("no such file: " + name);
          }
          return files.get(name).getBytes(StandardCharsets.ISO_8859_1);
        },
        ZoneTest.name("@"),
        1000);
  }

  @Test
  void readsAllForms() throws IOException {
    ZoneFile.Result result =
        read(
            Map.of(
                "z",
                """
                $TTL 1h30m
                @   IN SOA ns host.example.net. ( 2026120101 ; serial
                        1h 10m ; refresh, retry
                        1w 1d )
                    NS ns
                    600 NS ns2.example.net.
                ns  600 IN A 10.0.0.1
                    IN 60 AAAA fd00::1
                txt TXT "a;b" "two \\"words\\"" (
                        plain ) ; comment with ( and "
                odd TYPE65280 \\# 3 010203
                $ORIGIN shops
                a   A 10.0.1.1
                $INCLUDE more inner
                b   A 10.0.1.2
                $GENERATE 1-3/2 till-${0,3} A 10.2.0.$
                """,
                "more",
                "c A 10.0.1.3\n$ORIGIN elsewhere\nd CNAME c.example.org.\n"));
    assertEquals(
        "[z:6: remark: TTL 600 differs from that of the other NS records of example.org., 5400, which "
            + "holds]",
        result.faults().toString());
    List<String> lines = ZoneTest.lines(result.zone());
    for (String one :
        new String[] {
          "example.org. 5400 SOA ns.example.org. host.example.net. 2026120101 3600 600 604800 86400",
          "ns.example.org. 60 AAAA fd00:0:0:0:0:0:0:1",
          "ns.example.org. 600 A 10.0.0.1",
          "txt.example.org. 5400 TXT \"a;b\" \"two \\\"words\\\"\" \"plain\"",
          "odd.example.org. 5400 TYPE65280 \\# 3 010203",
          "a.shops.example.org. 5400 A 10.0.1.1",
          "c.inner.shops.example.org. 5400 A 10.0.1.3",
          "d.elsewhere.inner.shops.example.org. 5400 CNAME c.example.org.",
          "b.shops.example.org. 5400 A 10.0.1.2",
          "till-001.shops.example.org. 5400 A 10.2.0.1",
          "till-003.shops.example.org. 5400 A 10.2.0.3"
        }) {
      assertTrue(lines.contains(one), () -> one + " is not in " + lines);
    }
    assertEquals(13, lines.size());
    assertNull(result.zone().unusable());
  }

  /**
   * Each malformed record, in the first, a middle and the last place: it is named with its line and
   * costs itself.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "bad A 10.0.0.256| A: Invalid address",
        "bad A| A without data",
        "bad FOO 1| unknown type FOO",
        "bad CH A 10.0.0.1| class CH, expected IN",
        "bad ANY 1| class ANY, expected IN",
        "bad..x A 10.0.0.1| name bad..x has an empty label",
        "out.example.net. A 10.0.0.1| outside of zone",
        "bad TXT \"open| quote is not closed on its line",
        "bad A 10.0.0.1 )| parenthesis is closed but not open",
        "bad TXT ( \"a\"| parenthesis is not closed",
        "bad SOA a b 1 2 3 4 5| SOA below the apex",
        "ns CNAME x| CNAME beside A at ns.example.org.",
        "@ SOA a b 1 2 3 4 5| a second SOA",
        "bad 99999999999 A 10.0.0.1| TTL 99999999999 is not a time",
        "$INCLUDE none| no such file: none",
        "$INCLUDE z| which includes this file",
        "$GENERATE 1-99999999 a A 1.2.3.4| more than 65536 steps",
        "bad TYPE65281 \\# 4 0102| invalid unknown RR",
        "$BOGUS| unknown directive $BOGUS",
        "bad MX mail| MX:"
      })
  void aMalformedRecordCostsItself(String bad, String reason) throws IOException {
    String[] good = {
      "a A 10.0.2.1\n", "b TXT ( \"x\"\n   \"y\" )\n", "c A 10.0.2.3\n\tA 10.0.2.4\n"
    };
    for (int place = 0; place <= good.length; place++) {
      String text = HEAD;
      int line = 5;
      for (int i = 0; i <= good.length; i++) {
        if (i == place) {
          line = (int) text.lines().count() + 1;
          text += bad + (i == good.length ? "" : "\n"); // the last without an end of line
        }
        text += i < good.length ? good[i] : "";
      }
      ZoneFile.Result result = read(Map.of("z", text));
      assertEquals(7, result.zone().records(), text);
      assertEquals(1, result.refused(), result.faults()::toString);
      Fault fault = result.faults().get(0);
      assertEquals(line, fault.line());
      assertTrue(fault.reason().contains(reason), fault::toString);
    }
  }

  /** Whose owner cannot be read does not go to the owner before. */
  @Test
  void aLostOwnerTakesNoRecordsElsewhere() throws IOException {
    ZoneFile.Result result =
        read(Map.of("z", HEAD + "x..y A 10.0.3.1\n  A 10.0.3.2\nz A 10.0.3.3\n  A 10.0.3.4\n"));
    assertEquals(
        "[z:5: name x..y has an empty label, "
            + "z:6: its owner is that of line 5, which cannot be read]",
        result.faults().toString());
    assertEquals(5, result.zone().records());
  }

  @Test
  void aZoneWithoutApexIsNotUsable() throws IOException {
    assertNotNull(read(Map.of("z", HEAD.replace("@ NS ns\n", ""))).zone().unusable());
    assertNotNull(
        read(Map.of("z", HEAD.replace("SOA ns host 1", "SOA ns host x"))).zone().unusable());
    assertNotNull(read(Map.of("z", "")).zone().unusable());
  }

  @Test
  void staysWithinItsBounds() throws IOException {
    StringBuilder many = new StringBuilder(HEAD);
    for (int i = 0; i < 2000; i++) {
      many.append("h").append(i).append(" A 10.0.0.1\n");
    }
    ZoneFile.Result result = read(Map.of("z", many.toString()));
    assertEquals(1000, result.zone().records());
    assertEquals(
        "z:1002: more than 1000 records; the rest of the file is not read",
        result.faults().get(0).toString());
    assertTrue(
        read(Map.of("z", "$INCLUDE a\n", "a", "$INCLUDE b\n", "b", "$INCLUDE a\n"))
            .faults()
            .toString()
            .contains("includes this file"));
  }

  /**
   * Garbled files: no exception, and each record that does not touch the garbled line is still
   * there.
   */
  @Property(seed = "1764576021", tries = 300)
  void garbledLinesCostOnlyThemselves(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      lines.add("host" + i + (i % 3 == 0 ? " TXT ( \"text " + i + "\" )" : " 60 IN A 10.0.4." + i));
    }
    int garbled = random.nextInt(lines.size());
    StringBuilder line = new StringBuilder(lines.get(garbled));
    for (int i = 0; i < 1 + random.nextInt(3); i++) {
      String noise = "()\";\\\t$@.\000\u00ff 1";
      line.setCharAt(random.nextInt(line.length()), noise.charAt(random.nextInt(noise.length())));
    }
    lines.set(garbled, line.toString());
    ZoneFile.Result result = read(Map.of("z", HEAD + String.join("\n", lines) + "\n"));
    for (int i = 0; i < lines.size(); i++) {
      if (i != garbled) {
        RRset set = result.zone().get(ZoneTest.name("host" + i), i % 3 == 0 ? Type.TXT : Type.A);
        String data = i % 3 == 0 ? "\"text " + i + "\"" : "10.0.4." + i;
        assertTrue(
            set != null
                && set.data().stream().anyMatch(one -> Rr.show(set.type(), one).equals(data)),
            "host" + i + " after " + line + result.faults());
      }
    }
  }
}
