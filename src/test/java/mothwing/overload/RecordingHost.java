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
 * Feeds one Brain with scripted events, records its actions and asserts the four rules on every one
 * of them: one answer by the due time, no effect twice, nothing run past a drain's grace, memory
 * and crowd within bounds.
 */
final class RecordingHost implements ControllerHost {
  /** What the server knows of a request. */
  private static final class Known {
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
  final OverloadController brain;
  final List<String> actions = new ArrayList<>();
  private final Map<String, Known> requests = new LinkedHashMap<>();
  private final Map<String, Long> keys = new LinkedHashMap<>();
  private final List<Long> timers = new ArrayList<>();
  private long now;
  private long noticeAt = Long.MAX_VALUE;
  private long lastTimeOut;
  private final long startedAt;
  private double crowd;
  private double[] gauges;

  RecordingHost(Settings settings, long start) {
    this.settings = settings;
    gauges = new double[settings.machine().gaugeNames().size()];
    now = start;
    startedAt = start;
    brain = new OverloadController(settings, this);
    brain.serverStarted(now);
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
        brain.timerFired(now, "sample", GaugeSample.of(gauges));
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
    long running = requests.values().stream().filter(one -> one.onCore).count();
    double weight = 1 - Math.exp(-(double) (next - now) / settings.rules().concurrencyWindow());
    crowd += (running - crowd) * weight;
    now = next;
    double cold = settings.rules().coldSpeedRatio();
    double speed =
        settings.machine().coldStart()
            ? Math.min(1, cold + (1 - cold) * (now - startedAt) / settings.rules().warmUpDuration())
            : 1;
    double bound =
        (1 + (settings.rules().concurrencyPerCore() - 1) * speed) * settings.machine().cores();
    assertTrue(crowd <= bound, "crowd " + crowd + " over " + bound);
  }

  /** Reads requests in one batch. */
  void read(Request... batch) {
    for (Request request : batch) {
      Known known = new Known();
      known.request = request;
      known.kind = settings.classes().get(request.classIndex());
      known.arrived = now - request.queueingDelay();
      long due =
          request.callerDeadline() > 0
              ? request.callerDeadline()
              : known.arrived + known.kind.deadline();
      known.due = Math.max(now, due);
      requests.put(request.id(), known);
    }
    for (Request request : batch) {
      brain.requestRead(now, request);
    }
    settle();
  }

  void atCall(String id) {
    known(id).onCore = false;
    known(id).atCall = true;
    known(id).lastCall = null;
    brain.callAwaited(now, id);
    settle();
  }

  void callEnded(String id, RunOutcome outcome) {
    known(id).lastCall = outcome;
    known(id).calling = false;
    if (outcome == RunOutcome.SUCCEEDED) {
      known(id).onCore = true;
      known(id).atCall = false;
    }
    brain.callEnded(now, id, outcome, 1);
    settle();
  }

  void finish(String id, RunOutcome outcome) {
    finish(id, outcome, 0);
  }

  void finish(String id, RunOutcome outcome, long took) {
    Known known = known(id);
    known.onCore = false;
    known.atCall = false;
    known.calling = false;
    known.replaying = false;
    known.over = true;
    known.answered |= outcome == RunOutcome.SUCCEEDED || outcome == RunOutcome.FAILED;
    brain.runEnded(now, id, outcome, took);
    settle();
  }

  void gone(String id) {
    known(id).answered = true;
    known(id).over = !known(id).onCore && !known(id).atCall;
    known(id).replaying = false;
    brain.requestCancelled(now, id);
    settle();
  }

  void retune(Settings now) {
    settings = now;
    brain.settingsChanged(this.now, now);
    settle();
  }

  Settings settings() {
    return settings;
  }

  void drain(long stopAt) {
    noticeAt = now;
    for (Known known : requests.values()) {
      known.due = Math.min(known.due, stopAt);
    }
    brain.shutdownRequested(now, stopAt);
    settle();
  }

  private void settle() {
    brain.batchEnded(now);
    double memory = 0;
    for (Known known : requests.values()) {
      boolean holds = !known.over;
      double factor = known.ran ? settings.machine().runMemoryFactor() : 1;
      memory += holds ? known.request.memoryKb() * factor : 0;
      assertTrue(
          known.answered || now <= known.due + settings.rules().answerSlack(),
          known.request.id() + " is overdue");
    }
    keys.values().removeIf(until -> until <= now);
    memory += keys.size() * settings.machine().keyMemoryKb();
    assertTrue(memory <= settings.machine().memoryKb(), "memory " + memory);
  }

  // ---- what tests ask

  boolean did(String action) {
    return actions.stream().anyMatch(one -> one.equals(action) || one.startsWith(action + " "));
  }

  long count(String verb) {
    return actions.stream().filter(one -> one.startsWith(verb + " ")).count();
  }

  boolean answered(String id) {
    return known(id).answered;
  }

  /** The time-out of the last call that was made. */
  long lastTimeOut() {
    return lastTimeOut;
  }

