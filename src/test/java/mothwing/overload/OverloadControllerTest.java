package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.Dependency;
import mothwing.control.FreeValue;
import mothwing.control.Idempotency;
import mothwing.control.Machine;
import mothwing.control.ObjectiveWeights;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.ServerLimits;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.StopMode;
import mothwing.control.Tenant;
import mothwing.testing.SettingsVariants;
import org.junit.jupiter.api.Test;

/**
 * Drives the controller with scripted events; the host asserts on every one what must always hold.
 */
class OverloadControllerTest {
  private static final int READ = 0;
  private static final int SAVE = 1;
  private static final int COMMIT = 2;
  private static final long SECOND = 1_000_000;
  private static final long START = 77 * SECOND;
  private static final double KEY_KB = 100;

  private static Settings settings(
      StopMode stopMode, double memory, boolean coldStart, double callQuota) {
    return settings(stopMode, memory, coldStart, callQuota, 4);
  }

  private static Settings settings(
      StopMode stopMode, double memory, boolean coldStart, double callQuota, int callers) {
    return new Settings(
        1,
        5_000,
        List.of(
            new RequestClass("read", SECOND, 4 * SECOND, 1, 0.2, Idempotency.ALWAYS, 0, true, 0),
            new RequestClass("save", SECOND, 4 * SECOND, 2, 0, Idempotency.ALWAYS, 0, false, 0),
            new RequestClass(
                "commit", SECOND, 4 * SECOND, 5, 0.2, Idempotency.WITH_KEY, 10 * SECOND, true, 0)),
        List.of(new Tenant("one", 100), new Tenant("two", 100)),
        10,
        callers,
        true,
        0.1,
        0,
        new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
        new ServerLimits(60_000, 2 * SECOND, 4, 1_500_000, 0.3, 10 * SECOND),
        new Dependency(callQuota, 5 * SECOND, 200_000),
        new Machine(2, memory, 8, KEY_KB, coldStart, List.of("cpu_busy", "runnable"), stopMode),
        new Signals(FreeValue.SHARE, SECOND, true, SECOND, true, 30 * SECOND));
  }

  private static Settings withClasses(Settings base, List<RequestClass> classes) {
    return SettingsVariants.parts(base, classes, base.tenants());
  }

