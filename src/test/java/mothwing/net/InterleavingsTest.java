package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
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
 * Interleaves bytes, answers, aborts, resets, read timeouts, the idle limit, reloads, a shutdown,
 * and losses of the pool connection with the messages on it, in random order. Each request that was
 * read completely gets one final answer, and a request that must run once runs once, whichever of
 * its attempts that is.
 */
class InterleavingsTest {
  private static final long SECOND = 1_000_000;
  private static final int CONNECTIONS = 4;
  private static final long PEER_TIMEOUT_MICROS = SECOND / 2;
  private static final long SLACK_MICROS = 150_000;
  private static final long MAX_DEADLINE_MICROS = 6 * SECOND;
  private static final long STOP_MICROS = 3_200_000;
  private static final long GRACE_MICROS = 2 * SECOND;
  private static final long WINDOW_MICROS = 2 * SECOND;
  private static final String KEYED_CLASS = "deposit";

  /** A pool whose commands and notices may be lost with its connection. */
  private final class PoolModel implements WorkerPool {
    private final List<Runnable> commands = new ArrayList<>();
    private final List<Runnable> notices = new ArrayList<>();
    private final Set<String> running = new LinkedHashSet<>();
    private final Set<String> paused = new HashSet<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private boolean connected = true;

    private void enqueue(Runnable command) {
      commands.add(command);
    }

    /** Executes the commands sent to the pool and delivers its notices. */
    void processMessages() {
      List<Runnable> received = new ArrayList<>(commands);
      commands.clear();
      received.forEach(Runnable::run);
      while (connected && !notices.isEmpty()) {
        notices.remove(0).run();
      }
    }

    void disconnect(boolean dropCommands) {
      if (connected) {
        if (dropCommands) {
          commands.clear();
        }
        executeCommands();
        connected = false;
        fixture.broker.poolDisconnected();
      }
    }

    private void executeCommands() {
      List<Runnable> received = new ArrayList<>(commands);
      commands.clear();
      received.forEach(Runnable::run);
    }

    void reconnect() {
      if (!connected) {
        connected = true;
        processMessages();
        fixture.broker.resynchronized();
      }
    }

    void endRun(int index, boolean succeeded) {
      if (!running.isEmpty()) {
        String id = List.copyOf(running).get(index % running.size());
        running.remove(id);
        notices.add(
            () ->
                fixture.broker.runEnded(
                    id,
                    succeeded ? RunOutcome.SUCCEEDED : RunOutcome.FAILED,
                    1000,
                    succeeded ? BrokerFixture.result(id) : null));
      }
    }

    @Override
    public boolean isReady() {
      return connected;
    }

    @Override
    public boolean startRun(Exchange exchange) {
      String id = exchange.request().id();
      if (!connected) {
        return false;
      }
      enqueue(
          () -> {
            if (!paused.contains(id) && running.add(id)) {
              runs.merge(id, 1, Integer::sum);
              ranAt.putIfAbsent(id, fixture.now());
            }
          });
      return true;
    }

    @Override
    public void stopRun(String id) {
      enqueue(
          () -> {
            if (running.remove(id)) {
              paused.add(id);
              notices.add(() -> fixture.broker.runEnded(id, RunOutcome.STOPPED, 1000, null));
            }
          });
    }

    @Override
    public void resumeRun(String id) {
      enqueue(
          () -> {
            if (paused.remove(id)) {
              running.add(id);
            }
          });
    }

    @Override
    public void requestGauges(String echo) {
      enqueue(
          () ->
              notices.add(
                  () ->
                      fixture.broker.gaugesReceived(
                          echo, new double[] {0.5, running.size(), 0.1, 1})));
    }

    @Override
    public void startHealthCheck(String echo) {
      enqueue(() -> notices.add(() -> fixture.broker.healthCheckEnded(echo, true)));
    }
  }

  /** A request as its gateway sees it, from its first byte. */
  private static final class SentRequest {
    final String id;
    final boolean runsOnce;

