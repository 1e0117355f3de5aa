package mothwing.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import mothwing.dns.zone.Answer;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.RRset;
import mothwing.dns.zone.Resolver;
import mothwing.dns.zone.Zone;
import mothwing.dns.zone.ZoneFile;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * The zone's trie against plain ones, a HashMap and a TreeMap of names to HashMaps of sets: bytes a
 * record, look-ups a second, and the cost of one update that leaves the former version whole. The
 * plain one copies its outer map for that.
 */
public final class ZoneBench {
  private static final int LOOKUPS = 400_000;
  private static Object sink;

  private ZoneBench() {}

  private static DomainName host(int i) throws Exception {
    return DomainName.parse("till" + i + ".shop" + i % 997 + ".example.org.", DomainName.ROOT);
  }

  private static RRset address(int i) {
    return RRset.of(
        Type.A, 300, List.of(new byte[] {10, (byte) (i >> 16), (byte) (i >> 8), (byte) i}));
  }

  private static long used() {
    sink = null;
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static double perSecond(int count, Runnable work) {
    long start = System.nanoTime();
    work.run();
    return count * 1e9 / (System.nanoTime() - start);
  }

  public static void main(String[] arguments) throws Exception {
    System.out.println(
        "records | bytes a record: trie, HashMap, TreeMap of the library's objects | look-ups/s: trie, HashMap, TreeMap"
            + " | update us: trie, HashMap copied, HashMap in place");
    measure(1_000); // warms up; not to be read
    for (int size : new int[] {1_000, 100_000, 1_000_000}) {
      measure(size);
    }
    load(1_000_000);
  }

  private static void measure(int size) throws Exception {
    DomainName origin = DomainName.parse("example.org.", DomainName.ROOT);
    long before = used();
    Zone zone = Zone.empty(origin);
    for (int i = 0; i < size; i++) {
      zone = zone.with(host(i), address(i));
    }
    double trieBytes = (used() - before) / (double) size;
    before = used();
    Map<DomainName, Map<Integer, RRset>> plain = new HashMap<>();
    for (int i = 0; i < size; i++) {
      plain.computeIfAbsent(host(i), name -> new HashMap<>()).put(Type.A, address(i));
    }
    double plainBytes = (used() - before) / (double) size;
    before = used();
    TreeMap<Name, Map<Integer, Record>> objects = new TreeMap<>();
    for (int i = 0; i < size; i++) {
      Name name = new Name(host(i).wire());
      objects
          .computeIfAbsent(name, one -> new HashMap<>())
          .put(Type.A, new ARecord(name, DClass.IN, 300, address(i).data().get(0)));
    }
    double objectBytes = (used() - before) / (double) size;

    Random random = new Random(size);
    DomainName[] asked = new DomainName[4096];
    for (int i = 0; i < asked.length; i++) {
      asked[i] = host(random.nextInt(size));
    }
    Zone whole = zone;
    double[] tries = new double[6];
    double[] plains = new double[6];
    double[] ordered = new double[6];
    Name[] names = new Name[asked.length];
    for (int i = 0; i < asked.length; i++) {
      names[i] = new Name(asked[i].wire());
    }
    for (int run = 0; run < 6; run++) { // the first warms up
      tries[run] =
          perSecond(
              LOOKUPS,
              () -> {
                for (int i = 0; i < LOOKUPS; i++) {
                  Answer answer = Resolver.ask(whole, asked[i & 4095], Type.A);
                  sink = answer;
                }
              });
      plains[run] =
          perSecond(
              LOOKUPS,
              () -> {
                for (int i = 0; i < LOOKUPS; i++) {
                  sink = plain.get(asked[i & 4095]).get(Type.A);
                }
              });
      ordered[run] =
          perSecond(
              LOOKUPS,
              () -> {
                for (int i = 0; i < LOOKUPS; i++) {
                  sink = objects.get(names[i & 4095]).get(Type.A);
                }
              });
    }
    int updates = 20_000;
    Spread update =
        Spread.of(
            () ->
                1e6
                    / perSecond(
                        updates,
                        () -> {
                          Zone version = whole;
                          for (int i = 0; i < updates; i++) {
                            version = version.with(asked[i & 4095], address(i));
                          }
                          sink = version;
                        }));
    int copies = Math.max(3, 2_000_000 / size);
    Spread copied =
        Spread.of(
            () ->
                1e6
                    / perSecond(
                        copies,
                        () -> {
                          Map<DomainName, Map<Integer, RRset>> version = plain;
                          for (int i = 0; i < copies; i++) {
                            version = new HashMap<>(version);
                            Map<Integer, RRset> sets = new HashMap<>(version.get(asked[i & 4095]));
                            sets.put(Type.A, address(i));
                            version.put(asked[i & 4095], sets);
                          }
                          sink = version;
                        }));
    Spread inPlace =
        Spread.of(
            () ->
                1e6
                    / perSecond(
                        updates,
                        () -> {
                          for (int i = 0; i < updates; i++) {
                            plain.get(asked[i & 4095]).put(Type.A, address(i));
                          }
                        }));
    System.out.printf(
        Locale.ROOT,
        "%,d | %.0f, %.0f, %.0f | %s, %s, %s | %s, %s, %s%n",
        size,
        trieBytes,
        plainBytes,
        objectBytes,
        Spread.of(java.util.Arrays.copyOfRange(tries, 1, 6)),
        Spread.of(java.util.Arrays.copyOfRange(plains, 1, 6)),
        Spread.of(java.util.Arrays.copyOfRange(ordered, 1, 6)),
        update,
        copied,
        inPlace);
  }

  private static void load(int size) throws Exception {
    StringBuilder text =
        new StringBuilder(
            "$TTL 300\n@ SOA ns hostmaster 1 3600 600 86400 60\n@ NS ns\nns A 10.0.0.1\n");
    for (int i = 0; i < size; i++) {
      text.append("till")
          .append(i)
          .append(".shop")
          .append(i % 997)
          .append(" A 10.")
          .append(i >> 16 & 255)
          .append('.')
          .append(i >> 8 & 255)
          .append('.')
          .append(i & 255)
          .append('\n');
    }
    byte[] bytes = text.toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    DomainName origin = DomainName.parse("example.org.", DomainName.ROOT);
    long before = used();
    Zone[] loaded = new Zone[1];
    Spread seconds =
        Spread.of(
            () -> {
              loaded[0] = null;
              try {
                long start = System.nanoTime();
                loaded[0] = ZoneFile.read("big", name -> bytes, origin, size + 10).zone();
                return (System.nanoTime() - start) / 1e9;
              } catch (java.io.IOException never) {
                throw new IllegalStateException(never);
              }
            });
    System.out.printf(
        Locale.ROOT,
        "zone file (%d MB): %s s to load, %.0f bytes for each of %,d records%n",
        bytes.length >> 20,
        seconds,
        (used() - before) / (double) size,
        loaded[0].records());
  }
}
