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
 * Delivers scripted events to one controller, records its actions and asserts the invariants on
 * each of them: every request is answered once and before it is due, no effect occurs twice, no
 * request that arrives after the grace period of a shutdown runs, and memory and concurrency stay
 * within their bounds.
 */
final class RecordingHost implements ControllerHost {
  /** The state of a request from the server's point of view. */
  private static final class RequestState {
    Request request;
    RequestClass requestClass;
    long arrivedAt;
    long dueAt;
    boolean answered;
    boolean ended;
    boolean ran;
    boolean aborted;
    boolean onCore;
    boolean atCall;
    boolean calling;
    long callAbandonAt;
    boolean replaying;
    boolean stopRequested;
    RunOutcome lastCallOutcome;
  }

  private Settings settings;
  final OverloadController controller;
  final List<String> actions = new ArrayList<>();
  private final Map<String, RequestState> requests = new LinkedHashMap<>();
  private final Map<String, Long> keys = new LinkedHashMap<>();
  private final List<Long> timers = new ArrayList<>();
  private long now;
  private long drainingSince = Long.MAX_VALUE;
  private long lastCallAbandonedAt;
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
    endBatch();
  }

  // Events

  void gauges(double... values) {
    gauges = values;
  }

  long now() {
    return now;
  }

  /** Advances the clock and fires the timers that fall due. */
  void advanceTo(long end) {
    while (true) {
      long next = end;
      for (long timer : timers) {
        next = Math.min(next, Math.max(timer, now + 1));
      }
      step(next);
      List<Long> dueTimers = timers.stream().filter(timer -> timer <= now).toList();
      timers.removeAll(dueTimers);
      for (int i = 0; i < dueTimers.size(); i++) {
        controller.timerFired(now, "sample", GaugeSample.of(gauges));
      }
      endBatch();
      if (now >= end) {
        return;
      }
    }
  }

  /** Advances the clock without any event, as if the whole process had stopped for that time. */
  void jump(long duration) {
    step(now + duration);
  }

  private void step(long next) {
    long running = requests.values().stream().filter(request -> request.onCore).count();
    double weight = 1 - Math.exp(-(double) (next - now) / settings.limits().concurrencyWindow());
    averageRunning += (running - averageRunning) * weight;
    now = next;
    double coldSpeedRatio = settings.limits().coldSpeedRatio();
    double speed =
        settings.machine().coldStart()
            ? Math.min(
                1,
                coldSpeedRatio
                    + (1 - coldSpeedRatio) * (now - startedAt) / settings.limits().warmUpDuration())
            : 1;
    double bound =
        (1 + (settings.limits().concurrencyPerCore() - 1) * speed) * settings.machine().cores();
    assertTrue(
        averageRunning <= bound, "average concurrency " + averageRunning + " exceeds " + bound);
  }

  /** Delivers requests in one batch. */
  void read(Request... batch) {
    for (Request request : batch) {
      RequestState state = new RequestState();
      state.request = request;
      state.requestClass = settings.classes().get(request.classIndex());
      state.arrivedAt = now - request.queueingDelay();
      long dueAt =
          request.callerDeadline() > 0
              ? request.callerDeadline()
              : state.arrivedAt + state.requestClass.deadline();
      state.dueAt = Math.max(now, dueAt);
      requests.put(request.id(), state);
    }
    for (Request request : batch) {
      controller.requestRead(now, request);
    }
    endBatch();
  }

  void reachCall(String id) {
    state(id).onCore = false;
    state(id).atCall = true;
    state(id).lastCallOutcome = null;
    controller.callAwaited(now, id);
    endBatch();
  }

  void callEnded(String id, RunOutcome outcome) {
    state(id).lastCallOutcome = outcome;
    state(id).calling = false;
    if (outcome == RunOutcome.SUCCEEDED) {
      state(id).onCore = true;
      state(id).atCall = false;
    }
    controller.callEnded(now, id, outcome, 1);
    endBatch();
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
    state.ended = true;
    state.answered |= outcome == RunOutcome.SUCCEEDED || outcome == RunOutcome.FAILED;
    controller.runEnded(now, id, outcome, durationMicros);
    endBatch();
  }

  void cancel(String id) {
    state(id).answered = true;
    state(id).ended = !state(id).onCore && !state(id).atCall;
    state(id).replaying = false;
    controller.requestCancelled(now, id);
    endBatch();
  }

  void changeSettings(Settings changed) {
    settings = changed;
    controller.settingsChanged(now, changed);
    endBatch();
  }

  Settings settings() {
    return settings;
  }

  void drain(long stopAt) {
    drainingSince = now;
    for (RequestState state : requests.values()) {
      state.dueAt = Math.min(state.dueAt, stopAt);
    }
    controller.shutdownRequested(now, stopAt);
    endBatch();
  }

  private void endBatch() {
    controller.batchEnded(now);
    double memoryKb = 0;
    for (RequestState state : requests.values()) {
      boolean holdsMemory = !state.ended;
      double factor = state.ran ? settings.machine().runMemoryFactor() : 1;
      memoryKb += holdsMemory ? state.request.memoryKb() * factor : 0;
      assertTrue(
          state.answered || now <= state.dueAt + settings.limits().answerSlack(),
          state.request.id() + " is overdue");
    }
    keys.values().removeIf(until -> until <= now);
    memoryKb += keys.size() * settings.machine().keyMemoryKb();
    assertTrue(
        memoryKb <= settings.machine().memoryKb(), "memory in use, in kilobytes: " + memoryKb);
  }

  // Queries

  /** Returns whether an action that equals or begins with the given words was recorded. */
  boolean hasAction(String action) {
    return actions.stream()
        .anyMatch(entry -> entry.equals(action) || entry.startsWith(action + " "));
  }

  long count(String verb) {
    return actions.stream().filter(entry -> entry.startsWith(verb + " ")).count();
  }

  boolean answered(String id) {
    return state(id).answered;
  }

  /** Returns the time at which the last call is abandoned. */
  long lastCallAbandonedAt() {
    return lastCallAbandonedAt;
  }

  /**
   * Delivers the events that follow from earlier actions: ends of stopped runs, calls abandoned at
   * their timeout, and replays whose original has ended.
   */
  void deliverFollowUps() {
    for (Map.Entry<String, RequestState> entry : new ArrayList<>(requests.entrySet())) {
      RequestState state = entry.getValue();
      if (state.ended) {
        continue;
      }
      if ((state.stopRequested && state.onCore) || (state.atCall && state.answered)) {
        finish(entry.getKey(), RunOutcome.STOPPED);
      } else if (state.calling && state.callAbandonAt <= now) {
        callEnded(entry.getKey(), RunOutcome.TIMED_OUT);
      } else if (state.replaying && state(state.request.originalId()).ended) {
        boolean ran = state(state.request.originalId()).ran;
        finish(entry.getKey(), ran ? RunOutcome.SUCCEEDED : RunOutcome.FAILED);
      }
    }
  }

  /** Returns the ids of open requests whose runs hold a core. */
  List<String> onCores() {
    return requests.keySet().stream().filter(id -> !state(id).ended && state(id).onCore).toList();
  }

  /** Returns whether the class of a request may call the dependency. */
  boolean callsDependency(String id) {
    return state(id).requestClass.callsDependency();
  }

  /** Returns the ids of open requests whose call is in flight. */
  List<String> callsInFlight() {
    return requests.keySet().stream().filter(id -> !state(id).ended && state(id).calling).toList();
  }

  /** Returns the ids of open requests that are not answered. */
  List<String> pending() {
    return requests.keySet().stream()
        .filter(id -> !state(id).ended && !state(id).answered)
        .toList();
  }

  /** Returns whether an idempotency key is still remembered. */
  boolean remembers(String id) {
    return keys.getOrDefault(id, 0L) > now;
  }

  private RequestState state(String id) {
    RequestState state = requests.get(id);
    assertNotNull(state, id + " was never read");
    return state;
  }

  private RequestState markAnswered(String id) {
    RequestState state = state(id);
    assertFalse(state.answered, id + " is answered twice");
    state.answered = true;
    return state;
  }

  // Actions

  @Override
  public void startRun(String id) {
    RequestState state = state(id);
    assertFalse(state.ended, id + " has ended");
    assertTrue(
        state.arrivedAt - settings.limits().drainGracePeriod() <= drainingSince,
        id + " arrived after the grace period");
    assertRepeatsNoRunOrHeldOriginal(state);
    if (state.requestClass.idempotency() == Idempotency.WITH_KEY && !state.ran) {
      assertTrue(keys.containsKey(id), id + " runs without a remembered key");
    }
    assertFalse(
        state.aborted && state.requestClass.idempotency() != Idempotency.ALWAYS,
        id + " runs a second time");
    state.ran = true;
    state.onCore = true;
    actions.add("start " + id);
  }

  /** Asserts that a request does not repeat one with an idempotency key that ran or is held. */
  private void assertRepeatsNoRunOrHeldOriginal(RequestState state) {
    String originalId = state.request.originalId();
    if (originalId != null && state.requestClass.idempotency() == Idempotency.WITH_KEY) {
      RequestState original = requests.get(originalId);
      boolean originalRejected = original != null && original.answered && !original.ran;
      assertTrue(originalRejected, state.request.id() + " repeats a request that ran or is held");
    }
  }

  @Override
  public void startCall(String id, long abandonAt) {
    RequestState state = state(id);
    assertTrue(state.atCall, id + " awaits no call");
    boolean mayCall = state.lastCallOutcome == null || state.lastCallOutcome.provesNoEffect();
    assertTrue(
        mayCall || state.requestClass.idempotency() == Idempotency.ALWAYS,
        id + " repeats a call that may have had an effect");
    assertTrue(abandonAt > now, "the call timeout is in the past");
    state.calling = true;
    state.callAbandonAt = abandonAt;
    lastCallAbandonedAt = abandonAt;
    actions.add("call " + id);
  }

  @Override
  public void skipCall(String id) {
    RequestState state = state(id);
    assertTrue(state.atCall && !state.calling, id + " awaits no call");
    assertTrue(
        state.requestClass.degradedWeightRatio() > 0, id + " earns no weight without its call");
    state.atCall = false;
    state.onCore = true;
    actions.add("skip " + id);
  }

  @Override
  public void stopRun(String id) {
    assertTrue(settings.machine().stopMode() != StopMode.NONE, "runs cannot be stopped");
    RequestState state = state(id);
    state.stopRequested = true;
    state.aborted |= settings.machine().stopMode() == StopMode.ABORT;
    actions.add("stop " + id);
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long retryAfter) {
    RequestState state = markAnswered(id);
    assertFalse(
        state.ran && state.requestClass.idempotency() != Idempotency.ALWAYS,
        id + " ran and is rejected");
    if (state.request.originalId() != null
        && state.requestClass.idempotency() == Idempotency.WITH_KEY) {
      RequestState original = requests.get(state.request.originalId());
      assertTrue(
          original != null && !original.ran, id + " repeats a request that ran and is rejected");
    }
    state.ended = true;
    actions.add(
        "reject " + id + (dontRetry ? " final" : "") + (retryAfter > 0 ? " retryAfter" : ""));
  }

  @Override
  public void failRequest(String id) {
    // A run of an answered request ends when it reaches a call; this is not a second answer.
    RequestState state = state(id).answered && state(id).atCall ? state(id) : markAnswered(id);
    state.ended = !state.onCore && !state.atCall;
    state.replaying = false;
    actions.add("fail " + id);
  }

  @Override
  public void rememberKey(String id, long duration) {
    RequestState state = state(id);
    assertTrue(
        now + duration >= state.arrivedAt + state.requestClass.idempotencyWindow(),
        id + " is forgotten within its window");
    keys.put(id, now + duration);
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
    actions.add("publish " + value);
  }

  @Override
  public void setHealth(boolean shallow, boolean healthy) {
    actions.add("health " + healthy);
  }

  @Override
  public void closeIdleConnections(long idleTimeout) {
    actions.add("idleTimeout " + idleTimeout);
  }

  @Override
  public void log(String text) {
    assertEquals(text.strip(), text);
    actions.add("log " + text);
  }
}
