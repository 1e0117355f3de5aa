package mothwing.dns.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * The zone as a structure and as an authority: against a plain map, and against answers worked out
 * by hand.
 */
class ZoneTest {
  static final String TEXT =
      """
            $TTL 300
            @ SOA ns hostmaster 10 3600 600 86400 60
            @ NS ns
            @ MX 10 mail
            ns A 10.0.0.1
            mail AAAA fd00::25
            till.nasr-city A 10.1.0.1
            till.nasr-city A 10.1.0.2
            *.wild TXT "any"
            *.wild A 10.9.9.9
            host.sub.wild A 10.8.8.8
            alias CNAME till.nasr-city
            chain CNAME alias
            out CNAME www.example.net.
            loop1 CNAME loop2
            loop2 CNAME loop1
            shops NS ns.shops
            shops NS ns.other.example.
            ns.shops A 10.2.0.1
            old DNAME nasr-city
            _till._tcp SRV 0 5 8009 till.nasr-city
            """;

  static DomainName name(String text) {
    try {
      return DomainName.parse(text, DomainName.parse("example.org.", DomainName.ROOT));
    } catch (DomainName.Bad bad) {
      throw new IllegalArgumentException(bad);
    }
  }

  static ZoneFile.Result read(String text) {
    try {
      return ZoneFile.read(
          "z",
          file -> text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1),
          name("@"),
          100_000);
    } catch (java.io.IOException bad) {
      throw new IllegalArgumentException(bad);
    }
  }

  static List<String> lines(Zone zone) {
    List<String> all = new ArrayList<>();
    zone.forEach(
        (owner, set) ->
            set.data()
                .forEach(data -> all.add(new Rr(owner, set.type(), set.ttl(), data).toString())));
    return all;
  }

  private static String shown(List<Answer.Part> parts, DomainName asked) {
    return parts.stream()
        .flatMap(
            part ->
                part.set().data().stream()
                    .map(
                        data ->
                            (part.owner() == null ? asked : part.owner())
                                    .toString()
                                    .replace("example.org.", "")
                                + " "
                                + Type.string(part.set().type())
                                + " "
                                + Rr.show(part.set().type(), data).replace(".example.org.", "")))
        .collect(Collectors.joining(", "));
  }

  /**
   * Each line: question; code; aa; answer; authority; additional - from the RFCs, worked out by
   * hand.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "till.nasr-city A|0|true|till.nasr-city. A 10.1.0.1, till.nasr-city. A 10.1.0.2||",
        "till.nasr-city TXT|0|true||SOA|",
        "nasr-city A|0|true||SOA|",
        "none A|3|true||SOA|",
        "x.till.nasr-city A|3|true||SOA|",
        "@ NS|0|true|NS ns||ns. A 10.0.0.1",
        "@ MX|0|true|MX 10 mail||mail. AAAA fd00:0:0:0:0:0:0:25",
        "a.wild A|0|true|a.wild. A 10.9.9.9||",
        "a.b.wild TXT|0|true|a.b.wild. TXT \"any\"||",
        "a.wild MX|0|true||SOA|",
        "*.wild A|0|true|*.wild. A 10.9.9.9||",
        "sub.wild A|0|true||SOA|",
        "a.sub.wild A|3|true||SOA|",
        "alias A|0|true|alias. CNAME till.nasr-city, till.nasr-city. A 10.1.0.1, till.nasr-city. A 10.1.0.2||",
        "chain MX|0|true|chain. CNAME alias, alias. CNAME till.nasr-city|SOA|",
        "alias CNAME|0|true|alias. CNAME till.nasr-city||",
        "out A|0|true|out. CNAME www.example.net.||",
        "loop1 A|0|true|loop1. CNAME loop2, loop2. CNAME loop1||",
        "shops A|0|false||shops. NS ns.other.example., shops. NS ns.shops|ns.shops. A 10.2.0.1",
        "a.b.shops A|0|false||shops. NS ns.other.example., shops. NS ns.shops|ns.shops. A 10.2.0.1",
        "shops DS|0|true||SOA|",
        "till.old A|0|true|old. DNAME nasr-city, till.old. CNAME till.nasr-city, till.nasr-city. A 10.1.0.1, till.nasr-city. A 10.1.0.2||",
        "old A|0|true||SOA|",
        "_till._tcp SRV|0|true|_till._tcp. SRV 0 5 8009 till.nasr-city||till.nasr-city. A 10.1.0.1, till.nasr-city. A 10.1.0.2",
        "ns ANY|0|true|ns. A 10.0.0.1||"
      })
  void answers(
      String question, int rcode, boolean aa, String answer, String authority, String additional) {
    DomainName asked = name(question.split(" ")[0]);
    Answer found = Resolver.ask(read(TEXT).zone(), asked, Type.value(question.split(" ")[1]));
    assertEquals(rcode, found.rcode());
    assertEquals(aa, found.authoritative());
    assertEquals(answer == null ? "" : answer, shown(found.answer(), asked).strip());
    String soa = shown(found.authority(), asked).strip();
    assertEquals(authority == null ? "" : authority, soa.startsWith("SOA ") ? "SOA" : soa);
    assertEquals(additional == null ? "" : additional, shown(found.additional(), asked));
    if ("SOA".equals(authority)) {
      assertEquals(60, found.authority().get(0).ttl()); // the minimum, below the record's own 300
    }
  }

  @Test
  void aDnameThatMakesTooLongANameSaysSo() {
    String label = "a".repeat(60) + ".";
    Zone zone =
        read("$TTL 1\n@ SOA a b 1 1 1 1 1\n@ NS a\nd DNAME " + label.repeat(3) + "\n").zone();
    Answer answer = Resolver.ask(zone, name("b." + label.repeat(2) + "d"), Type.A);
    assertEquals(Rcode.YXDOMAIN, answer.rcode());
    assertEquals(1, answer.answer().size());
  }

  /**
   * Random changes against a plain map: same content, same counts, order kept, and old versions
   * untouched.
   */
  @Property(seed = "1764576025", tries = 60)
  void isAPersistentMap(@ForAll long seed) {
    Random random = new Random(seed);
    Zone zone = Zone.empty(name("@"));
    Map<DomainName, Map<Integer, RRset>> plain = new TreeMap<>();
    List<Zone> versions = new ArrayList<>();
    List<List<String>> contents = new ArrayList<>();
    String[] labels = {"a", "b", "aa", "ab", "*", "\\000", "till", "\\255x", "nasr-city", "t"};
    for (int i = 0; i < 120; i++) {
      DomainName owner =
          name(
              random.nextInt(12) == 0
                  ? "@"
                  : labels[random.nextInt(10)]
                      + (random.nextBoolean() ? "" : "." + labels[random.nextInt(10)])
                      + (random.nextBoolean() ? "" : ".shop" + random.nextInt(40)));
      int type = random.nextBoolean() ? Type.A : Type.TXT;
      if (random.nextInt(3) > 0) {
        RRset set =
            RRset.of(type, i, List.of(new byte[] {1, (byte) i, 0, 0}, new byte[] {1, 7, 0, 0}));
        zone = zone.with(owner, set);
        plain.computeIfAbsent(owner, one -> new TreeMap<>()).put(type, set);
      } else {
        zone = zone.without(owner, type);
        plain.getOrDefault(owner, new TreeMap<>()).remove(type);
        plain.values().removeIf(Map::isEmpty);
      }
      if (i % 20 == 0) {
        versions.add(zone);
        contents.add(lines(zone));
      }
    }
    List<String> expected = new ArrayList<>();
    plain.forEach(
        (owner, sets) ->
            sets.values()
                .forEach(
                    set ->
                        set.data()
                            .forEach(
                                data ->
                                    expected.add(
                                        new Rr(owner, set.type(), set.ttl(), data).toString()))));
    assertEquals(expected, lines(zone));
    assertEquals(expected.size(), zone.records());
    assertEquals(plain.size(), zone.names());
    for (DomainName owner : plain.keySet()) {
      assertEquals(List.copyOf(plain.get(owner).values()), zone.sets(owner));
    }
    for (int i = 0; i < versions.size(); i++) {
      assertEquals(contents.get(i), lines(versions.get(i)));
    }
    diffsLeadFromOneToTheOther(versions.get(random.nextInt(versions.size())), zone);
  }

  private static void diffsLeadFromOneToTheOther(Zone from, Zone to) {
    ChangeSet changes = ChangeSet.between(from, to);
    byte[] written = ZoneCodec.bytes(out -> ZoneCodec.changes(out, changes));
    try {
      ChangeSet read = ZoneCodec.changes(ZoneCodec.read(written));
      assertEquals(changes, read);
      assertEquals(lines(to), lines(read.apply(from)));
      assertTrue(ChangeSet.between(to, read.apply(from)).isEmpty());
    } catch (java.io.IOException | ChangeSet.Mismatch bad) {
      throw new AssertionError(bad);
    }
  }

  @Test
  void namesAreReadAndOrdered() throws Exception {
    // The example of RFC 4034 section 6.1.
    List<String> order =
        List.of(
            "example.",
            "a.example.",
            "yljkjljk.a.example.",
            "z.a.example.",
            "zabc.a.example.",
            "z.example.",
            "\\001.z.example.",
            "*.z.example.",
            "\\200.z.example.");
    List<DomainName> names = new ArrayList<>();
    for (String one : order) {
      names.add(DomainName.parse(one.toUpperCase(Locale.ROOT), DomainName.ROOT));
      assertEquals(one, names.get(names.size() - 1).toString());
    }
    assertEquals(
        names,
        List.copyOf(
            new TreeSet<>(names.stream().sorted(java.util.Collections.reverseOrder()).toList())));
    for (String bad :
        new String[] {
          "", "a..b", ".a", "a".repeat(64), "a.".repeat(127) + "a.b", "a\\", "\\256", "a b"
        }) {
      try {
        DomainName.parse(bad, DomainName.ROOT);
        throw new AssertionError(bad + " was taken for a name");
      } catch (DomainName.Bad said) {
        assertFalse(said.getMessage().isEmpty());
      }
    }
    assertSame(DomainName.ROOT, DomainName.parse(".", DomainName.ROOT));
    assertEquals(255, DomainName.parse("a.".repeat(127), DomainName.ROOT).wire().length);
  }

  @Test
  void serialsWrap() {
    int[][] greater = {
      {1, 0},
      {44, 0},
      {100, 0},
      {100, 44},
      {200, 100},
      {0, 0x9c000001},
      {0x80000000, 1},
      {0, 0xffffffff}
    };
    for (int[] pair : greater) {
      assertTrue(Serial.greater(pair[0], pair[1]), Arrays.toString(pair));
      assertFalse(Serial.greater(pair[1], pair[0]), Arrays.toString(pair));
    }
    assertFalse(Serial.greater(0x80000000, 0) || Serial.greater(0, 0x80000000));
    assertEquals(1, Serial.next(0xffffffff));
    assertTrue(Serial.greater(Serial.next(0xffffffff), 0xffffffff));
  }
}
