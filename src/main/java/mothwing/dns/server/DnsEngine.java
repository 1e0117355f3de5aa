package mothwing.dns.server;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Exchange;
import mothwing.broker.InboundRequest;
import mothwing.broker.Scheduler;
import mothwing.broker.WorkerPool;
import mothwing.control.RunOutcome;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.History;
import mothwing.dns.zone.Resolver;
import mothwing.dns.zone.Update;
import mothwing.dns.zone.Zone;
import mothwing.settings.Site;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * What answers questions and carries out updates: the {@link WorkerPool} of the DNS broker. What
 * the controller starts is run in order on the event loop, outside of the controller's batch; an
 * update ends when it is forced.
 */
final class DnsEngine implements WorkerPool {
  private static final int MILLIS = 1000;
  private static final double GAUGE_SPAN =
      20_000; // microseconds: the clock of a thread moves in steps

  private final Executor loop;
  private final Scheduler timers;
  private final Counters counters;
  private final EventLog log;
  private final boolean control;
  private final int udpBytes;
  private final int unprovenBytes;
  private final AnswerCache cache;
  private final Map<DomainName, ZoneKeeper> zones = new LinkedHashMap<>();
  private final Map<String, DnsRequest> requests = new HashMap<>();
  private final ArrayDeque<DnsRequest> started = new ArrayDeque<>();
  private final IntSupplier sockets;
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final MemoryPoolMXBean memory =
      ManagementFactory.getMemoryPoolMXBeans().stream()
          .filter(one -> one.getType() == MemoryType.HEAP && one.getCollectionUsage() != null)
          .reduce((young, old) -> old)
          .orElse(null);
  private Broker broker;
  private Signer signer;
  private boolean scheduled;
  private long ids;
  private long cpuAt;
  private long cpuUsed;
  private double cpuBusy;

  DnsEngine(
      Executor loop,
      Scheduler timers,
      Site.DnsLimits limits,
      IntSupplier sockets,
      Counters counters,
      EventLog log) {
    this.loop = loop;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    this.sockets = sockets;
    control = limits.isControlled();
    udpBytes = limits.udpBytes();
    unprovenBytes = limits.unprovenBytes();
    cache = new AnswerCache(limits.cachedResponses());
  }

  void broker(Broker to) {
    broker = to;
  }

  void signer(Signer now) {
    signer = now;
  }

  Collection<ZoneKeeper> zones() {
    return zones.values();
  }

  ZoneKeeper zone(DomainName origin) {
    return zones.get(origin);
  }

  void add(ZoneKeeper keeper) {
    zones.put(keeper.origin(), keeper);
  }

  void remove(DomainName origin) {
    zones.remove(origin);
  }

  /** The most bytes that an answer over UDP may have. */
  int udpLimit(Query query) {
    if (!query.proven() && unprovenBytes == 0) {
      return Math.max(
          AnswerWriter.least(query), query.bytes().length); // nobody gets more than was sent
    }
    int most = query.proven() ? udpBytes : Math.min(udpBytes, unprovenBytes);
    return Math.max(
        AnswerWriter.least(query),
        query.edns() ? Math.min(most, query.udpSize()) : Query.PLAIN_UDP);
  }

  /**
   * Takes a message that was read.
   *
   * @param request the message
   */
  void read(DnsRequest request) {
    Query query = request.query();
    counters.add(query.opcode() == Opcode.UPDATE ? "dns-updates" : "dns-queries");
    if (query.error() != Rcode.NOERROR) {
      counters.add("dns-malformed");
      request.error(query.error(), AnswerWriter.OTHER, null);
    } else if (query.opcode() == Opcode.UPDATE && !query.signed()) {
      counters.add("dns-updates-unsigned");
      request.error(Rcode.REFUSED, AnswerWriter.PROHIBITED, "updates must be signed");
    } else if (query.opcode() == Opcode.QUERY && !control && !query.signed()) {
      request.sendResult(answer(query, request.limit()));
    } else {
      String id = HexFormat.of().toHexDigits(++ids);
      request.id(id);
      requests.put(id, request);
      request.exchange(
          broker.submit(
              new InboundRequest(
                  id,
                  timers.wallClockMillis(),
                  "",
                  query.opcode() == Opcode.UPDATE ? DnsDecisions.UPDATE : DnsDecisions.QUERY,
                  1 + query.bytes().length / 1024.0,
                  0.5,
                  null,
                  null,
                  InboundRequest.NOT_STATED,
                  query.bytes()),
              request));
    }
  }

  /** Forgets a request that was answered. */
  void answered(DnsRequest request) {
    requests.remove(request.id());
  }

  /** Whoever sent a request has left. */
  void gone(DnsRequest request) {
    if (request.exchange() != null) {
      broker.cancelled(request.exchange());
      answered(request);
    }
  }

