package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.StopMode;

/**
 * Feeds one controller with scripted events, records its actions and asserts on every one of them
 * what must always hold: each request is answered once and before it is due, nothing takes effect
 * twice, nothing that arrives after the grace period of a shutdown runs, and memory and concurrency
 * stay within their bounds.
 */
final class RecordingHost implements ControllerHost {
  /** The state of a request as the server sees it. */
  private static final class RequestState {
    Request request;
    RequestClass kind;
    long arrived;
    long due;
    boolean answered;
    boolean over;
    boolean ran;
    boolean aborted;
    boolean onCore;
    boolean atCall;
    boolean calling;
    long callUntil;
    boolean replaying;
    boolean halted;
    RunOutcome lastCall;
  }

  private Settings settings;
  final OverloadController controller;
  final List<String> actions = new ArrayList<>();
  private final Map<String, RequestState> requests = new LinkedHashMap<>();
  private final Map<String, Long> keys = new LinkedHashMap<>();
  private final List<Long> timers = new ArrayList<>();
  private long now;
  private long drainingSince = Long.MAX_VALUE;
  private long lastCallTimeout;
  private final long startedAt;
  private double averageRunning;
  private double[] gauges;

  RecordingHost(Settings settings, long start) {
    this.settings = settings;
    gauges = new double[settings.machine().gaugeNames().size()];
    now = start;
    startedAt = start;
    controller = new OverloadController(settings, this);
    controller.serverStarted(now);
    settle();
  }

  // ---- events

  void gauges(double... values) {
    gauges = values;
  }

  long now() {
    return now;
  }

  /** Lets time pass, firing timers as they fall due. */
  void passUntil(long end) {
    while (true) {
      long next = end;
      for (long timer : timers) {
        next = Math.min(next, Math.max(timer, now + 1));
      }
      step(next);
      List<Long> due = timers.stream().filter(timer -> timer <= now).toList();
      timers.removeAll(due);
      for (int i = 0; i < due.size(); i++) {
        controller.timerFired(now, "sample", GaugeSample.of(gauges));
      }
      settle();
      if (now >= end) {
        return;
      }
    }
  }

  /** Lets the clock jump without any event, as when the whole process stands still. */
  void jump(long span) {
    step(now + span);
  }

  private void step(long next) {
    long running = requests.values().stream().filter(request -> request.onCore).count();
    double weight = 1 - Math.exp(-(double) (next - now) / settings.limits().concurrencyWindow());
    averageRunning += (running - averageRunning) * weight;
    now = next;
    double cold = settings.limits().coldSpeedRatio();
    double speed =
        settings.machine().coldStart()
            ? Math.min(
                1, cold + (1 - cold) * (now - startedAt) / settings.limits().warmUpDuration())
            : 1;
    double bound =
        (1 + (settings.limits().concurrencyPerCore() - 1) * speed) * settings.machine().cores();
    assertTrue(averageRunning <= bound, "running " + averageRunning + " over " + bound);
  }

  /** Reads requests in one batch. */
  void read(Request... batch) {
    for (Request request : batch) {
      RequestState state = new RequestState();
      state.request = request;
      state.kind = settings.classes().get(request.classIndex());
      state.arrived = now - request.queueingDelay();
      long due =
          request.callerDeadline() > 0
              ? request.callerDeadline()
              : state.arrived + state.kind.deadline();
      state.due = Math.max(now, due);
      requests.put(request.id(), state);
    }
    for (Request request : batch) {
      controller.requestRead(now, request);
    }
    settle();
  }

  void atCall(String id) {
    state(id).onCore = false;
    state(id).atCall = true;
    state(id).lastCall = null;
    controller.callAwaited(now, id);
    settle();
  }

  void callEnded(String id, RunOutcome outcome) {
    state(id).lastCall = outcome;
    state(id).calling = false;
    if (outcome == RunOutcome.SUCCEEDED) {
      state(id).onCore = true;
      state(id).atCall = false;
    }
    controller.callEnded(now, id, outcome, 1);
    settle();
  }

  void finish(String id, RunOutcome outcome) {
    finish(id, outcome, 0);
  }

