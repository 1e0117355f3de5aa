package mothwing.dns.server;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.Fault;
import mothwing.dns.zone.History;
import mothwing.dns.zone.History.Signature;
import mothwing.dns.zone.Merge;
import mothwing.dns.zone.Rights;
import mothwing.dns.zone.Update;
import mothwing.dns.zone.Zone;
import mothwing.dns.zone.ZoneFile;
import mothwing.settings.Site;
import mothwing.store.CorruptRecordException;
import mothwing.store.Disk;
import mothwing.store.GroupCommitter;
import mothwing.store.Journal;
import org.xbill.DNS.Rcode;

/**
 * One zone that is served: the version in force, what is on its way to the disk, and the updates
 * that may be repeated. Updates are evaluated one after the other against the newest version,
 * forced or not; what readers see is forced. Where a write fails, that update and all that rest on
 * it fail, and the zone goes on from what is forced.
 */
final class ZoneKeeper {
  /** What comes of an update: a code, and a word on it where it was not accepted. */
  interface Reply {
    void with(int rcode, String reason);
  }

  /** An update that is on its way to the disk, and who waits for it. */
  private record Pending(long until, List<Reply> replies) {}

  private static final int MOST_WAITING = 8192;
  private static final int LARGE_RELOAD =
      16 << 20; // bytes past which a snapshot is written instead of a record
  private static final int MOST_UNSETTLED =
      50; // readings of a file that is being written, 100 ms apart
  private static final int MOST_LOGGED = 20;

  private final DomainName origin;
  private final Site.DnsLimits limits;
  private final Executor reader;
  private final Executor owner;
  private final Consumer<Runnable> later;
  private final Counters counters;
  private final EventLog log;
  private Site.Zone settings;
  private Rights rights;
  private Zone base;
  private Zone published;
  private Zone tipBase;
  private Zone tip;
  private int generation;
  private final Map<Signature, Long> repeats = new LinkedHashMap<>();
  private final Map<Signature, Pending> pending = new LinkedHashMap<>();
  private GroupCommitter committer;
  private String damage;
  private boolean reading;
  private boolean readAgain;
  private boolean compacting;
  private int unsettled;
  private List<Fault> faults = List.of();