    /** The idempotency key, common to all attempts of the same request, or null. */
    final String key;

    final byte[] bytes;
    int sent;

    /** When its first byte was sent, which it states as its arrival. */
    long startedAt;

    long completedAt = Long.MAX_VALUE;
    boolean abandoned;
    int answers;

    SentRequest(String id, boolean runsOnce, String key, byte[] bytes) {
      this.id = id;
      this.runsOnce = runsOnce;
      this.key = key;
      this.bytes = bytes;
    }
  }

  /**
   * A connection of the gateway. Requests are written one after another, and several may be open at
   * the same time.
   */
  private final class ClientConnection {
    Gateway gateway;
    EmbeddedChannel channel;
    Map<Integer, SentRequest> requests = new HashMap<>();
    int lastId;
    int incompleteId;

    /** Resets the connection; the gateway awaits no answer on it any more. */
    void reset() {
      read();
      requests.values().forEach(request -> request.abandoned = true);
      channel.close();
      open();
    }

    void open() {
      requests = new HashMap<>();
      lastId = 0;
      incompleteId = 0;
      gateway = new Gateway.FastCgi();
      Connection connection =
          new FastCgiConnection(fixture.broker, fixture.lines::add, fixture.counters);
      table.add(connection);
      channel = fixture.open(connection);
      channel.config().setAllocator(allocator);
      channel.closeFuture().addListener(closed -> table.remove(connection));
    }

    void write(int step) {
      if (!channel.isOpen()) {
        if (!draining) {
          open();
        }
        return;
      }
      if (incompleteId == 0) {
        boolean runsOnce = step % 2 == 0;
        String key = step % 4 == 0 ? "key" + step / 4 % 3 : null;
        String id = BrokerFixture.id(++createdRequests);
        incompleteId = ++lastId;
        Map<String, String> fields = Gateway.fields(id, fixture.wallClockMillis());
        if (key != null) {
          fields.put("Replay-Key", key);
        }
        requests.put(
            incompleteId,
            new SentRequest(
                id,
                runsOnce,
                key,
                gateway.request(
                    incompleteId,
                    "/call/"
                        + (key != null
                            ? KEYED_CLASS
                            : runsOnce ? BrokerFixture.ORDER : BrokerFixture.LOOK),
                    "",
                    fields,
                    new byte[key != null ? 1 : step % 100])));
        requests.get(incompleteId).startedAt = fixture.now();
        allRequests.add(requests.get(incompleteId));
      }
      SentRequest request = requests.get(incompleteId);
      int end =
          step % 3 == 0
              ? Math.min(request.bytes.length, request.sent + 1 + step % 200)
              : request.bytes.length;
      byte[] nextBytes = Arrays.copyOfRange(request.bytes, request.sent, end);
      request.sent = end;
      if (request.sent == request.bytes.length) {
        request.completedAt = fixture.now();
        incompleteId = 0;
      }
      fixture.send(channel, gateway, nextBytes);
    }

    void abort(int step) {
      if (channel.isOpen() && lastId > 0 && incompleteId == 0) {
        int id = 1 + step % lastId;
        requests.get(id).abandoned = true;
        fixture.send(channel, gateway, Gateway.FastCgi.abort(id));
      }
    }

