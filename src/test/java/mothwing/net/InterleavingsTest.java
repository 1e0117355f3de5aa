package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.broker.Exchange;
import mothwing.broker.WorkerPool;
import mothwing.control.ControllerHost;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.overload.OverloadController;
import mothwing.testing.NoDecisionController;
import mothwing.testing.SettingsVariants;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Bytes, answers, aborts, resets, the idle limit, new settings, the notice to leave, and links to
 * the pool that are lost with what was on them, in any order: each request that was read whole gets
 * one final answer, and what must run once runs once, whichever of its tries that is.
 */
class InterleavingsTest {
  private static final long SECOND = 1_000_000;
  private static final int WIDE = 4;
  private static final long SLACK = 150_000;
  private static final long LONGEST = 6 * SECOND;
  private static final long STOP = 3_200_000;
  private static final long GRACE = 2 * SECOND;
  private static final long WINDOW = 2 * SECOND;
  private static final String GUARDED = "deposit";

  /** A pool with a link whose commands and notices may be lost with it. */
  private final class ModelPool implements WorkerPool {
    private final List<Runnable> commands = new ArrayList<>();
    private final List<Runnable> notices = new ArrayList<>();
    private final Set<String> running = new LinkedHashSet<>();
    private final Set<String> paused = new HashSet<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private boolean linked = true;

    private void command(Runnable one) {
      commands.add(one);
    }

    /** The pool reads what is on the link and says what it has to say. */
    void turn() {
      List<Runnable> all = new ArrayList<>(commands);
      commands.clear();
      all.forEach(Runnable::run);
      while (linked && !notices.isEmpty()) {
        notices.remove(0).run();
      }
    }

    void lose(boolean unread) {
      if (linked) {
        if (unread) {
          commands.clear();
        }
        turnSilent();
        linked = false;
        stand.broker.poolDisconnected();
      }
    }

    private void turnSilent() {
      List<Runnable> all = new ArrayList<>(commands);
      commands.clear();
      all.forEach(Runnable::run);
    }

    void back() {
      if (!linked) {
        linked = true;
        turn();
        stand.broker.resynchronized();
      }
    }

    void end(int number, boolean good) {
      if (!running.isEmpty()) {
        String id = List.copyOf(running).get(number % running.size());
        running.remove(id);
        notices.add(
            () ->
                stand.broker.runEnded(
                    id,
                    good ? RunOutcome.SUCCEEDED : RunOutcome.FAILED,
                    1000,
                    good ? BrokerFixture.result(id) : null));
      }
    }

    @Override
    public boolean isReady() {
      return linked;
    }

    @Override
    public boolean startRun(Exchange exchange) {
      String id = exchange.request().id();
      if (!linked) {
        return false;
      }
      command(
          () -> {
            if (!paused.contains(id) && running.add(id)) {
              runs.merge(id, 1, Integer::sum);
              ranAt.putIfAbsent(id, stand.now());
            }
          });
      return true;
    }

    @Override
    public void stopRun(String id) {
      command(
          () -> {
            if (running.remove(id)) {
              paused.add(id);
              notices.add(() -> stand.broker.runEnded(id, RunOutcome.STOPPED, 1000, null));
            }
          });
    }

    @Override
    public void resumeRun(String id) {
      command(
          () -> {
            if (paused.remove(id)) {
              running.add(id);
            }
          });
    }

    @Override
    public void requestGauges(String echo) {
      command(
          () ->
              notices.add(
                  () ->
                      stand.broker.gaugesReceived(
                          echo, new double[] {0.5, running.size(), 0.1, 1})));
    }

    @Override
    public void startHealthCheck(String echo) {
      command(() -> notices.add(() -> stand.broker.healthCheckEnded(echo, true)));
    }
  }

  /** A request as its gateway knows it, from its first byte. */
  private static final class Asked {
    final String id;
    final boolean order;
    final String key; // what it has in common with other tries of the same request, or null
    final byte[] bytes;
    int sent;
    long begunAt; // which it states as its arrival
    long wholeAt = Long.MAX_VALUE;
    boolean left;
    int answers;

    Asked(String id, boolean order, String key, byte[] bytes) {
      this.id = id;
      this.order = order;
      this.key = key;
      this.bytes = bytes;
    }
  }

  /**
   * A connection of the gateway; requests are written one behind the other, and may be open
   * together.
   */
  private final class Line {
    Gateway gateway;
    EmbeddedChannel channel;
    Map<Integer, Asked> asked = new HashMap<>();
    int numbers;
    int writing;

