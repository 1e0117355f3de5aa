package mothwing.dns.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.Scheduler;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.Request;
import mothwing.settings.Site;
import mothwing.testing.DnsTestClient;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/** What becomes of messages when the controller turns them away, before and after they ran. */
class DnsOverloadTest implements Scheduler {
  private final ArrayDeque<Runnable> work = new ArrayDeque<>();
  private final List<byte[]> answers = new ArrayList<>();
  private final Counters counters = new Counters();
  private long now = 1_000_000;

  @Override
  public long now() {
    return now;
  }

  @Override
  public long wallClockMillis() {
    return 1_764_576_000_000L + now / 1000;
  }

  @Override
  public void schedule(long at, Runnable due) {
    if (at <= now + 1000) {
      work.add(due);
    }
  }

  private static Site.DnsLimits limits() {
    return Site.DnsLimits.DEFAULTS;
  }

  /** What a controller does with a request that was read. */
  private interface Decision {
    void on(ControllerHost host, String id);
  }

  private void read(byte[] message, Decision decision) throws IOException {
    DnsEngine engine = new DnsEngine(work::add, this, limits(), () -> 0, counters, line -> {});
    Broker broker =
        new Broker(
            DnsDecisions.settings(1),
            (settings, host) ->
                (Controller)
                    Proxy.newProxyInstance(
                        Controller.class.getClassLoader(),
                        new Class<?>[] {Controller.class},
                        (self, method, arguments) -> {
                          if (method.getName().equals("requestRead")) {
                            decision.on(host, ((Request) arguments[1]).id());
                          }
                          return null;
                        }),
            engine,
            this,
            counters,
            line -> {});
    engine.broker(broker);
    engine.signer(new Signer(new Site.Dns(null, null, limits(), List.of(), List.of())));
    broker.poolConnected(false, 1);
    Query query = Query.read(message);
    engine.read(
        new DnsRequest(
            query,
            1232,
            (request, answer) -> {
              engine.answered(request);
              answers.add(answer);
            }));
    while (!work.isEmpty()) {
      now += 300;
      work.poll().run();
    }
    assertTrue(broker.counts().startsWith("open=0 pending=0 "), broker::counts);
  }

  @Test
  void aQueryIsRefusedEarlyWithItsReason() throws IOException {
    read(
        DnsTestClient.question("till", Type.A, 1232).toWire(),
        (host, id) -> host.rejectRequest(id, false, 0));
    assertEquals(1, answers.size());
    Message answer = new Message(answers.get(0));
    assertEquals(Rcode.REFUSED, answer.getRcode());
    assertEquals(
        "overloaded", ((ExtendedErrorCodeOption) answer.getOPT().getOptions().get(0)).getText());
    assertEquals(1, counters.get("rejected-decided"));
  }

  /**
   * Once an update was started it may have had its effect: it fails, and is not refused; its end
   * gives no second answer.
   */
  @Test
  void anUpdateThatRanIsNeverRefused() throws IOException {
    byte[] update =
        DnsTestClient.signed(
            DnsTestClient.update("a", "10.0.0.1", true), DnsTestClient.key("till-key"));
    read(
        update,
        (host, id) -> {
          host.startRun(id);
          host.rejectRequest(id, false, 0);
        });
    assertEquals(1, answers.size());
    assertEquals(Rcode.SERVFAIL, answers.get(0)[3] & 15);
    assertEquals(1, counters.get("failed-ran-before"));
  }
}