    void read() {
      fixture.read(channel, gateway);
      Answer answer;
      while ((answer = gateway.answers.poll()) != null) {
        SentRequest request = requests.get(answer.id());
        String content = new String(answer.content(), StandardCharsets.UTF_8);
        assertNotNull(request, "answer to an unknown request");
        request.answers++;
        assertEquals(1, request.answers, request.id + " is answered twice");
        if (answer.status() == 408) { // what is sent of it from now on is skipped
          request.abandoned = true;
          assertTrue(
              request.completedAt >= request.startedAt + PEER_TIMEOUT_MICROS,
              request.id + " timed out although it was sent completely in time");
          continue;
        }
        assertTrue(
            request.completedAt <= fixture.now(),
            request.id + " is answered before it was sent completely");
        assertTrue(
            answer.status() != 503 || !request.runsOnce || !pool.runs.containsKey(request.id),
            request.id + " ran and is rejected");
        if (answer.status() == 200) {
          assertTrue(
              allRequests.stream()
                  .filter(
                      attempt ->
                          attempt == request
                              || (attempt.key != null && attempt.key.equals(request.key)))
                  .anyMatch(
                      attempt ->
                          pool.runs.containsKey(attempt.id)
                              && new String(
                                      BrokerFixture.result(attempt.id), StandardCharsets.UTF_8)
                                  .equals(content)),
              request.id + " is answered with a result that none of its runs produced");
        }
      }
    }
  }

  private BrokerFixture fixture;
  private PoolModel pool;
  private ConnectionTable table;
  private UnpooledByteBufAllocator allocator;
  private List<ClientConnection> clients;
  private List<SentRequest> allRequests;
  private Map<String, Long> ranAt;
  private int createdRequests;
  private boolean draining;
  private long drainRequestedAt;

  /**
   * Starts every request at once and decides nothing else, so that the invariants are upheld by the
   * broker alone.
   */
  private static final class StartAllController extends NoDecisionController {
    private final ControllerHost host;

    StartAllController(ControllerHost host) {
      this.host = host;
    }

    @Override
    public void requestRead(long now, Request request) {
      host.startRun(request.id());
    }
  }