    /** The gateway resets it: it waits for nothing any more. */
    void reset() {
      read();
      asked.values().forEach(one -> one.left = true);
      channel.close();
      open();
    }

    void open() {
      asked = new HashMap<>();
      numbers = 0;
      writing = 0;
      gateway = new Gateway.FastCgi();
      Connection connection = new FastCgiConnection(stand.broker, stand.lines::add, stand.counters);
      table.add(connection);
      channel = stand.open(connection);
      channel.closeFuture().addListener(closed -> table.remove(connection));
    }

    void write(int step) {
      if (!channel.isOpen()) {
        if (!leaving) {
          open();
        }
        return;
      }
      if (writing == 0) {
        boolean order = step % 2 == 0;
        String key = step % 4 == 0 ? "key" + step / 4 % 3 : null;
        String id = BrokerFixture.id(++made);
        writing = ++numbers;
        Map<String, String> fields = Gateway.fields(id, stand.wallClockMillis());
        if (key != null) {
          fields.put("Replay-Key", key);
        }
        asked.put(
            writing,
            new Asked(
                id,
                order,
                key,
                gateway.request(
                    writing,
                    "/call/"
                        + (key != null
                            ? GUARDED
                            : order ? BrokerFixture.ORDER : BrokerFixture.LOOK),
                    "",
                    fields,
                    new byte[key != null ? 1 : step % 100])));
        asked.get(writing).begunAt = stand.now();
        all.add(asked.get(writing));
      }
      Asked one = asked.get(writing);
      int upTo =
          step % 3 == 0 ? Math.min(one.bytes.length, one.sent + 1 + step % 200) : one.bytes.length;
      byte[] part = Arrays.copyOfRange(one.bytes, one.sent, upTo);
      one.sent = upTo;
      if (one.sent == one.bytes.length) {
        one.wholeAt = stand.now();
        writing = 0;
      }
      stand.send(channel, gateway, part);
    }

    void abort(int step) {
      if (channel.isOpen() && numbers > 0 && writing == 0) {
        int number = 1 + step % numbers;
        asked.get(number).left = true;
        stand.send(channel, gateway, Gateway.FastCgi.abort(number));
      }
    }

    void read() {
      stand.read(channel, gateway);
      Answer answer;
      while ((answer = gateway.answers.poll()) != null) {
        Asked one = asked.get(answer.id());
        String content = new String(answer.content(), StandardCharsets.UTF_8);
        assertNotNull(one, "an answer to nothing");
        one.answers++;
        assertEquals(1, one.answers, one.id + " is answered twice");
        assertTrue(one.wholeAt <= stand.now(), one.id + " is answered before it was sent whole");
        assertTrue(
            answer.status() != 503 || !one.order || !pool.runs.containsKey(one.id),
            one.id + " ran and is refused");
        if (answer.status() == 200) {
          assertTrue(
              all.stream()
                  .filter(by -> by == one || (by.key != null && by.key.equals(one.key)))
                  .anyMatch(
                      by ->
                          pool.runs.containsKey(by.id)
                              && new String(BrokerFixture.result(by.id), StandardCharsets.UTF_8)
                                  .equals(content)),
              one.id + " is given what no run made for it");
        }
      }
    }
  }

  private BrokerFixture stand;
  private ModelPool pool;
  private ConnectionTable table;
  private List<Line> lines;
  private List<Asked> all;
  private Map<String, Long> ranAt;
  private int made;
  private boolean leaving;
  private long noticeAt;

  /**
   * Decisions that start all at once and think of nothing else: what holds then is held by the core
   * alone.
   */
  private static final class Eager extends NoDecisionController {
    private final ControllerHost host;

    Eager(ControllerHost host) {
      this.host = host;
    }

    @Override
    public void requestRead(long now, Request request) {
      host.startRun(request.id());
    }
  }

  private void anew(boolean eager) {
    pool = new ModelPool();
    ranAt = new HashMap<>();
    stand =
        new BrokerFixture(
                eager ? (settings, host) -> new Eager(host) : OverloadController::new, of -> pool)
            .bound();
    stand.broker.applySettings(guarded(BrokerFixture.settings(4.5, 2)));
    table = new ConnectionTable(60 * SECOND, stand);
    all = new ArrayList<>();
    made = 0;
    leaving = false;
    lines = new ArrayList<>();
    for (int i = 0; i < WIDE; i++) {
      lines.add(new Line());
      lines.get(i).open();
    }
  }