  /**
   * Plays what follows of itself: stops that take effect, calls given up, repeats whose forerunner
   * is over.
   */
  void consequences() {
    for (Map.Entry<String, Known> one : new ArrayList<>(requests.entrySet())) {
      Known known = one.getValue();
      if (known.over) {
        continue;
      }
      if ((known.halted && known.onCore) || (known.atCall && known.answered)) {
        finish(one.getKey(), RunOutcome.STOPPED);
      } else if (known.calling && known.callUntil <= now) {
        callEnded(one.getKey(), RunOutcome.TIMED_OUT);
      } else if (known.replaying && known(known.request.originalId()).over) {
        boolean ran = known(known.request.originalId()).ran;
        finish(one.getKey(), ran ? RunOutcome.SUCCEEDED : RunOutcome.FAILED);
      }
    }
  }

  /** Names of open requests on a core. */
  List<String> onCores() {
    return requests.keySet().stream().filter(id -> !known(id).over && known(id).onCore).toList();
  }

  /** Whether the class of a request may call. */
  boolean calls(String id) {
    return known(id).kind.callsDependency();
  }

  /** Names of open requests whose call is out. */
  List<String> callsOut() {
    return requests.keySet().stream().filter(id -> !known(id).over && known(id).calling).toList();
  }

  /** Names of open requests that are owed an answer. */
  List<String> owed() {
    return requests.keySet().stream().filter(id -> !known(id).over && !known(id).answered).toList();
  }

  /** Whether a key is still remembered. */
  boolean remembers(String id) {
    return keys.getOrDefault(id, 0L) > now;
  }

  private Known known(String id) {
    Known known = requests.get(id);
    assertNotNull(known, id + " was never given");
    return known;
  }

  private Known owed(String id) {
    Known known = known(id);
    assertFalse(known.answered, id + " is answered twice");
    known.answered = true;
    return known;
  }

  // ---- actions

  @Override
  public void startRun(String id) {
    Known known = known(id);
    assertFalse(known.over, id + " is over");
    assertTrue(
        known.arrived - settings.rules().drainGracePeriod() <= noticeAt,
        id + " came after the grace");
    assertRepeatsNothingThatRan(known);
    if (known.kind.idempotency() == Idempotency.GUARDED && !known.ran) {
      assertTrue(keys.containsKey(id), id + " runs without its key");
    }
    assertFalse(known.aborted && known.kind.idempotency() != Idempotency.SAFE, id + " runs again");
    known.ran = true;
    known.onCore = true;
    actions.add("start " + id);
  }

  /** A repeat of guarded work that ran must not run. */
  private void assertRepeatsNothingThatRan(Known known) {
    String forerunner = known.request.originalId();
    if (forerunner != null && known.kind.idempotency() == Idempotency.GUARDED) {
      Known before = requests.get(forerunner);
      boolean refused = before != null && before.answered && !before.ran;
      assertTrue(refused, known.request.id() + " repeats what ran or is held");
    }
  }

  @Override
  public void startCall(String id, long until) {
    Known known = known(id);
    assertTrue(known.atCall, id + " is at no call");
    boolean proven = known.lastCall == null || known.lastCall.provesNoEffect();
    assertTrue(proven || known.kind.idempotency() == Idempotency.SAFE, id + " calls again");
    assertTrue(until > now, "a time-out in the past");
    known.calling = true;
    known.callUntil = until;
    lastTimeOut = until;
    actions.add("call " + id);
  }

  @Override
  public void skipCall(String id) {
    Known known = known(id);
    assertTrue(known.atCall && !known.calling, id + " is at no call");
    assertTrue(known.kind.degradedWeightRatio() > 0, id + " is worth nothing without its call");
    known.atCall = false;
    known.onCore = true;
    actions.add("skip " + id);
  }

  @Override
  public void stopRun(String id) {
    assertTrue(settings.machine().stopMode() != StopMode.NONE, "halting is not allowed");
    Known known = known(id);
    known.halted = true;
    known.aborted |= settings.machine().stopMode() == StopMode.ABORT;
    actions.add("halt " + id);
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long stayAway) {
    Known known = owed(id);
    assertFalse(
        known.ran && known.kind.idempotency() != Idempotency.SAFE, id + " ran and is turned away");
    if (known.request.originalId() != null && known.kind.idempotency() == Idempotency.GUARDED) {
      Known before = requests.get(known.request.originalId());
      assertTrue(before != null && !before.ran, id + " repeats what ran and is turned away");
    }
    known.over = true;
    actions.add("refuse " + id + (dontRetry ? " last" : "") + (stayAway > 0 ? " away" : ""));
  }

  @Override
  public void failRequest(String id) {
    // What was answered while it ran and reaches a call is ended there; that is no second answer.
    Known known = known(id).answered && known(id).atCall ? known(id) : owed(id);
    known.over = !known.onCore && !known.atCall;
    known.replaying = false;
    actions.add("fail " + id);
  }

  @Override
  public void rememberKey(String id, long span) {
    Known known = known(id);
    assertTrue(
        now + span >= known.arrived + known.kind.idempotencyWindow(),
        id + " is forgotten within its window");
    keys.put(id, now + span);
    actions.add("remember " + id);
  }

  @Override
  public void forgetKey(String id) {
    assertFalse(known(id).ran, id + " ran and is forgotten");
    keys.remove(id);
    actions.add("forget " + id);
  }

  @Override
  public void replayResult(String id) {
    assertNotNull(known(id).request.originalId());
    known(id).replaying = true;
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
  public void setHealth(boolean cheap, boolean good) {
    actions.add("health " + good);
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
