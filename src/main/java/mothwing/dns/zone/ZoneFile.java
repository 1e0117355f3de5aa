package mothwing.dns.zone;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import mothwing.dns.zone.Entries.Entry;
import mothwing.dns.zone.Entries.Word;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.TTL;
import org.xbill.DNS.Type;

/**
 * Reads zone files (RFC 1035 section 5, RFC 2308 section 4 for $TTL, RFC 3597 for unknown types). A
 * malformed record costs itself alone. A record that takes its owner from the line before is
 * refused as well where that owner could not be read, and so are the records below a $ORIGIN that
 * could not be read: they would else go to names they were not meant for.
 */
public final class ZoneFile {
  /** Gives the text of a file. */
  @FunctionalInterface
  public interface Texts {
    /**
     * Reads a file.
     *
     * @param name its name
     * @return its bytes
     * @throws IOException where it cannot be read
     */
    byte[] read(String name) throws IOException;
  }

  /**
   * What was read.
   *
   * @param zone the records that could be read
   * @param faults what is wrong, in the order of reading
   * @param unread the sets to which refused lines may belong
   */
  public record Result(Zone zone, List<Fault> faults, UnreadRecords unread) {
    /**
     * How many records were refused.
     *
     * @return their number
     */
    public long refused() {
      return faults.stream().filter(Fault::refused).count();
    }
  }

  /** Most files that include each other. */
  public static final int MOST_DEPTH = 8;

  /** Most faults that are kept; those beyond are counted by a last one. */
  public static final int MOST_FAULTS = 10_000;

  private final Texts texts;
  private final int mostRecords;
  private final List<Fault> faults = new ArrayList<>();
  private final UnreadRecords unread = new UnreadRecords();
  private final Deque<String> including = new ArrayDeque<>();
  private Zone zone;
  private DomainName origin;
  private Name nativeOrigin;
  private DomainName owner;

  /** Owner and type of the record at hand, as far as they could be read. */
  private DomainName recordOwner;

  private int recordType;
  private int originLost;
  private int ownerLost;
  private int defaultTtl = -1;
  private int lastTtl = -1;
  private String file;
  private int line;
  private int unlisted;
  private boolean full;

  /** A record or directive that cannot be taken. */
  private static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;