  void finish(String id, RunOutcome outcome, long durationMicros) {
    RequestState state = state(id);
    state.onCore = false;
    state.atCall = false;
    state.calling = false;
    state.replaying = false;
    state.over = true;
    state.answered |= outcome == RunOutcome.SUCCEEDED || outcome == RunOutcome.FAILED;
    controller.runEnded(now, id, outcome, durationMicros);
    settle();
  }

  void cancel(String id) {
    state(id).answered = true;
    state(id).over = !state(id).onCore && !state(id).atCall;
    state(id).replaying = false;
    controller.requestCancelled(now, id);
    settle();
  }

  void changeSettings(Settings changed) {
    settings = changed;
    controller.settingsChanged(now, changed);
    settle();
  }

  Settings settings() {
    return settings;
  }

  void drain(long stopAt) {
    drainingSince = now;
    for (RequestState state : requests.values()) {
      state.due = Math.min(state.due, stopAt);
    }
    controller.shutdownRequested(now, stopAt);
    settle();
  }

  private void settle() {
    controller.batchEnded(now);
    double memory = 0;
    for (RequestState state : requests.values()) {
      boolean holds = !state.over;
      double factor = state.ran ? settings.machine().runMemoryFactor() : 1;
      memory += holds ? state.request.memoryKb() * factor : 0;
      assertTrue(
          state.answered || now <= state.due + settings.limits().answerSlack(),
          state.request.id() + " is overdue");
    }
    keys.values().removeIf(until -> until <= now);
    memory += keys.size() * settings.machine().keyMemoryKb();
    assertTrue(memory <= settings.machine().memoryKb(), "memory " + memory);
  }

  // ---- queries of the tests

  boolean did(String action) {
    return actions.stream()
        .anyMatch(entry -> entry.equals(action) || entry.startsWith(action + " "));
  }

  long count(String verb) {
    return actions.stream().filter(entry -> entry.startsWith(verb + " ")).count();
  }

  boolean answered(String id) {
    return state(id).answered;
  }

  /** When the last call is abandoned. */
  long lastCallTimeout() {
    return lastCallTimeout;
  }

  /**
   * Plays what follows without a new event: runs that stop, calls abandoned at their timeout, and
   * repeats whose original has ended.
   */
  void consequences() {
    for (Map.Entry<String, RequestState> entry : new ArrayList<>(requests.entrySet())) {
      RequestState state = entry.getValue();
      if (state.over) {
        continue;
      }
      if ((state.halted && state.onCore) || (state.atCall && state.answered)) {
        finish(entry.getKey(), RunOutcome.STOPPED);
      } else if (state.calling && state.callUntil <= now) {
        callEnded(entry.getKey(), RunOutcome.TIMED_OUT);
      } else if (state.replaying && state(state.request.originalId()).over) {
        boolean ran = state(state.request.originalId()).ran;
        finish(entry.getKey(), ran ? RunOutcome.SUCCEEDED : RunOutcome.FAILED);
      }
    }
  }

  /** Names of open requests on a core. */
  List<String> onCores() {
    return requests.keySet().stream().filter(id -> !state(id).over && state(id).onCore).toList();
  }

  /** Whether the class of a request may call. */
  boolean calls(String id) {
    return state(id).kind.callsDependency();
  }

  /** Names of open requests whose call is out. */
  List<String> callsOut() {
    return requests.keySet().stream().filter(id -> !state(id).over && state(id).calling).toList();
  }

  /** Names of open requests whose answer is pending. */
  List<String> pending() {
    return requests.keySet().stream().filter(id -> !state(id).over && !state(id).answered).toList();
  }

  /** Whether a key is still remembered. */
  boolean remembers(String id) {
    return keys.getOrDefault(id, 0L) > now;
  }

  private RequestState state(String id) {
    RequestState state = requests.get(id);
    assertNotNull(state, id + " was never given");
    return state;
  }

  private RequestState takeAnswer(String id) {
    RequestState state = state(id);
    assertFalse(state.answered, id + " is answered twice");
    state.answered = true;
    return state;
  }

  // ---- actions