  private static RecordingHost host() {
    return new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5), START);
  }

  private static Request request(
      RecordingHost host, String id, int classIndex, String originalId, long callerTimeout) {
    return new Request(
        id,
        classIndex,
        0,
        100_000,
        1_000,
        null,
        10,
        originalId,
        0.5,
        callerTimeout == 0 ? 0 : host.now() + callerTimeout,
        classIndex != READ);
  }

  private static Request request(RecordingHost host, String id, int classIndex) {
    return request(host, id, classIndex, null, 3 * SECOND);
  }

  /** Occupies both cores. */
  private static void fillCores(RecordingHost host) {
    host.read(request(host, "busy1", SAVE), request(host, "busy2", SAVE));
    assertTrue(host.did("start busy1") && host.did("start busy2"));
  }

  @Test
  void runsUpToTheCoresAndHoldsTheRest() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "third", SAVE));
    assertFalse(host.did("start third"));
    assertFalse(host.answered("third"));
    host.finish("busy1", RunOutcome.SUCCEEDED);
    assertTrue(host.did("start third"));
  }

  @Test
  void runsTheHighestPriorityFirst() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "cheap", READ), request(host, "dear", COMMIT));
    host.finish("busy1", RunOutcome.SUCCEEDED);
    assertTrue(host.did("start dear"));
    assertFalse(host.did("start cheap"));
  }

  @Test
  void answersEveryRequestBeforeItIsDue() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ), request(host, "guarded", COMMIT));
    host.passUntil(START + 6 * SECOND);
    for (String id : List.of("busy1", "busy2", "held", "guarded")) {
      assertTrue(host.answered(id), id);
    }
  }

  @Test
  void usesTheDeadlineOfTheClassWithoutACallerDeadline() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ, null, 0));
    host.passUntil(START + 6 * SECOND);
    assertTrue(host.answered("held"));
  }

  @Test
  void rejectsAtOnceARequestThatIsReadAfterItsDueTime() {
    RecordingHost host = host();
    host.read(request(host, "late", READ, null, -SECOND));
    assertTrue(host.did("refuse late"));
  }

  @Test
  void stopsARunInTheReplyThatFailsItsRequest() {
    RecordingHost host = host();
    fillCores(host);
    host.passUntil(START + 3 * SECOND);
    int failed = host.actions.indexOf("fail busy1");
    assertTrue(failed >= 0);
    assertEquals("halt busy1", host.actions.get(failed + 1));
  }

  @Test
  void stopsNoRunWhereRunsCannotBeStopped() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 20_000, false, 5), START);
    host.gauges(1.0, 3.0);
    fillCores(host);
    host.read(request(host, "next", SAVE));
    host.passUntil(START + 6 * SECOND);
    assertEquals(0, host.count("halt"));
    assertFalse(host.did("start next"), "failed work still holds both cores");
  }

  @Test
  void remembersAnIdempotencyKeyBeforeTheRunStarts() {
    RecordingHost host = host();
    host.read(request(host, "turn", COMMIT));
    int remembered = host.actions.indexOf("remember turn");
    assertTrue(remembered >= 0 && remembered < host.actions.indexOf("start turn"));
  }

  @Test
  void aRepeatWaitsForTheResultOfItsOriginal() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "turn", COMMIT));
    host.read(request(host, "again", COMMIT, "turn", 3 * SECOND));
    assertTrue(host.did("replay again"), "also while the originalId is held");
    host.finish("busy1", RunOutcome.SUCCEEDED);
    host.finish("turn", RunOutcome.SUCCEEDED);
    host.read(request(host, "third", COMMIT, "turn", 3 * SECOND));
    assertTrue(host.did("replay third"));
  }

  @Test
  void aRepeatOfARequestThatRanIsFailedNotRejected() {
    RecordingHost host = host();
    host.read(request(host, "turn", COMMIT));
    host.finish("turn", RunOutcome.SUCCEEDED);
    host.read(request(host, "again", COMMIT, "turn", -SECOND));
    assertTrue(host.did("fail again"));
  }

  @Test
  void forgetsTheKeyOfARejectedRequest() {
    RecordingHost host = host();
    host.gauges(1.0, 3.0);
    fillCores(host);
    host.read(request(host, "turn", COMMIT));
    host.passUntil(START + 4 * SECOND);
    assertTrue(host.did("forget turn") && !host.did("start turn"));
  }

  @Test
  void rejectsIdempotencyKeysBeyondTheMemory() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 6 * KEY_KB, false, 5), START);
    for (int i = 0; i < 10; i++) {
      host.read(request(host, "turn" + i, COMMIT));
      if (!host.answered("turn" + i)) {
        host.finish("turn" + i, RunOutcome.SUCCEEDED);
      }
    }
    assertTrue(host.count("refuse") > 0);
    assertTrue(host.count("remember") > 0);
  }

  @Test
  void neverPlansMoreMemoryThanThereIs() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 400, false, 5), START);
    for (int i = 0; i < 30; i++) {
      host.read(request(host, "read" + i, READ));
    }
    assertTrue(host.count("refuse") > 0);
    assertTrue(host.count("start") > 0);
  }

  @Test
  void retriesACallOnlyAfterProofThatItHadNoEffect() {
    RecordingHost host = host();
    host.read(request(host, "turn", COMMIT), request(host, "load", READ));
    host.atCall("turn");
    host.atCall("load");
    host.callEnded("turn", RunOutcome.TIMED_OUT);
    assertTrue(host.did("fail turn"));
    host.callEnded("load", RunOutcome.REJECTED);
    assertEquals(1, host.actions.stream().filter("call load"::equals).count(), "not at once");
    host.passUntil(host.now() + SECOND / 2);
    assertEquals(2, host.actions.stream().filter("call load"::equals).count());
  }

  @Test
  void keepsCallsWithinItsQuotaOfTheDependency() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.5), START);
    host.read(request(host, "one", READ), request(host, "two", READ));
    host.atCall("one");
    host.atCall("two");
    assertEquals(1, host.count("call"));
    host.callEnded("one", RunOutcome.SUCCEEDED);
    host.finish("one", RunOutcome.SUCCEEDED);
    host.passUntil(host.now() + SECOND);
    assertTrue(host.did("call two"));
  }

  @Test
  void aShutdownAnswersEverythingAndRunsNothingAfterItsGracePeriod() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ));
    host.drain(START + 3 * SECOND);
    assertTrue(host.did("health false"));
    host.passUntil(START + 2_500_000);
    host.read(request(host, "late", READ));
    assertTrue(host.did("refuse late"));
    host.passUntil(START + 3 * SECOND);
    for (String id : List.of("busy1", "busy2", "held")) {
      assertTrue(host.answered(id), id);
    }
  }

  @Test
  void aCancelledRequestGetsNoAnswer() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ));
    host.cancel("held");
    host.cancel("busy1");
    assertTrue(host.did("halt busy1"));
    host.passUntil(START + 6 * SECOND);
    assertFalse(host.did("fail held") || host.did("refuse held") || host.did("fail busy1"));
  }

  @Test
  void overloadTightensTheLadderAndRejectsOnRead() {
    RecordingHost host = host();
    host.gauges(1.0, 7.0);
    int refusedOnRead = 0;
    for (int i = 0; i < 400; i++) {
      String id = "r" + i;
      host.read(request(host, id, i % 2));
      refusedOnRead += host.did("refuse " + id) ? 1 : 0;
      host.passUntil(host.now() + 20_000);
    }
    assertTrue(refusedOnRead > 40, "refused on read: " + refusedOnRead);
  }

  @Test
  void aGapInTheClockIsNoOverload() {
    RecordingHost host = host();
    host.gauges(1.0, 7.0);
    for (int i = 0; i < 20; i++) {
      host.jump(SECOND / 2);
      host.passUntil(host.now() + 1);
    }
    host.read(request(host, "after", READ));
    assertTrue(host.did("start after"));
    assertEquals(0, host.count("refuse"));
  }

  @Test
  void aFailingServerAdmitsOnlyATrickle() {
    RecordingHost host = host();
    for (int i = 0; i < 12; i++) {
      host.read(request(host, "f" + i, SAVE));
      if (!host.answered("f" + i)) {
        host.finish("f" + i, RunOutcome.FAILED);
      }
    }
    long before = host.count("start");
    for (int i = 0; i < 20; i++) {
      host.read(request(host, "g" + i, SAVE));
    }
    assertTrue(host.count("start") - before <= 1);
    host.passUntil(host.now() + SECOND);
    host.read(request(host, "probe", SAVE));
    assertTrue(host.did("start probe"), "a few attempts are made");
  }

  @Test
  void rejectsOnReadWhatCannotMeetItsDeadlineBehindHigherPriorities() {
    RecordingHost host = host();
    host.gauges(1.0, 3.0);
    fillCores(host);
    for (int i = 0; i < 20; i++) {
      host.read(request(host, "dear" + i, COMMIT));
    }
    host.read(request(host, "cheap", SAVE));
    assertTrue(host.did("refuse cheap last"), "and its caller should not retry elsewhere");
    assertFalse(host.answered("dear0"));
  }

  @Test
  void slowStartLowersTheConcurrency() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 20_000, true, 5), START);
    for (int i = 0; i < 12; i++) {
      host.read(request(host, "r" + i, COMMIT));
    }
    host.passUntil(START + SECOND / 2);
    assertEquals(
        2,
        host.count("start"),
        "idle cores do not raise the limit above the ceiling of slow start");
    RecordingHost warm = host();
    for (int i = 0; i < 12; i++) {
      warm.read(request(warm, "r" + i, COMMIT));
    }
    warm.passUntil(START + SECOND / 2);
    assertTrue(warm.count("start") > 2);
  }

  @Test
  void theFreeValueFollowsTheRejectedShare() {
    RecordingHost host = host();
    host.gauges(1.0, 3.0);
    for (int i = 0; i < 100; i++) {
      host.read(request(host, "r" + i, SAVE));
      host.passUntil(host.now() + 10_000);
    }
    assertTrue(host.actions.stream().anyMatch(action -> action.startsWith("say 0.")));
  }

  /** A server short of processor time must not take its own lateness for the cost of the work. */
  @Test
  void usesTheMeasuredDurationOfARunWhoseEndWasReportedLate() {
    for (long told : new long[] {SECOND / 10, 0}) {
      RecordingHost host = host();
      host.gauges(0.5, 1);
      for (int i = 0; i < 16; i++) {
        host.read(request(host, "late" + i, SAVE));
        host.passUntil(host.now() + SECOND * 9 / 10);
        host.finish("late" + i, RunOutcome.SUCCEEDED, told);
      }
      host.gauges(1, 2);
      host.passUntil(host.now() + SECOND / 10);
      host.read(request(host, "next", SAVE, null, SECOND * 6 / 10));
      assertEquals(told > 0, host.did("start next"), "told " + told);
    }
  }

  private static RecordingHost readsBehindEachOther(double busy) {
    RecordingHost host = host();
    host.gauges(busy, 2);
    host.passUntil(START + 8 * SECOND);
    for (int i = 0; i < 40; i++) {
      host.read(request(host, "late" + i, READ));
    }
    return host;
  }

  /** On busy cores a late answer must not take the place of one within its latency objective. */
  @Test
  void runsForLateAnswersOnlyOnIdleCores() {
    assertTrue(
        readsBehindEachOther(1).count("refuse") >= 20,
        "2 s of work on two cores, an objective of 1 s");
    assertEquals(0, readsBehindEachOther(0.3).count("refuse"));
  }

  @Test
  void sameEventsLeadToTheSameActions() {
    assertEquals(script(), script());
  }

  private static List<String> script() {
    RecordingHost host = new RecordingHost(settings(StopMode.SUSPEND, 2_000, true, 0.5), START);
    for (int i = 0; i < 60; i++) {
      host.read(request(host, "s" + i, i % 3));
      host.passUntil(host.now() + 30_000);
      if (host.did("start s" + (i / 2)) && !host.answered("s" + (i / 2)) && i % 2 == 0) {
        host.finish("s" + (i / 2), RunOutcome.SUCCEEDED);
      }
    }
    host.passUntil(host.now() + 6 * SECOND);
    return host.actions;
  }

  @Test
  void closesIdleConnectionsWhereCallersReuseThemTooSeldom() {
    RecordingHost many =
        new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5, 1_000), START);
    many.passUntil(START + SECOND);
    assertTrue(
        many.did("trim 10000"), "a table full of idle connections leaves no room for others");
    RecordingHost few = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5, 10), START);
    few.passUntil(START + SECOND);
    assertEquals(0, few.count("trim"), "few callers use theirs again");
  }

  @Test
  void attemptsUnlikelyRunsOnlyOnIdleCores() {
    for (double busy : new double[] {0, 1}) {
      RecordingHost host = host();
      host.gauges(busy, 0);
      host.passUntil(START + 10 * SECOND);
      host.read(
          new Request(
              "large",
              SAVE,
              0,
              SECOND * 6 / 5,
              1_000,
              null,
              10,
              null,
              0.5,
              host.now() + 3 * SECOND,
              true));
      assertEquals(
          busy == 0, host.did("start large"), "expected to miss its objective, cores busy " + busy);
    }
  }

  /** A class that is rejected makes no calls: the learned call time must fade without them. */
  @Test
  void admitsCallingClassesAgainAfterSlowCalls() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0), START);
    for (int i = 0; i < 12; i++) {
      String id = "slow" + i;
      host.read(request(host, id, READ, null, 60 * SECOND));
      if (host.did("start " + id)) {
        host.atCall(id);
        host.passUntil(host.now() + 3 * SECOND);
        host.callEnded(id, RunOutcome.SUCCEEDED);
        host.finish(id, RunOutcome.SUCCEEDED);
      }
    }
    host.read(request(host, "late", READ));
    assertTrue(host.did("refuse late"), "a call takes as long as its caller waits");
    host.passUntil(host.now() + 10 * SECOND);
    host.read(request(host, "again", READ));
    assertTrue(host.did("start again"));
  }

  @Test
  void aFailingDependencyHoldsBackOnlyTheClassesThatCallIt() {
    RecordingHost host = host();
    for (int i = 0; i < 8; i++) {
      String id = "call" + i;
      host.read(request(host, id, COMMIT));
      if (!host.answered(id)) {
        host.atCall(id);
        host.callEnded(id, RunOutcome.FAILED);
        host.finish(id, RunOutcome.STOPPED);
      }
    }
    host.read(request(host, "turn", COMMIT));
    assertTrue(host.did("refuse turn"), "its core time would be wasted");
    host.read(request(host, "draft", SAVE));
    assertTrue(host.did("start draft"), "it does not call");
    host.passUntil(host.now() + 2 * SECOND);
    host.read(request(host, "dear", COMMIT), request(host, "cheap", READ));
    assertTrue(host.did("start dear"), "a try shows the recovery");
  }

  @Test
  void aStuckServerLetsItsCallersRetryElsewhere() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "early", SAVE, null, 100_000));
    host.passUntil(START + SECOND / 10);
    assertTrue(host.did("refuse early last"), "runs within their guesses tell of no trouble");
    host.passUntil(START + SECOND);
    host.read(request(host, "late", SAVE, null, 100_000));
    host.passUntil(host.now() + SECOND / 10);
    assertTrue(
        host.did("refuse late") && !host.did("refuse late last"), "another server can serve it");
  }

  @Test
  void aSlowdownIsSeenWithinSeconds() {
    RecordingHost host = host();
    host.gauges(1, 2);
    for (int i = 0; i < 30; i++) {
      host.read(request(host, "usual" + i, SAVE));
      host.passUntil(host.now() + SECOND / 10);
      host.finish("usual" + i, RunOutcome.SUCCEEDED);
    }
    host.passUntil(host.now() + 3 * SECOND);
    host.read(request(host, "before", SAVE, null, SECOND * 7 / 10));
    assertTrue(host.did("start before"));
    host.finish("before", RunOutcome.SUCCEEDED);
    for (int i = 0; i < 2; i++) {
      host.read(request(host, "left" + i, SAVE), request(host, "right" + i, SAVE));
      host.passUntil(host.now() + SECOND * 4 / 5);
      host.finish("left" + i, RunOutcome.SUCCEEDED);
      host.finish("right" + i, RunOutcome.SUCCEEDED);
    }
    host.read(request(host, "after", SAVE, null, SECOND * 7 / 10));
    assertTrue(host.did("refuse after"), "four runs show what work costs now");
  }

  /**
   * A host whose cores were slow for a while, so that what was learned leaves a run of SAVE no
   * time.
   */
  private static RecordingHost afterASlowStretch() {
    RecordingHost host = host();
    host.gauges(1, 2);
    for (int i = 0; i < 16; i += 2) {
      host.read(request(host, "slow" + i, SAVE), request(host, "slow" + (i + 1), SAVE));
      host.passUntil(host.now() + SECOND * 9 / 10);
      host.finish("slow" + i, RunOutcome.SUCCEEDED);
      host.finish("slow" + (i + 1), RunOutcome.SUCCEEDED);
    }
    return host;
  }

  /** On idle cores a rejected class must be attempted: its cost is measured no other way. */
  @Test
  void idleCoresAttemptWhatWasSlow() {
    RecordingHost host = afterASlowStretch();
    host.gauges(0.3, 0);
    host.passUntil(host.now() + SECOND / 10);
    host.read(request(host, "tried", SAVE));
    assertTrue(host.did("start tried"), "nobody else has use for the core");
  }

  /** Cores that other classes keep busy must attempt a rejected class again, too. */
  @Test
  void aRejectedClassTakesTheCostsOfOtherClassesAfterAWhile() {
    RecordingHost host = afterASlowStretch();
    String[] running = {"", ""};
    for (int i = 0; i < 50; i++) {
      if (i > 1) {
        host.finish(running[i % 2], RunOutcome.SUCCEEDED);
      }
      running[i % 2] = "quick" + i;
      host.read(request(host, running[i % 2], COMMIT));
      host.atCall(running[i % 2]);
      host.callEnded(running[i % 2], RunOutcome.SUCCEEDED);
      if (i == 4) {
        host.read(request(host, "early", SAVE));
        assertTrue(host.did("refuse early"), "it is held for slow");
      }
      host.passUntil(host.now() + SECOND / 10);
    }
    host.read(request(host, "again", SAVE));
    assertFalse(host.did("refuse again"));
  }

  /** Low priorities must not take the cores that frequent arrivals of high priority will need. */
  @Test
  void reservesCapacityForArrivalsOfHigherPriority() {
    for (boolean rush : new boolean[] {true, false}) {
      RecordingHost host = host();
      host.gauges(1, 2);
      for (int i = 0; i < 20; i++) {
        int kind = rush ? COMMIT : SAVE;
        host.read(request(host, "one" + i, kind), request(host, "two" + i, kind));
        host.passUntil(host.now() + SECOND / 10);
        for (String id : List.of("one" + i, "two" + i)) {
          if (rush) {
            host.atCall(id);
            host.callEnded(id, RunOutcome.SUCCEEDED);
          }
          host.finish(id, RunOutcome.SUCCEEDED);
        }
      }
      for (int i = 0; i < 4; i++) {
        host.read(request(host, "ahead" + i, SAVE));
      }
      host.read(request(host, "cheap", READ, null, SECOND));
      assertEquals(rush, host.did("refuse cheap"), "rush " + rush);
    }
  }

  /** Earlier rejections must not keep callers away from idle cores. */
  @Test
  void idleCoresWantAllTrafficAgainAtOnce() {
    for (boolean idle : new boolean[] {true, false}) {
      RecordingHost host = afterASlowStretch();
      for (int i = 0; i < 20; i++) {
        host.read(request(host, "refused" + i, SAVE, null, SECOND * 9 / 10));
        host.passUntil(host.now() + SECOND / 100);
      }
      host.gauges(idle ? 0.3 : 1, 0);
      host.passUntil(host.now() + SECOND);
      List<String> says =
          host.actions.stream().filter(action -> action.startsWith("say ")).toList();
      assertEquals(idle, says.get(says.size() - 1).equals("say 1.0"), says::toString);
    }
  }

  @Test
  void aHangingDependencyNeverHoldsMoreThanTheQuota() {
    double share = 0.6;
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, share), START);
    long held = 0;
    long calls = 0;
    for (int i = 0; host.now() < START + 5 * SECOND; i++) {
      String id = "read" + i;
      host.read(request(host, id, READ));
      if (host.did("start " + id)) {
        host.atCall(id);
      }
      if (host.count("call") > calls) {
        calls = host.count("call");
        long began = host.now();
        host.passUntil(Math.min(host.lastCallTimeout(), START + 5 * SECOND));
        host.callEnded(id, RunOutcome.TIMED_OUT);
        held += host.now() - began + 200_000;
      }
      host.passUntil(host.now() + SECOND / 10);
    }
    assertTrue(calls >= 2, "it goes on trying");
    assertTrue(held <= share * 5 * SECOND, "held for " + held);
  }

  @Test
  void aSlowDependencyGetsTheCallsOfTheHighestPriority() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.25), START);
    host.read(request(host, "slow", READ));
    host.atCall("slow");
    host.passUntil(host.now() + SECOND / 2);
    host.callEnded("slow", RunOutcome.SUCCEEDED);
    host.finish("slow", RunOutcome.SUCCEEDED);
    host.read(request(host, "cheap", READ));
    assertTrue(host.did("refuse cheap"), "its call cannot be made in time: no core time is spent");
    host.read(request(host, "free", SAVE));
    assertTrue(host.did("start free"), "it does not call");
    host.finish("free", RunOutcome.SUCCEEDED);
    host.passUntil(host.now() + 8 * SECOND);
    host.read(request(host, "less", READ), request(host, "more", COMMIT));
    assertTrue(host.did("start less") && host.did("start more"), "call time has flowed in");
    host.atCall("less");
    host.atCall("more");
    assertFalse(host.did("call more"), "one at a time");
    host.passUntil(host.now() + SECOND / 4);
    host.callEnded("less", RunOutcome.FAILED);
    host.passUntil(host.now() + 2 * SECOND);
    assertTrue(host.did("call more"), "worth goes first");
    assertEquals(
        1, host.actions.stream().filter("call less"::equals).count(), "what failed once waits");
  }

  @Test
  void rejectedRequestsDoNotUseUpATenantsQuota() {
    RecordingHost host = host();
    fillCores(host);
    for (int i = 0; i < 400; i++) {
      host.read(request(host, "storm" + i, READ));
    }
    assertTrue(host.count("refuse") > 300, "all but a few are turned away");
    host.passUntil(host.now() + SECOND / 10);
    host.read(request(host, "dear", COMMIT));
    host.finish("busy1", RunOutcome.SUCCEEDED);
    assertTrue(
        host.did("start dear"),
        "within its share, by what was admitted: the dear class goes first");
  }

  @Test
  void longDeadlinesDoNotTightenTheLadder() {
    for (boolean patient : new boolean[] {true, false}) {
      Settings base = settings(StopMode.ABORT, 4_000, false, 5);
      List<RequestClass> classes = new ArrayList<>(base.classes());
      RequestClass read = classes.get(READ);
      classes.set(
          READ,
          new RequestClass(
              "read",
              3 * SECOND,
              (patient ? 40 : 4) * SECOND,
              read.priorityWeight(),
              0.2,
              Idempotency.ALWAYS,
              0,
              true,
              0));
      RecordingHost host = new RecordingHost(withClasses(base, classes), START);
      host.gauges(1, 3);
      for (int i = 0; i < 30; i++) {
        host.read(
            new Request(
                "held" + i,
                READ,
                0,
                400_000,
                1_000,
                null,
                10,
                null,
                0.5,
                host.now() + 9 * SECOND,
                false));
      }
      host.passUntil(START + SECOND * 3 / 2);
      host.read(
          new Request(
              "huge",
              SAVE,
              0,
              6 * SECOND,
              1_000,
              null,
              10,
              null,
              0.5,
              host.now() + 3 * SECOND,
              false));
      assertEquals(
          !patient, host.actions.contains("refuse huge last away"), "advice comes with the ladder");
    }
  }

  @Test
  void runsThatReturnFromCallsStayWithinTheConcurrency() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 200_000, false, 0.5), START);
    for (int i = 0; i < 40; i++) {
      host.read(request(host, "read" + i, READ));
      if (host.did("start read" + i)) {
        host.atCall("read" + i);
      }
    }
    for (int round = 0; round < 40; round++) {
      for (String id : host.callsOut()) {
        host.callEnded(id, RunOutcome.SUCCEEDED);
      }
      host.passUntil(host.now() + SECOND / 20);
    }
    assertTrue(host.count("call") > 2, "the host asserts the crowd");
  }

  @Test
  void waitingRepeatsNeverFillTheMemory() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 400, false, 5), START);
    host.read(request(host, "turn", COMMIT));
    for (int i = 0; i < 60; i++) {
      host.read(request(host, "again" + i, COMMIT, "turn", 3 * SECOND));
    }
    assertTrue(host.count("replay") > 2 && host.count("fail") > 20, "the host asserts the memory");
  }

  @Test
  void aCallOfACancelledRequestStillCounts() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.5), START);
    host.read(request(host, "left", READ));
    host.atCall("left");
    host.cancel("left");
    host.finish("left", RunOutcome.STOPPED);
    host.read(request(host, "next", READ));
    host.atCall("next");
    assertFalse(host.did("call next"), "the first is given up, not over");
    host.passUntil(host.now() + SECOND / 2);
    assertTrue(host.did("call next"));
  }

  /** The dependency may still work on a call whose connection was lost. */
  @Test
  void aCallOnALostConnectionStillCounts() {
    for (RunOutcome end : List.of(RunOutcome.CONNECTION_LOST, RunOutcome.REJECTED)) {
      RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.5), START);
      host.read(request(host, "one", READ));
      host.atCall("one");
      host.callEnded("one", end);
      host.read(request(host, "next", READ));
      host.atCall("next");
      assertEquals(end == RunOutcome.REJECTED, host.did("call next"), "after " + end);
      host.passUntil(host.now() + SECOND / 2);
      assertTrue(host.count("call") > 1, "once it can be over, calls are made again");
    }
  }

  @Test
  void anAbandonedRequestIsAnsweredAtOnce() {
    Settings base = settings(StopMode.ABORT, 20_000, false, 0.5);
    List<RequestClass> classes =
        base.classes().stream()
            .map(
                kind ->
                    new RequestClass(
                        kind.name(),
                        SECOND,
                        4 * SECOND,
                        kind.priorityWeight(),
                        0,
                        kind.idempotency(),
                        kind.idempotencyWindow(),
                        kind.callsDependency(),
                        0))
            .toList();
    RecordingHost host = new RecordingHost(withClasses(base, classes), START);
    host.gauges(1, 3);
    host.read(request(host, "turn", COMMIT), request(host, "load", READ));
    host.read(request(host, "again", COMMIT, "turn", 3 * SECOND));
    host.atCall("turn");
    host.atCall("load");
    host.read(
        request(host, "busy1", SAVE), request(host, "busy2", SAVE), request(host, "held", SAVE));
    host.passUntil(START + SECOND * 6 / 5);
    for (String id : List.of("load", "again", "held")) {
      assertTrue(host.answered(id), id + " can earn nothing any longer");
    }
    assertFalse(host.answered("busy1"), "what runs is not given up: it is answered when it ends");
  }

  @Test
  void leavesACallOutWhereADegradedAnswerEarnsMore() {
    Settings base = settings(StopMode.NONE, 20_000, false, 0.5);
    List<RequestClass> classes =
        base.classes().stream()
            .map(
                kind ->
                    new RequestClass(
                        kind.name(),
                        SECOND,
                        4 * SECOND,
                        kind.priorityWeight(),
                        0,
                        kind.idempotency(),
                        kind.idempotencyWindow(),
                        kind.callsDependency(),
                        kind.idempotency() == Idempotency.WITH_KEY ? 0 : 0.5))
            .toList();
    RecordingHost host = new RecordingHost(withClasses(base, classes), START);
    host.gauges(1, 3);
    host.read(request(host, "turn", COMMIT), request(host, "load", READ));
    host.atCall("turn");
    host.atCall("load");
    assertTrue(host.did("call turn") && !host.did("call load"), "one call at a time");
    host.passUntil(START + SECOND / 2);
    assertFalse(host.did("skip load"), "there is time for the full answer");
    host.passUntil(START + SECOND);
    assertTrue(host.did("skip load"), "the poorer one still comes in time");
    assertFalse(host.did("skip turn"));
  }

  @Test
  void keepsIdleConnectionsInARetryStorm() {
    RecordingHost host =
        new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5, 10_000), START);
    host.gauges(1, 8);
    host.passUntil(START + SECOND);
    assertTrue(host.did("trim 10000"));
    for (int i = 0; i < 300; i++) {
      host.read(request(host, "one" + i, SAVE), request(host, "two" + i, SAVE));
      host.passUntil(host.now() + 10_000);
    }
    assertTrue(host.did("trim 30000000"), "nearly all is refused: each handshake is lost");
    host.gauges(0, 0);
    host.passUntil(host.now() + 4 * SECOND);
    host.consequences();
    host.passUntil(host.now() + 40 * SECOND);
    for (int i = 0; i < 40; i++) {
      host.read(request(host, "calm" + i, SAVE));
      if (!host.answered("calm" + i)) {
        host.finish("calm" + i, RunOutcome.SUCCEEDED);
      }
      host.passUntil(host.now() + SECOND / 2);
    }
    assertTrue(
        host.actions.lastIndexOf("trim 10000") > host.actions.lastIndexOf("trim 30000000"),
        "and over");
  }

  @Test
  void aShutdownAnswersWhatIsDueAfterTheKill() {
    for (StopMode stopMode : StopMode.values()) {
      RecordingHost host = new RecordingHost(settings(stopMode, 20_000, false, 5), START);
      host.gauges(1, 3);
      fillCores(host);
      host.read(request(host, "held", READ, null, 0), request(host, "turn", COMMIT, null, 0));
      host.drain(START + SECOND);
      host.passUntil(START + SECOND);
      for (String id : List.of("busy1", "busy2", "held", "turn")) {
        assertTrue(host.answered(id), id + " is answered before the process is stopped");
      }
    }
  }

  private static Request of(RecordingHost host, String id, int tenant) {
    return new Request(
        id, SAVE, tenant, 100_000, 1_000, null, 10, null, 0.5, host.now() + 3 * SECOND, true);
  }

  /** A tenant of new settings must not start with the debt of another at its index. */
  @Test
  void aNewTenantAtTheSameIndexDoesNotInheritADebt() {
    for (boolean same : new boolean[] {true, false}) {
      RecordingHost host = host();
      for (int i = 0; i < 400; i++) {
        host.read(of(host, "spent" + i, 0));
        host.finish("spent" + i, RunOutcome.SUCCEEDED);
      }
      Settings base = host.settings();
      host.changeSettings(
          SettingsVariants.parts(
              base,
              base.classes(),
              List.of(new Tenant(same ? "one" : "three", 100), new Tenant("two", 100))));
      host.read(of(host, "busy1", 1), of(host, "busy2", 1));
      host.read(of(host, "first", 0), of(host, "second", 1));
      host.finish("busy1", RunOutcome.SUCCEEDED);
      assertTrue(
          host.did(same ? "start second" : "start first"), "a debt is its maker's, and only its");
    }
  }

  /** Callers must not read an old value in a new meaning. */
  @Test
  void publishesTheFreeValueAgainInANewMeaning() {
    RecordingHost host = host();
    for (FreeValue meaning :
        List.of(
            FreeValue.SHARE, FreeValue.LEVEL, FreeValue.WINDOW, FreeValue.SHARE, FreeValue.NONE)) {
      host.changeSettings(SettingsVariants.meaning(host.settings(), meaning));
      int before = host.actions.size();
      host.passUntil(host.now() + SECOND / 5);
      List<String> says =
          host.actions.subList(before, host.actions.size()).stream()
              .filter(action -> action.startsWith("say "))
              .toList();
      assertEquals(
          meaning == FreeValue.SHARE
              ? List.of("say 1.0")
              : meaning == FreeValue.LEVEL ? List.of("say 0.0") : List.of(),
          says,
          () -> "as " + meaning);
    }
  }

  /** Capacity must not be reserved for a new class by the arrivals of another at its index. */
  @Test
  void aNewClassAtTheSameIndexDoesNotInheritArrivals() {
    for (boolean same : new boolean[] {true, false}) {
      RecordingHost host = host();
      host.gauges(0.9, 2);
      fillCores(host);
      host.read(
          request(host, "held1", SAVE), request(host, "held2", SAVE), request(host, "held3", SAVE));
      host.passUntil(START + SECOND / 5);
      for (int i = 0; i < 30; i++) {
        host.read(request(host, "came" + i, READ));
      }
      List<RequestClass> classes = new ArrayList<>(host.settings().classes());
      classes.set(
          READ,
          new RequestClass(
              same ? "read" : "other",
              SECOND,
              4 * SECOND,
              100,
              0.2,
              Idempotency.ALWAYS,
              0,
              true,
              0));
      host.changeSettings(withClasses(host.settings(), classes));
      host.read(request(host, "next", SAVE));
      assertEquals(
          same, host.answered("next"), "room is kept for what came of this class, and of no other");
    }
  }
}