  private void setUp(boolean startAll) {
    pool = new PoolModel();
    ranAt = new HashMap<>();
    fixture =
        new BrokerFixture(
                startAll
                    ? (settings, host) -> new StartAllController(host)
                    : OverloadController::new,
                ignored -> pool)
            .bound();
    fixture.broker.applySettings(withKeyedClass(BrokerFixture.settings(4.5, 2)));
    table = new ConnectionTable(PEER_TIMEOUT_MICROS, fixture);
    allocator = new UnpooledByteBufAllocator(false);
    allRequests = new ArrayList<>();
    createdRequests = 0;
    draining = false;
    clients = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      clients.add(new ClientConnection());
      clients.get(i).open();
    }
  }

  private static Settings withKeyedClass(Settings settings) {
    List<RequestClass> classes = new ArrayList<>(settings.classes());
    classes.add(
        new RequestClass(
            KEYED_CLASS, SECOND, 3 * SECOND, 4, 0, Idempotency.WITH_KEY, WINDOW_MICROS, false, 0));
    return SettingsVariants.withClassesAndTenants(settings, classes, settings.tenants());
  }

  private static Settings settings(int step) {
    Settings settings =
        withKeyedClass(
            BrokerFixture.settings((double) (step % 2 == 0 ? 3 : MAX_DEADLINE_MICROS / SECOND), 2));
    return step % 5 > 0
        ? settings
        : SettingsVariants.withClassesAndTenants(
            settings, settings.classes().subList(1, 3), settings.tenants());
  }

  private void advance(long span) {
    for (long remaining = span; remaining > 0; remaining -= 20_000) {
      fixture.pass(Math.min(remaining, 20_000));
      table.closeExpired(
          draining ? 20_000 : 30 * SECOND, draining ? CloseReason.DRAIN : CloseReason.IDLE);
      pool.processMessages();
      assertInvariants();
    }
  }

  private void assertInvariants() {
    clients.forEach(ClientConnection::read);
    for (SentRequest request : allRequests) {
      assertTrue(
          request.answers > 0
              || request.abandoned
              || request.completedAt > fixture.now() - MAX_DEADLINE_MICROS - SLACK_MICROS
              || request.completedAt == Long.MAX_VALUE,
          request.id + " is overdue");
      assertTrue(
          !request.runsOnce || pool.runs.getOrDefault(request.id, 0) <= 1,
          request.id + " ran twice");
      assertTrue(
          request.key == null
              || !pool.runs.containsKey(request.id)
              || allRequests.stream()
                  .noneMatch(
                      attempt ->
                          attempt != request
                              && request.key.equals(attempt.key)
                              && pool.runs.containsKey(attempt.id)
                              && Math.abs(attempt.startedAt - request.startedAt) < WINDOW_MICROS),
          request.id + " ran, and so did another attempt of it");
      assertTrue(
          !draining
              || ranAt.getOrDefault(request.id, 0L) < request.completedAt
              || request.completedAt <= drainRequestedAt + GRACE_MICROS,
          request.id + " arrived after the grace period and ran");
    }
    assertTrue(table.descriptorCount() <= CONNECTIONS);
    assertEquals(
        allRequests.stream()
            .filter(
                request ->
                    request.completedAt < Long.MAX_VALUE
                        && request.answers == 0
                        && !request.abandoned)
            .count(),
        fixture.broker.pendingCount(),
        "the broker and the gateway disagree on the pending requests");
  }

  @Property(seed = "1764576041", tries = 400)
  void answersEachRequestOnceAndRunsItAtMostOnceInAnyInterleaving(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99_999) Integer> steps,
      @ForAll @IntRange(max = 120) int drainStep,
      @ForAll boolean startAll) {
    setUp(startAll);
    for (int i = 0; i < steps.size() && !draining; i++) {
      int step = steps.get(i);
      ClientConnection client = clients.get(step / 20 % CONNECTIONS);
      switch (step % 20) {
        case 0, 1, 2, 3, 4, 5, 6, 7 -> client.write(step / 80);
        case 8, 9, 10, 11 -> pool.endRun(step / 20, step % 7 > 0);
        case 12 -> client.abort(step / 80);
        case 13 -> client.reset();
        case 14 -> table.closeExpired(1, CloseReason.IDLE);
        case 15 -> fixture.broker.applySettings(settings(step / 20));
        case 16 -> pool.disconnect(step % 40 == 16);
        case 17 -> pool.reconnect();
        case 18 -> advance(step * 10L);
        default -> table.evict();
      }
      assertInvariants();
      if (i == drainStep) {
        draining = true;
        drainRequestedAt = fixture.now();
        fixture.broker.drain(drainRequestedAt, drainRequestedAt + STOP_MICROS, false);
      }
      advance(step % 7_000);
    }
    pool.reconnect();
    if (draining) {
      for (int i = 0; fixture.now() < drainRequestedAt + STOP_MICROS - 150_000; i++) {
        // Half of the connections complete their requests too late.
        if (i % 2 == 0 || fixture.now() > drainRequestedAt + GRACE_MICROS + 100_000) {
          clients.get(i % CONNECTIONS).write(i);
        }
        if (drainStep % 2 == 0) { // otherwise runs continue until the end
          pool.endRun(i, true);
        }
        advance(50_000);
      }
      fixture.broker.failPending();
      assertInvariants();
    } else {
      advance(MAX_DEADLINE_MICROS + 2 * SLACK_MICROS);
    }
    fixture.pass(1);
    assertInvariants();
    allRequests.forEach(
        request ->
            assertTrue(
                request.answers > 0 || request.abandoned || request.completedAt == Long.MAX_VALUE,
                request.id + " has no answer"));
    assertEquals(0, fixture.broker.pendingCount());
    assertEquals(0, fixture.counters.get("controller-faults"));
    assertEquals(0, fixture.counters.get("faults"));
    while (!pool.running.isEmpty()) {
      pool.endRun(0, true);
    }
    advance(20 * SECOND);
    assertTrue(fixture.broker.counts().startsWith("open=0 "), fixture.broker.counts());
    clients.forEach(client -> client.channel.close());
    clients.forEach(ClientConnection::read);
    assertEquals(0, allocator.metric().usedHeapMemory(), "bytes of buffers never released");
    assertEquals(0, allocator.metric().usedDirectMemory(), "bytes of buffers never released");
  }
}