  @Override
  public void startRun(String id) {
    RequestState state = state(id);
    assertFalse(state.over, id + " is over");
    assertTrue(
        state.arrived - settings.limits().drainGracePeriod() <= drainingSince,
        id + " came after the grace");
    assertRepeatsNothingThatRan(state);
    if (state.kind.idempotency() == Idempotency.WITH_KEY && !state.ran) {
      assertTrue(keys.containsKey(id), id + " runs without its key");
    }
    assertFalse(
        state.aborted && state.kind.idempotency() != Idempotency.ALWAYS, id + " runs again");
    state.ran = true;
    state.onCore = true;
    actions.add("start " + id);
  }

  /** A repeat of guarded work that ran must not run. */
  private void assertRepeatsNothingThatRan(RequestState state) {
    String originalId = state.request.originalId();
    if (originalId != null && state.kind.idempotency() == Idempotency.WITH_KEY) {
      RequestState before = requests.get(originalId);
      boolean refused = before != null && before.answered && !before.ran;
      assertTrue(refused, state.request.id() + " repeats what ran or is held");
    }
  }

  @Override
  public void startCall(String id, long until) {
    RequestState state = state(id);
    assertTrue(state.atCall, id + " is at no call");
    boolean proven = state.lastCall == null || state.lastCall.provesNoEffect();
    assertTrue(proven || state.kind.idempotency() == Idempotency.ALWAYS, id + " calls again");
    assertTrue(until > now, "a time-out in the past");
    state.calling = true;
    state.callUntil = until;
    lastCallTimeout = until;
    actions.add("call " + id);
  }

  @Override
  public void skipCall(String id) {
    RequestState state = state(id);
    assertTrue(state.atCall && !state.calling, id + " is at no call");
    assertTrue(state.kind.degradedWeightRatio() > 0, id + " earns nothing without its call");
    state.atCall = false;
    state.onCore = true;
    actions.add("skip " + id);
  }

  @Override
  public void stopRun(String id) {
    assertTrue(settings.machine().stopMode() != StopMode.NONE, "halting is not allowed");
    RequestState state = state(id);
    state.halted = true;
    state.aborted |= settings.machine().stopMode() == StopMode.ABORT;
    actions.add("halt " + id);
  }

  @Override
  public void rejectRequest(String id, boolean finalAnswer, long retryAfter) {
    RequestState state = takeAnswer(id);
    assertFalse(
        state.ran && state.kind.idempotency() != Idempotency.ALWAYS, id + " ran and is rejected");
    if (state.request.originalId() != null && state.kind.idempotency() == Idempotency.WITH_KEY) {
      RequestState before = requests.get(state.request.originalId());
      assertTrue(before != null && !before.ran, id + " repeats what ran and is rejected");
    }
    state.over = true;
    actions.add("refuse " + id + (finalAnswer ? " last" : "") + (retryAfter > 0 ? " away" : ""));
  }

  @Override
  public void failRequest(String id) {
    // What was answered while it ran and reaches a call is ended there; that is no second answer.
    RequestState state = state(id).answered && state(id).atCall ? state(id) : takeAnswer(id);
    state.over = !state.onCore && !state.atCall;
    state.replaying = false;
    actions.add("fail " + id);
  }

  @Override
  public void rememberKey(String id, long span) {
    RequestState state = state(id);
    assertTrue(
        now + span >= state.arrived + state.kind.idempotencyWindow(),
        id + " is forgotten within its window");
    keys.put(id, now + span);
    actions.add("remember " + id);
  }

  @Override
  public void forgetKey(String id) {
    assertFalse(state(id).ran, id + " ran and is forgotten");
    keys.remove(id);
    actions.add("forget " + id);
  }

  @Override
  public void replayResult(String id) {
    assertNotNull(state(id).request.originalId());
    state(id).replaying = true;
    actions.add("replay " + id);
  }

  @Override
  public void scheduleTimer(long at, String tag) {
    timers.add(at);
  }

  @Override
  public void publishFreeValue(double value) {
    assertTrue(value >= 0);
    actions.add("say " + value);
  }

  @Override
  public void setHealth(boolean cheap, boolean healthy) {
    actions.add("health " + healthy);
  }

  @Override
  public void closeIdleConnections(long span) {
    actions.add("trim " + span);
  }

  @Override
  public void log(String text) {
    assertEquals(text.strip(), text);
    actions.add("log " + text);
  }
}
