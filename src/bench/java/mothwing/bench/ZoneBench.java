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
 * Compares the trie of a zone with a HashMap and a TreeMap from names to HashMaps of record sets,
 * by bytes per record, lookups per second, and the cost of an update that preserves the previous
 * version. The HashMap copies its outer map for such an update.
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

  private static long usedHeapBytes() {
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
        "records | bytes per record: trie, HashMap, TreeMap of dnsjava objects | lookups/s: trie, HashMap, TreeMap"
            + " | us per update: trie, copied HashMap, HashMap in place");
    measure(1_000); // the warm-up
    for (int size : new int[] {1_000, 100_000, 1_000_000}) {
      measure(size);
    }
    loadZoneFile(1_000_000);
  }

  private static void measure(int size) throws Exception {
    DomainName origin = DomainName.parse("example.org.", DomainName.ROOT);
    long heapBefore = usedHeapBytes();
    Zone zone = Zone.empty(origin);
    for (int i = 0; i < size; i++) {
      zone = zone.with(host(i), address(i));
    }
    double trieBytes = (usedHeapBytes() - heapBefore) / (double) size;
    heapBefore = usedHeapBytes();
    Map<DomainName, Map<Integer, RRset>> hashMap = new HashMap<>();
    for (int i = 0; i < size; i++) {
      hashMap.computeIfAbsent(host(i), name -> new HashMap<>()).put(Type.A, address(i));
    }
    double hashMapBytes = (usedHeapBytes() - heapBefore) / (double) size;
    heapBefore = usedHeapBytes();
    TreeMap<Name, Map<Integer, Record>> treeMap = new TreeMap<>();
    for (int i = 0; i < size; i++) {
      Name name = new Name(host(i).wire());
      treeMap
          .computeIfAbsent(name, absent -> new HashMap<>())
          .put(Type.A, new ARecord(name, DClass.IN, 300, address(i).data().get(0)));
    }
    double treeMapBytes = (usedHeapBytes() - heapBefore) / (double) size;

    Random random = new Random(size);
    DomainName[] queryNames = new DomainName[4096];
    for (int i = 0; i < queryNames.length; i++) {
      queryNames[i] = host(random.nextInt(size));
    }
    Zone filledZone = zone;
    double[] trieRates = new double[6];
    double[] hashMapRates = new double[6];
    double[] treeMapRates = new double[6];
    Name[] libraryNames = new Name[queryNames.length];
    for (int i = 0; i < queryNames.length; i++) {
      libraryNames[i] = new Name(queryNames[i].wire());
    }
    for (int run = 0; run < 6; run++) { // run 0 is the warm-up
      trieRates[run] =
          perSecond(
              LOOKUPS,
              () -> {
                for (int i = 0; i < LOOKUPS; i++) {
                  Answer answer = Resolver.ask(filledZone, queryNames[i & 4095], Type.A);
                  sink = answer;
                }
              });
      hashMapRates[run] =
          perSecond(
              LOOKUPS,
              () -> {
                for (int i = 0; i < LOOKUPS; i++) {
                  sink = hashMap.get(queryNames[i & 4095]).get(Type.A);
                }
              });
      treeMapRates[run] =
          perSecond(
              LOOKUPS,
              () -> {
                for (int i = 0; i < LOOKUPS; i++) {
                  sink = treeMap.get(libraryNames[i & 4095]).get(Type.A);
                }
              });
    }
    int updates = 20_000;
    Spread trieUpdates =
        Spread.of(
            () ->
                1e6
                    / perSecond(
                        updates,
                        () -> {
                          Zone version = filledZone;
                          for (int i = 0; i < updates; i++) {
                            version = version.with(queryNames[i & 4095], address(i));
                          }
                          sink = version;
                        }));
    int copies = Math.max(3, 2_000_000 / size);
    Spread copiedUpdates =
        Spread.of(
            () ->
                1e6
                    / perSecond(
                        copies,
                        () -> {
                          Map<DomainName, Map<Integer, RRset>> version = hashMap;
                          for (int i = 0; i < copies; i++) {
                            version = new HashMap<>(version);
                            Map<Integer, RRset> sets =
                                new HashMap<>(version.get(queryNames[i & 4095]));
                            sets.put(Type.A, address(i));
                            version.put(queryNames[i & 4095], sets);
                          }
                          sink = version;
                        }));
    Spread inPlaceUpdates =
        Spread.of(
            () ->
                1e6
                    / perSecond(
                        updates,
                        () -> {
                          for (int i = 0; i < updates; i++) {
                            hashMap.get(queryNames[i & 4095]).put(Type.A, address(i));
                          }
                        }));
    System.out.printf(
        Locale.ROOT,
        "%,d | %.0f, %.0f, %.0f | %s, %s, %s | %s, %s, %s%n",
        size,
        trieBytes,
        hashMapBytes,
        treeMapBytes,
        Spread.of(java.util.Arrays.copyOfRange(trieRates, 1, 6)),
        Spread.of(java.util.Arrays.copyOfRange(hashMapRates, 1, 6)),
        Spread.of(java.util.Arrays.copyOfRange(treeMapRates, 1, 6)),
        trieUpdates,
        copiedUpdates,
        inPlaceUpdates);
  }

  private static void loadZoneFile(int size) throws Exception {
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
    long heapBefore = usedHeapBytes();
    Zone[] loaded = new Zone[1];
    Spread loadSeconds =
        Spread.of(
            () -> {
              loaded[0] = null;
              try {
                long start = System.nanoTime();
                loaded[0] = ZoneFile.read("large", name -> bytes, origin, size + 10).zone();
                return (System.nanoTime() - start) / 1e9;
              } catch (java.io.IOException impossible) {
                throw new IllegalStateException(impossible);
              }
            });
    System.out.printf(
        Locale.ROOT,
        "zone file (%d MB): %s s to load, %.0f bytes per record, %,d records%n",
        bytes.length >> 20,
        loadSeconds,
        (usedHeapBytes() - heapBefore) / (double) size,
        loaded[0].records());
  }
}