  private static Settings guarded(Settings one) {
    List<RequestClass> kinds = new ArrayList<>(one.classes());
    kinds.add(
        new RequestClass(
            GUARDED, SECOND, 3 * SECOND, 4, 0, Idempotency.WITH_KEY, WINDOW, false, 0));
    return SettingsVariants.parts(one, kinds, one.tenants());
  }

  private static Settings settings(int step) {
    Settings one =
        guarded(BrokerFixture.settings((double) (step % 2 == 0 ? 3 : LONGEST / SECOND), 2));
    return step % 5 > 0
        ? one
        : SettingsVariants.parts(one, one.classes().subList(1, 3), one.tenants());
  }

  private void pass(long span) {
    for (long left = span; left > 0; left -= 20_000) {
      stand.pass(Math.min(left, 20_000));
      table.closeExpired(
          leaving ? 20_000 : 30 * SECOND, leaving ? CloseReason.DRAIN : CloseReason.IDLE);
      pool.turn();
      check();
    }
  }

  private void check() {
    lines.forEach(Line::read);
    for (Asked one : all) {
      assertTrue(
          one.answers > 0
              || one.left
              || one.wholeAt > stand.now() - LONGEST - SLACK
              || one.wholeAt == Long.MAX_VALUE,
          one.id + " is overdue");
      assertTrue(!one.order || pool.runs.getOrDefault(one.id, 0) <= 1, one.id + " ran twice");
      assertTrue(
          one.key == null
              || !pool.runs.containsKey(one.id)
              || all.stream()
                  .noneMatch(
                      by ->
                          by != one
                              && one.key.equals(by.key)
                              && pool.runs.containsKey(by.id)
                              && Math.abs(by.begunAt - one.begunAt) < WINDOW),
          one.id + " ran, and so did another try of it");
      assertTrue(
          !leaving
              || ranAt.getOrDefault(one.id, 0L) < one.wholeAt
              || one.wholeAt <= noticeAt + GRACE,
          one.id + " came after the grace and ran");
    }
    assertTrue(table.descriptors() <= WIDE);
    assertEquals(
        all.stream()
            .filter(one -> one.wholeAt < Long.MAX_VALUE && one.answers == 0 && !one.left)
            .count(),
        stand.broker.pendingCount(),
        "what is owed, here and there");
  }

  @Property(seed = "1764576041", tries = 400)
  void oneAnswerARequestAndAtMostOneRunWhateverCrossesWhat(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99_999) Integer> steps,
      @ForAll @IntRange(max = 120) int leaves,
      @ForAll boolean eager) {
    anew(eager);
    for (int i = 0; i < steps.size() && !leaving; i++) {
      int step = steps.get(i);
      Line line = lines.get(step / 20 % WIDE);
      switch (step % 20) {
        case 0, 1, 2, 3, 4, 5, 6, 7 -> line.write(step / 80);
        case 8, 9, 10, 11 -> pool.end(step / 20, step % 7 > 0);
        case 12 -> line.abort(step / 80);
        case 13 -> line.reset();
        case 14 -> table.closeExpired(1, CloseReason.IDLE);
        case 15 -> stand.broker.applySettings(settings(step / 20));
        case 16 -> pool.lose(step % 40 == 16);
        case 17 -> pool.back();
        case 18 -> pass(step * 10L);
        default -> table.evict();
      }
      check();
      if (i == leaves) {
        leaving = true;
        noticeAt = stand.now();
        stand.broker.drain(noticeAt, noticeAt + STOP, false);
      }
      pass(step % 7_000);
    }
    pool.back();
    if (leaving) {
      for (int i = 0; stand.now() < noticeAt + STOP - 150_000; i++) {
        if (i % 2 == 0
            || stand.now()
                > noticeAt + GRACE + 100_000) { // half of them end what they write too late
          lines.get(i % WIDE).write(i);
        }
        if (leaves % 2 == 0) { // else runs go on until the end
          pool.end(i, true);
        }
        pass(50_000);
      }
      stand.broker.failPending();
      check();
    } else {
      pass(LONGEST + 2 * SLACK);
    }
    stand.pass(1);
    check();
    all.forEach(
        one ->
            assertTrue(
                one.answers > 0 || one.left || one.wholeAt == Long.MAX_VALUE,
                one.id + " has no answer"));
    assertEquals(0, stand.broker.pendingCount());
    assertEquals(0, stand.counters.get("controller-faults"));
    assertEquals(0, stand.counters.get("faults"));
    while (!pool.running.isEmpty()) {
      pool.end(0, true);
    }
    pass(20 * SECOND);
    assertTrue(stand.broker.counts().startsWith("open=0 "), stand.broker.counts());
  }
}