  ZoneKeeper(
      DomainName origin,
      Site.Zone settings,
      Rights rights,
      Site.DnsLimits limits,
      Executor reader,
      Executor owner,
      Consumer<Runnable> later,
      Counters counters,
      EventLog log) {
    this.origin = origin;
    this.settings = settings;
    this.rights = rights;
    this.limits = limits;
    this.reader = reader;
    this.owner = owner;
    this.later = later;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Reads what was kept and then the file, before anything is served; blocks.
   *
   * @param disk where its state is kept
   * @param helper the one thread that writes
   * @param now the Unix second
   * @throws IOException where there is neither a usable state nor a usable file
   */
  void open(Disk disk, Executor helper, long now) throws IOException {
    History history = new History(origin);
    Journal journal = null;
    try {
      journal =
          Journal.open(
              disk,
              new Journal.Replay() {
                @Override
                public void snapshot(byte[] piece) throws IOException {
                  history.take(piece);
                }

                @Override
                public void record(byte[] record) throws IOException {
                  history.take(record);
                }
              },
              log::write);
    } catch (CorruptRecordException damaged) {
      damage = damaged.getMessage();
      counters.add("dns-journals-damaged");
      log.write("journal-damaged zone=" + origin + " what=\"" + damage + "\"");
    }
    history.forget(now);
    repeats.putAll(history.repeats());
    base = history.base();
    published = history.current();
    ZoneFile.Result read = read();
    if (published.unusable() != null) { // the first start
      if (read == null || read.zone().unusable() != null) {
        throw new IOException(
            "zone "
                + origin
                + ": "
                + (read == null ? "no file and no state" : read.zone().unusable()));
      }
      base = read.zone();
      published = base;
      if (journal != null) {
        Journal.Snapshot first = journal.snapshot(History.pieces(base, published, Map.of()));
        while (first.step()) {
          // until it is whole
        }
      }
    } else if (read != null && read.zone().unusable() == null && journal != null) {
      Merge merge = Merge.of(Merge.Edits.between(base, read), published);
      if (!merge.edits().changes().isEmpty()) {
        journal.append(List.of(History.reload(merge)));
        base = merge.edits().base();
        published = merge.next();
        loaded(merge);
      }
    }
    tip = published;
    tipBase = base;
    committer = journal == null ? null : new GroupCommitter(journal, owner, helper, MOST_WAITING);
    log.write(
        "zone-open zone="
            + origin
            + " serial="
            + serial()
            + " records="
            + published.records()
            + " repeats="
            + repeats.size()
            + health());
  }

  private ZoneFile.Result read() throws IOException {
    try {
      ZoneFile.Result result = ZoneFiles.read(settings.file(), origin, limits.records(), false);
      report(result);
      return result;
    } catch (IOException unread) {
      log.write("zone-unread zone=" + origin + " what=\"" + unread.getMessage() + "\"");
      return null;
    }
  }

  private void report(ZoneFile.Result result) {
    faults = result.faults();
    for (Fault fault : faults.subList(0, Math.min(MOST_LOGGED, faults.size()))) {
      log.write("zone-fault zone=" + origin + " what=\"" + fault + "\"");
    }
    if (faults.size() > MOST_LOGGED) {
      log.write(
          "zone-fault zone=" + origin + " what=\"and " + (faults.size() - MOST_LOGGED) + " more\"");
    }
  }

  DomainName origin() {
    return origin;
  }

  /** The version that is served. */
  Zone zone() {
    return published;
  }

  private String serial() {
    return Integer.toUnsignedString(published.serial());
  }

  /** How the zone is, as words of a line: good, or what is wrong. */
  String health() {
    long refused = faults.stream().filter(Fault::refused).count();
    return " health="
        + (damage != null ? "read-only" : refused > 0 ? "refused-records" : "good")
        + " refused="
        + refused;
  }

  /** Takes new settings; what is on its way ends under the rights that it was accepted by. */
  void settings(Site.Zone now, Rights granted) {
    settings = now;
    rights = granted;
  }

  /**
   * Evaluates an update that is signed well. The reply comes once, when it is forced or has failed.
   *
   * @param update the update
   * @param signature what tells it from others
   * @param until the Unix second after which its signature is too old
   * @param now the Unix second
   * @param reply takes what came of it
   */
  void update(Update update, Signature signature, long until, long now, Reply reply) {
    forget(now);
    if (repeats.containsKey(signature)) {
      counters.add("dns-updates-repeated");
      reply.with(Rcode.NOERROR, "");
      return;
    }
    Pending waiting = pending.get(signature);
    if (waiting != null) {
      counters.add("dns-updates-repeated");
      if (waiting.replies().size() < limits.pipelinedQueries()) {
        waiting.replies().add(reply);
      } else {
        reply.with(Rcode.SERVFAIL, "too many repeats of one update");
      }
      return;
    }
    if (committer == null) {
      reply.with(Rcode.SERVFAIL, "the journal is damaged; the zone is read only");
      return;
    } else if (repeats.size() + pending.size() >= limits.rememberedUpdates()) {
      counters.add("dns-updates-repeats-full");
      reply.with(Rcode.REFUSED, "too many updates within the time in which they may be repeated");
      return;
    }
    Update.Outcome outcome = update.on(tip, signature.key(), rights, limits.records());
    if (outcome.rcode() != Rcode.NOERROR) {
      counters.add(
          "dns-updates-" + Rcode.string(outcome.rcode()).toLowerCase(java.util.Locale.ROOT));
      reply.with(outcome.rcode(), outcome.reason());
      return;
    }
    List<Reply> replies = new ArrayList<>(List.of(reply));
    int mine = generation;
    if (!committer.append(
        History.update(signature, until, outcome.changes()),
        failed -> {
          pending.remove(signature);
          if (failed == null) {
            published = outcome.next();
            repeats.put(signature, until);
            counters.add("dns-updates-accepted");
            replies.forEach(one -> one.with(Rcode.NOERROR, ""));
            compact();
          } else {
            failed(mine, failed);
            replies.forEach(
                one -> one.with(Rcode.SERVFAIL, "cannot be written: " + failed.getMessage()));
          }
        })) {
      counters.add("dns-updates-queue-full");
      reply.with(Rcode.SERVFAIL, "too many updates wait for the disk");
      return;
    }
    tip = outcome.next();
    pending.put(signature, new Pending(until, replies));
  }

  /**
   * A write failed: what rests on it fails as well, and the next update is evaluated on what is
   * forced.
   */
  private void failed(int mine, IOException why) {
    counters.add("dns-writes-failed");
    if (mine == generation) {
      generation++;
      tip = published;
      tipBase = base;
      log.write("zone-write-failed zone=" + origin + " what=\"" + why.getMessage() + "\"");
    }
  }

  /**
   * Forgets the updates whose signatures are too old by now: accepted about in the order of those
   * times.
   */
  private void forget(long now) {
    Iterator<Long> oldest = repeats.values().iterator();
    while (oldest.hasNext() && oldest.next() < now) {
      oldest.remove();
    }
  }

  /** Reads the file again, on a thread of its own; updates go on meanwhile. */
  void reload() {
    if (committer == null) {
      log.write("zone-reload-refused zone=" + origin + " what=\"" + damage + "\"");
      return;
    }
    if (reading) {
      readAgain = true;
      return;
    }
    reading = true;
    Zone before = tipBase;
    Site.Zone from = settings;
    reader.execute(
        () -> {
          try {
            ZoneFile.Result result = ZoneFiles.read(from.file(), origin, limits.records(), true);
            String unusable = result.zone().unusable();
            Merge.Edits edits = unusable == null ? Merge.Edits.between(before, result) : null;
            owner.execute(() -> read(result, unusable, before, edits));
          } catch (IOException | RuntimeException unread) {
            owner.execute(() -> unread(unread));
          }
        });
  }

  private void unread(Exception why) {
    reading = false;
    if (why instanceof ZoneFiles.Unsettled && ++unsettled < MOST_UNSETTLED) {
      later.accept(this::reload);
      return;
    }
    unsettled = 0;
    reloadFailed(why.getMessage());
  }

  private void reloadFailed(String what) {
    counters.add("dns-reloads-failed");
    log.write(
        "zone-reload-failed zone=" + origin + " serial=" + serial() + " what=\"" + what + "\"");
  }

  private void read(ZoneFile.Result result, String unusable, Zone before, Merge.Edits edits) {
    reading = false;
    unsettled = 0;
    report(result);
    if (unusable != null) {
      reloadFailed(unusable);
    } else if (before != tipBase) {
      readAgain = true; // a write failed, or another reload was faster
    } else {
      merge(edits);
    }
    if (readAgain) {
      readAgain = false;
      reload();
    }
  }

  private void merge(Merge.Edits edits) {
    Merge merge = Merge.of(edits, tip);
    if (edits.changes().isEmpty()) {
      log.write("zone-reload zone=" + origin + " serial=" + serial() + " changes=0" + health());
      return;
    }
    int mine = generation;
    Consumer<IOException> done =
        failed -> {
          if (failed == null) {
            base = edits.base();
            published = merge.next();
            loaded(merge);
            compact();
          } else {
            failed(mine, failed);
            reloadFailed(failed.getMessage());
          }
        };
    byte[] record = History.reload(merge);
    Map<Signature, Long> kept = repeatsOnTheWay();
    if (record.length > LARGE_RELOAD) {
      committer.snapshot(() -> History.pieces(edits.base(), merge.next(), kept), true, done);
    } else if (!committer.append(record, done)) {
      reloadFailed("too many updates wait for the disk");
      return;
    }
    tip = merge.next();
    tipBase = edits.base();
  }

  private void loaded(Merge merge) {
    counters.add("dns-reloads");
    for (String conflict :
        merge.conflicts().subList(0, Math.min(MOST_LOGGED, merge.conflicts().size()))) {
      log.write("zone-conflict zone=" + origin + " what=\"" + conflict + "\"");
    }
    log.write(
        "zone-reload zone="
            + origin
            + " serial="
            + serial()
            + " changes="
            + merge.changes().changes().size()
            + " conflicts="
            + merge.conflicts().size()
            + health());
  }

  /** The repeats after all that was appended, those on their way among them. */
  private Map<Signature, Long> repeatsOnTheWay() {
    Map<Signature, Long> all = new LinkedHashMap<>(repeats);
    pending.forEach((signature, one) -> all.put(signature, one.until()));
    return all;
  }

  private void compact() {
    if (compacting || committer.size() < limits.journalBytes()) {
      return;
    }
    compacting = true;
    Zone baseThen = tipBase;
    Zone zoneThen = tip;
    Map<Signature, Long> kept = repeatsOnTheWay();
    committer.snapshot(
        () -> History.pieces(baseThen, zoneThen, kept),
        false,
        failed -> {
          compacting = false;
          log.write(
              failed == null
                  ? "zone-compacted zone=" + origin + " journal=" + committer.size()
                  : "zone-compact-failed zone=" + origin + " what=\"" + failed.getMessage() + "\"");
        });
  }

  /** Whether updates or a reload are on their way to the disk. */
  boolean busy() {
    return committer != null && committer.pendingCount() > 0;
  }

  /** Ends it once all that was accepted is forced. */
  void close(Runnable closed) {
    if (committer == null) {
      closed.run();
    } else {
      committer.close(closed);
    }
  }
}