  // the worker

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public boolean startRun(Exchange exchange) {
    started.add(requests.get(exchange.request().id()));
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::run);
    }
    return true;
  }

  private void run() {
    scheduled = false;
    for (DnsRequest request = started.poll(); request != null; request = started.poll()) {
      request.started(timers.now());
      if (request.query().opcode() == Opcode.UPDATE || request.query().signed()) {
        signed(request);
      } else {
        finish(request, answer(request.query(), request.limit()));
      }
    }
  }

  private void finish(DnsRequest request, byte[] answer) {
    broker.runEnded(
        request.id(),
        RunOutcome.SUCCEEDED,
        Math.max(1, timers.now() - request.startedAt()),
        answer);
  }

  private ZoneKeeper find(DomainName name) {
    ZoneKeeper best = null;
    for (ZoneKeeper one : zones.values()) {
      if (name.within(one.origin()) && (best == null || one.origin().within(best.origin()))) {
        best = one;
      }
    }
    return best;
  }

  private byte[] answer(Query query, int limit) {
    if (query.dclass() != DClass.IN) {
      return AnswerWriter.error(
          query, Rcode.REFUSED, AnswerWriter.NOT_SUPPORTED, "class IN alone", limit);
    } else if (query.type() == Type.AXFR || query.type() == Type.IXFR) {
      return AnswerWriter.error(
          query, Rcode.REFUSED, AnswerWriter.NOT_SUPPORTED, "no transfers", limit);
    }
    ZoneKeeper keeper = find(query.name());
    if (keeper == null) {
      return AnswerWriter.error(
          query, Rcode.REFUSED, AnswerWriter.NOT_AUTHORITATIVE, "not a zone of this server", limit);
    }
    Zone version = keeper.zone();
    boolean cached = limit < AnswerWriter.TCP;
    byte[] key = cached ? query.cacheKey(limit) : null;
    byte[] answer = cached ? cache.get(query, key, version) : null;
    if (answer == null) {
      answer = AnswerWriter.answer(query, Resolver.ask(version, query.name(), query.type()), limit);
      if (cached) {
        cache.put(key, version, answer);
      }
    }
    return answer;
  }

  /** What is signed goes through the library's messages: updates, and the rare signed question. */
  private void signed(DnsRequest request) {
    Message message;
    try {
      message = new Message(request.query().bytes());
    } catch (IOException | RuntimeException malformed) {
      finish(request, AnswerWriter.error(request.query(), Rcode.FORMERR, AnswerWriter.OTHER, null));
      return;
    }
    long now = timers.wallClockMillis() / MILLIS;
    Signer.Signed signed = signer.check(message, request.query().bytes(), now);
    if (signed.error() != Rcode.NOERROR) {
      counters.add(
          "dns-signatures-" + Rcode.TSIGstring(signed.error()).toLowerCase(java.util.Locale.ROOT));
      reply(request, signed, Rcode.NOTAUTH, "");
    } else if (request.query().opcode() == Opcode.UPDATE) {
      update(request, signed, now);
    } else {
      question(request, signed);
    }
  }

  private void question(DnsRequest request, Signer.Signed signed) {
    try {
      Message answer = new Message(answer(request.query(), request.limit()));
      Signer.sign(answer, signed);
      finish(request, answer.toWire(request.limit()));
    } catch (IOException | RuntimeException broken) {
      counters.add("faults");
      log.write("fault side=dns what=\"" + broken + "\"");
      reply(request, signed, Rcode.SERVFAIL, "");
    }
  }

  private void update(DnsRequest request, Signer.Signed signed, long now) {
    Update update = Updates.of(signed.message());
    ZoneKeeper keeper = zones.get(request.query().name());
    if (update == null) {
      reply(request, signed, Rcode.FORMERR, "the zone section is not one SOA");
    } else if (keeper == null || request.query().dclass() != DClass.IN) {
      reply(request, signed, Rcode.NOTAUTH, "not a zone of this server");
    } else {
      var tsig = signed.message().getTSIG();
      History.Signature signature =
          new History.Signature(signed.key(), request.query().id(), tsig.getSignature());
      keeper.update(
          update,
          signature,
          Signer.signedAt(tsig) + Signer.fudge(tsig),
          now,
          (rcode, reason) -> {
            if (rcode != Rcode.NOERROR) {
              log.write(
                  "update-refused zone="
                      + keeper.origin()
                      + " key="
                      + signed.key()
                      + " code="
                      + Rcode.string(rcode)
                      + " what=\""
                      + reason
                      + "\"");
            }
            reply(request, signed, rcode, reason);
          });
    }
  }

  private void reply(DnsRequest request, Signer.Signed signed, int rcode, String reason) {
    byte[] answer;
    try {
      Message message =
          Updates.answer(
              signed.message(),
              rcode,
              rcode == Rcode.REFUSED ? AnswerWriter.PROHIBITED : AnswerWriter.OTHER,
              reason);
      Signer.sign(message, signed);
      answer = message.toWire(AnswerWriter.TCP);
    } catch (RuntimeException broken) {
      counters.add("faults");
      log.write("fault side=dns what=\"" + broken + "\"");
      answer = AnswerWriter.error(request.query(), rcode, AnswerWriter.OTHER, null);
    }
    finish(request, answer);
  }

  @Override
  public void requestGauges(String echo) {
    loop.execute(() -> broker.gaugesReceived(echo, gauges()));
  }

  private double[] gauges() {
    long now = timers.now();
    if (now - cpuAt >= GAUGE_SPAN) {
      long used = threads.getCurrentThreadCpuTime();
      cpuBusy = Math.min(1, (used - cpuUsed) / (1000.0 * (now - cpuAt)));
      cpuAt = now;
      cpuUsed = used;
    }
    MemoryUsage after = memory == null ? null : memory.getCollectionUsage();
    double full =
        after == null || after.getMax() <= 0 ? 0 : after.getUsed() / (double) after.getMax();
    return new double[] {cpuBusy, started.size(), full, sockets.getAsInt()};
  }

  @Override
  public void stopRun(String id) {
    // the settings say that nothing that runs is stopped
  }

  @Override
  public void resumeRun(String id) {
    // as nothing is ever stopped
  }

  @Override
  public void startHealthCheck(String echo) {
    loop.execute(() -> broker.healthCheckEnded(echo, true));
  }
}
