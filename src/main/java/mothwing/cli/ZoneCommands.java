package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import mothwing.dns.server.ZoneFiles;
import mothwing.dns.zone.ChangeSet;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.Fault;
import mothwing.dns.zone.RRset;
import mothwing.dns.zone.Rr;
import mothwing.dns.zone.ZoneFile;
import mothwing.settings.InvalidInputException;
import mothwing.settings.Site;

/** Commands on zone files. */
final class ZoneCommands {
  private ZoneCommands() {}

  static DomainName name(String text) throws InvalidInputException {
    try {
      return DomainName.parse(text, DomainName.ROOT);
    } catch (DomainName.Bad bad) {
      throw new InvalidInputException(bad.getMessage());
    }
  }

  private static ZoneFile.Result read(String file, String origin) throws IOException {
    return ZoneFiles.read(Path.of(file), name(origin), Site.DnsLimits.DEFAULTS.records(), false);
  }

  /**
   * Prints every fault and the counts. Ends with 1 where a record was refused or the zone cannot be
   * served.
   */
  static int check(String file, String origin, PrintStream out) throws IOException {
    ZoneFile.Result result = read(file, origin);
    for (Fault fault : result.faults()) {
      out.println(fault);
    }
    String unusable = result.zone().unusable();
    if (unusable != null) {
      out.println(Path.of(file).getFileName() + ": cannot be served: " + unusable);
    }
    out.println(result.zone().records() + " records, " + result.refused() + " refused");
    return result.refused() > 0 || unusable != null ? 1 : 0;
  }

  /** Prints the records that go and come. Ends with 1 where there are any. */
  static int diff(String from, String to, String origin, PrintStream out) throws IOException {
    ChangeSet changes = ChangeSet.between(read(from, origin).zone(), read(to, origin).zone());
    for (ChangeSet.Change one : changes.changes()) {
      print(out, "-", one, one.before(), one.after());
      print(out, "+", one, one.after(), one.before());
    }
    return changes.isEmpty() ? 0 : 1;
  }

  private static void print(
      PrintStream out, String sign, ChangeSet.Change change, RRset set, RRset other) {
    if (set == null) {
      return;
    }
    boolean sameTtl = other != null && other.ttl() == set.ttl();
    for (byte[] data : set.data()) {
      if (!sameTtl || other.data().stream().noneMatch(one -> java.util.Arrays.equals(one, data))) {
        out.println(sign + " " + new Rr(change.owner(), change.type(), set.ttl(), data));
      }
    }
  }
}