    Refused(String message) {
      super(message, null, false, false);
    }
  }

  private ZoneFile(Texts texts, DomainName origin, int mostRecords) {
    this.texts = texts;
    this.mostRecords = mostRecords;
    this.zone = Zone.empty(origin);
    setOrigin(origin);
  }

  /**
   * Reads a zone.
   *
   * @param name the file's name, as {@code texts} knows it
   * @param texts gives it and those it includes
   * @param origin the zone's origin
   * @param mostRecords most records that are taken
   * @return what was read
   * @throws IOException where the file itself cannot be read
   */
  public static Result read(String name, Texts texts, DomainName origin, int mostRecords)
      throws IOException {
    ZoneFile reader = new ZoneFile(texts, origin, mostRecords);
    reader.file(name, texts.read(name));
    reader.remarks(name);
    if (reader.unlisted > 0) {
      reader.faults.add(new Fault(name, 0, "and " + reader.unlisted + " faults more", false));
    }
    return new Result(reader.zone, List.copyOf(reader.faults), reader.unread);
  }

  private void setOrigin(DomainName to) {
    origin = to;
    try {
      nativeOrigin = new Name(to.wire());
    } catch (IOException never) {
      throw new IllegalStateException(never);
    }
  }

  private void fault(String reason, boolean refused) {
    if (faults.size() < MOST_FAULTS) {
      faults.add(new Fault(file, line, reason, refused));
    } else {
      unlisted++;
    }
  }

  private void refuse(String reason) {
    fault(reason, true);
    unread.add(recordOwner, recordType);
  }

  private void file(String name, byte[] text) {
    String outer = file;
    file = name;
    including.push(name);
    Entries entries = new Entries(text);
    for (Entry entry = entries.next(); entry != null && !full; entry = entries.next()) {
      line = entry.line();
      forgetRecord();
      try {
        entry(entry);
      } catch (Refused bad) {
        refuse(bad.getMessage());
      }
    }
    including.pop();
    file = outer;
  }

  private void forgetRecord() {
    recordOwner = null;
    recordType = -1;
  }

  private void entry(Entry entry) throws Refused {
    List<Word> words = entry.words();
    boolean directive =
        !entry.blankOwner()
            && !words.isEmpty()
            && !words.get(0).quoted()
            && words.get(0).text().startsWith("$");
    if (directive) {
      if (entry.fault() != null) {
        throw new Refused(entry.fault());
      }
      directive(words);
      return;
    }
    if (!entry.blankOwner()) { // first, as the records after it may take their owner from here
      owner = null;
      ownerLost = line;
      if (words.isEmpty()) {
        throw new Refused(entry.fault());
      }
      owner = name(words.get(0).text());
    }
    recordOwner = owner;
    if (entry.fault() != null) {
      unread.add(null, recordType); // a parenthesis or a quote may have cut the name short
      throw new Refused(entry.fault());
    }
    if (owner == null) {
      throw new Refused(
          ownerLost == 0
              ? "no owner: the first record needs one"
              : "its owner is that of line " + ownerLost + ", which cannot be read");
    }
    record(words, entry.blankOwner());
  }

  private void record(List<Word> words, boolean blankOwner) throws Refused {
    try {
      record(words, blankOwner ? 0 : 1, owner);
    } catch (Refused bad) {
      if (blankOwner && recordType < 0 && !words.isEmpty()) {
        unread.addText(words.get(0).text(), origin); // its name, if the blank before it is a slip
      }
      throw bad;
    }
  }

  private DomainName name(String text) throws Refused {
    try {
      return DomainName.parse(text, origin);
    } catch (DomainName.Bad bad) {
      throw new Refused(bad.getMessage());
    }
  }

  private static int ttl(String text) throws Refused {
    try {
      long value = TTL.parse(text, true);
      if (value <= Integer.MAX_VALUE) {
        return (int) value;
      }
    } catch (NumberFormatException bad) {
      // falls through to the complaint
    }
    throw new Refused("TTL " + text + " is not a time of 0 to 2147483647 seconds");
  }

  private void record(List<Word> words, int from, DomainName name) throws Refused {
    int at = from;
    int ttl = -1;
    boolean classed = false;
    int type = -1;
    recordOwner = name;
    recordType = -1;
    if (originLost > 0) {
      throw new Refused("its origin is that of line " + originLost + ", which cannot be read");
    }
    for (; at < words.size() && type < 0; at++) {
      String word = words.get(at).text();
      boolean number = !word.isEmpty() && Character.isDigit(word.charAt(0));
      if (words.get(at).quoted()) {
        break;
      } else if (number && ttl < 0) {
        ttl = ttl(word);
      } else if (!classed && DClass.value(word) >= 0) {
        classed = true;
        if (DClass.value(word) != DClass.IN) {
          throw new Refused("class " + word + ", expected IN");
        }
      } else {
        type = Type.value(word, false);
        if (type < 0 || !Rr.storable(type)) {
          throw new Refused("unknown type " + word);
        }
      }
    }
    if (type < 0) {
      throw new Refused("no type");
    }
    recordType = type;
    StringBuilder data = new StringBuilder();
    for (; at < words.size(); at++) {
      data.append(data.isEmpty() ? "" : " ").append(words.get(at).shown());
    }
    if (data.isEmpty()) {
      throw new Refused(Type.string(type) + " without data");
    }
    byte[] wire;
    try {
      wire = Rr.parse(type, data.toString(), nativeOrigin);
    } catch (Rr.Bad bad) {
      throw new Refused(Type.string(type) + ": " + bad.getMessage());
    }
    add(name, type, ttl, wire);
  }

  private void add(DomainName name, int type, int givenTtl, byte[] data) throws Refused {
    if (!name.within(zone.origin())) {
      unread.addOutside(name, zone.origin(), type);
      throw new Refused(name + " is outside of zone " + zone.origin());
    }
    int ttl = givenTtl >= 0 ? givenTtl : defaultTtl >= 0 ? defaultTtl : lastTtl;
    if (ttl < 0 && type == Type.SOA) {
      ttl =
          Soa.negativeTtl(
              RRset.of(type, Integer.MAX_VALUE, List.of(data))); // RFC 1035: its own minimum
    }
    if (ttl < 0) {
      throw new Refused("no TTL: there is no $TTL and no record before it has one");
    }
    lastTtl = ttl;
    RRset before = zone.get(name, type);
    String clash = clash(name, type, before);
    if (clash != null) {
      throw new Refused(clash);
    }
    if (before != null && before.has(data)) {
      fault("stands there already: " + new Rr(name, type, ttl, data), false);
      return;
    }
    if (before != null && before.ttl() != ttl) {
      fault(
          "TTL "
              + ttl
              + " differs from that of the other "
              + Type.string(type)
              + " records of "
              + name
              + ", "
              + before.ttl()
              + ", which holds",
          false);
    }
    if (zone.records() >= mostRecords) {
      full = true;
      unread.add(null, -1); // any of the records that are not read
      throw new Refused("more than " + mostRecords + " records; the rest of the file is not read");
    }
    RRset set =
        before == null ? RRset.of(type, ttl, List.of(data)) : before.with(data, before.ttl());
    if (set == null) {
      throw new Refused(
          "more than " + RRset.MOST_BYTES + " bytes of " + Type.string(type) + " at " + name);
    }
    zone = zone.with(name, set);
  }

  /** Why a record cannot stand beside those that its name has; null where it can. */
  private String clash(DomainName name, int type, RRset same) {
    if (type == Type.SOA && !name.equals(zone.origin())) {
      return "SOA below the apex";
    } else if (same != null && (type == Type.SOA || type == Type.CNAME || type == Type.DNAME)) {
      return "a second " + Type.string(type) + " at " + name;
    }
    for (RRset other : zone.sets(name)) {
      if (!Rr.mayCoexist(type, other.type())) {
        return Type.string(type) + " beside " + Type.string(other.type()) + " at " + name;
      }
    }
    return null;
  }

  private void directive(List<Word> words) throws Refused {
    String what = words.get(0).text().toUpperCase(Locale.ROOT);
    switch (what) {
      case "$TTL" -> {
        counted(words, 1, 1, what);
        defaultTtl = ttl(words.get(1).text());
      }
      case "$ORIGIN" -> {
        boolean relative = originLost > 0 && !words.get(words.size() - 1).text().endsWith(".");
        originLost = line;
        counted(words, 1, 1, what);
        DomainName next = name(words.get(1).text());
        originLost = relative ? line : 0;
        setOrigin(next);
      }
      case "$INCLUDE" -> include(words);
      case "$GENERATE" -> generate(words);
      default -> throw new Refused("unknown directive " + what);
    }
  }

  private static String expand(String text, int number) throws Refused {
    try {
      return GenerateTemplate.expand(text, number);
    } catch (GenerateTemplate.Malformed malformed) {
      throw new Refused(malformed.getMessage());
    }
  }

  private static void counted(List<Word> words, int least, int most, String what) throws Refused {
    int count = words.size() - 1;
    if (count < least || count > most) {
      String expected = least + (most > least ? " to " + most : "");
      throw new Refused(what + " with " + count + " words after it, expected " + expected);
    }
  }

  /**
   * Another file, in the place of the directive: its origin and last owner do not come back (RFC
   * 1035).
   */
  private void include(List<Word> words) throws Refused {
    counted(words, 1, 2, "$INCLUDE");
    String name = words.get(1).text();
    if (including.size() >= MOST_DEPTH) {
      throw new Refused("$INCLUDE more than " + MOST_DEPTH + " deep");
    } else if (including.contains(name)) {
      throw new Refused("$INCLUDE of " + name + ", which includes this file");
    }
    DomainName before = origin;
    DomainName ownerBefore = owner;
    DomainName inside = words.size() > 2 ? name(words.get(2).text()) : origin;
    byte[] text;
    try {
      text = texts.read(name);
    } catch (IOException unread) {
      throw new Refused("$INCLUDE: " + unread.getMessage());
    }
    int here = line;
    int originLostHere = originLost;
    originLost = words.size() > 2 ? 0 : originLost;
    setOrigin(inside);
    file(name, text);
    line = here;
    originLost = originLostHere;
    setOrigin(before);
    owner = ownerBefore;
  }

  /**
   * Many records by a counter: {@code $GENERATE from-to[/step] owner [ttl] [class] type data}, $
   * being the number.
   */
  private void generate(List<Word> words) throws Refused {
    counted(words, 4, 64, "$GENERATE");
    GenerateRange range;
    try {
      range = GenerateRange.parse(words.get(1).text());
    } catch (GenerateTemplate.Malformed malformed) {
      throw new Refused(malformed.getMessage());
    }
    for (long i = range.from(); i <= range.to() && !full; i += range.step()) {
      forgetRecord();
      List<Word> made = new ArrayList<>();
      for (Word word : words.subList(2, words.size())) {
        made.add(new Word(expand(word.text(), (int) i), word.quoted()));
      }
      try {
        record(made, 1, name(made.get(0).text()));
      } catch (Refused bad) {
        refuse("$GENERATE at " + i + ": " + bad.getMessage());
      }
    }
  }

  /** What is no record's fault but wrong as a whole. */
  private void remarks(String name) {
    file = name;
    line = 0;
    zone.forEach(
        (owner, set) -> {
          if (set.type() != Type.NS && set.type() != Type.MX && set.type() != Type.SRV) {
            return;
          }
          for (byte[] data : set.data()) {
            DomainName target = Rr.target(set.type(), data, 0);
            if (target != null && target.within(zone.origin()) && target.labels() > 0) {
              int code = Resolver.ask(zone, target, Type.A).rcode();
              Zone.Node node = zone.node(target);
              boolean addressed =
                  node != null && (node.get(Type.A) != null || node.get(Type.AAAA) != null);
              if (code != 0 && !addressed) {
                fault(
                    Type.string(set.type())
                        + " of "
                        + owner
                        + " points to "
                        + target
                        + ", which does not exist",
                    false);
              }
            }
          }
        });
  }
}
