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
 * Drives the controller with scripted events; the host asserts the invariants on each event and
 * action.
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
    return SettingsVariants.withClassesAndTenants(base, classes, base.tenants());
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
    assertTrue(host.hasAction("start busy1") && host.hasAction("start busy2"));
  }

  @Test
  void runsOneRequestPerCoreAndHoldsOtherRequests() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "third", SAVE));
    assertFalse(host.hasAction("start third"));
    assertFalse(host.answered("third"));
    host.finish("busy1", RunOutcome.SUCCEEDED);
    assertTrue(host.hasAction("start third"));
  }

  @Test
  void runsHighestPriorityFirst() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "low", READ), request(host, "high", COMMIT));
    host.finish("busy1", RunOutcome.SUCCEEDED);
    assertTrue(host.hasAction("start high"));
    assertFalse(host.hasAction("start low"));
  }

  @Test
  void answersEveryRequestBeforeItIsDue() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ), request(host, "commit", COMMIT));
    host.advanceTo(START + 6 * SECOND);
    for (String id : List.of("busy1", "busy2", "held", "commit")) {
      assertTrue(host.answered(id), id);
    }
  }

  @Test
  void usesClassDeadlineWithoutCallerDeadline() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ, null, 0));
    host.advanceTo(START + 6 * SECOND);
    assertTrue(host.answered("held"));
  }

  @Test
  void rejectsRequestReadAfterItsDueTimeAtOnce() {
    RecordingHost host = host();
    host.read(request(host, "late", READ, null, -SECOND));
    assertTrue(host.hasAction("reject late"));
  }

  @Test
  void stopsRunDirectlyAfterFailingItsRequest() {
    RecordingHost host = host();
    fillCores(host);
    host.advanceTo(START + 3 * SECOND);
    int failed = host.actions.indexOf("fail busy1");
    assertTrue(failed >= 0);
    assertEquals("stop busy1", host.actions.get(failed + 1));
  }

  @Test
  void stopsNoRunIfRunsCannotBeStopped() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 20_000, false, 5), START);
    host.gauges(1.0, 3.0);
    fillCores(host);
    host.read(request(host, "next", SAVE));
    host.advanceTo(START + 6 * SECOND);
    assertEquals(0, host.count("stop"));
    assertFalse(host.hasAction("start next"), "the failed runs still hold both cores");
  }

  @Test
  void remembersIdempotencyKeyBeforeRunStarts() {
    RecordingHost host = host();
    host.read(request(host, "commit", COMMIT));
    int remembered = host.actions.indexOf("remember commit");
    assertTrue(remembered >= 0 && remembered < host.actions.indexOf("start commit"));
  }

  @Test
  void repeatWaitsForResultOfItsOriginal() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "commit", COMMIT));
    host.read(request(host, "again", COMMIT, "commit", 3 * SECOND));
    assertTrue(host.hasAction("replay again"), "also while the original is held");
    host.finish("busy1", RunOutcome.SUCCEEDED);
    host.finish("commit", RunOutcome.SUCCEEDED);
    host.read(request(host, "third", COMMIT, "commit", 3 * SECOND));
    assertTrue(host.hasAction("replay third"));
  }

  @Test
  void failsRepeatOfRequestThatRanInsteadOfRejectingIt() {
    RecordingHost host = host();
    host.read(request(host, "commit", COMMIT));
    host.finish("commit", RunOutcome.SUCCEEDED);
    host.read(request(host, "again", COMMIT, "commit", -SECOND));
    assertTrue(host.hasAction("fail again"));
  }

  @Test
  void forgetsKeyOfRejectedRequest() {
    RecordingHost host = host();
    host.gauges(1.0, 3.0);
    fillCores(host);
    host.read(request(host, "commit", COMMIT));
    host.advanceTo(START + 4 * SECOND);
    assertTrue(host.hasAction("forget commit") && !host.hasAction("start commit"));
  }

  @Test
  void rejectsRequestsWhoseKeysExceedMemory() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 6 * KEY_KB, false, 5), START);
    for (int i = 0; i < 10; i++) {
      host.read(request(host, "commit" + i, COMMIT));
      if (!host.answered("commit" + i)) {
        host.finish("commit" + i, RunOutcome.SUCCEEDED);
      }
    }
    assertTrue(host.count("reject") > 0);
    assertTrue(host.count("remember") > 0);
  }

  @Test
  void neverPlansMoreMemoryThanAvailable() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 400, false, 5), START);
    for (int i = 0; i < 30; i++) {
      host.read(request(host, "read" + i, READ));
    }
    assertTrue(host.count("reject") > 0);
    assertTrue(host.count("start") > 0);
  }

  @Test
  void retriesCallOnlyIfItProvablyHadNoEffect() {
    RecordingHost host = host();
    host.read(request(host, "commit", COMMIT), request(host, "load", READ));
    host.reachCall("commit");
    host.reachCall("load");
    host.callEnded("commit", RunOutcome.TIMED_OUT);
    assertTrue(host.hasAction("fail commit"));
    host.callEnded("load", RunOutcome.REJECTED);
    assertEquals(1, host.actions.stream().filter("call load"::equals).count(), "not at once");
    host.advanceTo(host.now() + SECOND / 2);
    assertEquals(2, host.actions.stream().filter("call load"::equals).count());
  }

  @Test
  void keepsCallsWithinDependencyQuota() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.5), START);
    host.read(request(host, "first", READ), request(host, "second", READ));
    host.reachCall("first");
    host.reachCall("second");
    assertEquals(1, host.count("call"));
    host.callEnded("first", RunOutcome.SUCCEEDED);
    host.finish("first", RunOutcome.SUCCEEDED);
    host.advanceTo(host.now() + SECOND);
    assertTrue(host.hasAction("call second"));
  }

  @Test
  void gracefulShutdownAnswersAllRequestsAndRunsNoneAfterGracePeriod() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ));
    host.drain(START + 3 * SECOND);
    assertTrue(host.hasAction("health false"));
    host.advanceTo(START + 2_500_000);
    host.read(request(host, "late", READ));
    assertTrue(host.hasAction("reject late"));
    host.advanceTo(START + 3 * SECOND);
    for (String id : List.of("busy1", "busy2", "held")) {
      assertTrue(host.answered(id), id);
    }
  }

  @Test
  void cancelledRequestGetsNoAnswer() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "held", READ));
    host.cancel("held");
    host.cancel("busy1");
    assertTrue(host.hasAction("stop busy1"));
    host.advanceTo(START + 6 * SECOND);
    assertFalse(
        host.hasAction("fail held")
            || host.hasAction("reject held")
            || host.hasAction("fail busy1"));
  }

  @Test
  void overloadTightensLadderAndRejectsOnRead() {
    RecordingHost host = host();
    host.gauges(1.0, 7.0);
    int rejectedOnRead = 0;
    for (int i = 0; i < 400; i++) {
      String id = "r" + i;
      host.read(request(host, id, i % 2));
      rejectedOnRead += host.hasAction("reject " + id) ? 1 : 0;
      host.advanceTo(host.now() + 20_000);
    }
    assertTrue(rejectedOnRead > 40, "rejected on read: " + rejectedOnRead);
  }

  @Test
  void clockGapIsNoOverload() {
    RecordingHost host = host();
    host.gauges(1.0, 7.0);
    for (int i = 0; i < 20; i++) {
      host.jump(SECOND / 2);
      host.advanceTo(host.now() + 1);
    }
    host.read(request(host, "after", READ));
    assertTrue(host.hasAction("start after"));
    assertEquals(0, host.count("reject"));
  }

  @Test
  void serverWithFailingRunsAdmitsOnlyFewRequests() {
    RecordingHost host = host();
    for (int i = 0; i < 12; i++) {
      host.read(request(host, "f" + i, SAVE));
      if (!host.answered("f" + i)) {
        host.finish("f" + i, RunOutcome.FAILED);
      }
    }
    long startsBefore = host.count("start");
    for (int i = 0; i < 20; i++) {
      host.read(request(host, "g" + i, SAVE));
    }
    assertTrue(host.count("start") - startsBefore <= 1);
    host.advanceTo(host.now() + SECOND);
    host.read(request(host, "probe", SAVE));
    assertTrue(host.hasAction("start probe"), "a few attempts are made");
  }

  @Test
  void rejectsRequestThatCannotMeetItsDeadlineBehindHigherPriorities() {
    RecordingHost host = host();
    host.gauges(1.0, 3.0);
    fillCores(host);
    for (int i = 0; i < 20; i++) {
      host.read(request(host, "high" + i, COMMIT));
    }
    host.read(request(host, "low", SAVE));
    assertTrue(
        host.hasAction("reject low final"), "the caller is advised not to retry at another server");
    assertFalse(host.answered("high0"));
  }

  @Test
  void slowStartLowersConcurrency() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 20_000, true, 5), START);
    for (int i = 0; i < 12; i++) {
      host.read(request(host, "r" + i, COMMIT));
    }
    host.advanceTo(START + SECOND / 2);
    assertEquals(
        2,
        host.count("start"),
        "idle cores do not raise the limit above the ceiling of slow start");
    RecordingHost warmHost = host();
    for (int i = 0; i < 12; i++) {
      warmHost.read(request(warmHost, "r" + i, COMMIT));
    }
    warmHost.advanceTo(START + SECOND / 2);
    assertTrue(warmHost.count("start") > 2);
  }

  @Test
  void freeValueFollowsRejectedShare() {
    RecordingHost host = host();
    host.gauges(1.0, 3.0);
    for (int i = 0; i < 100; i++) {
      host.read(request(host, "r" + i, SAVE));
      host.advanceTo(host.now() + 10_000);
    }
    assertTrue(host.actions.stream().anyMatch(action -> action.startsWith("publish 0.")));
  }

  /**
   * The cost of work must not include the delay with which a server short of processor time reports
   * the end of a run.
   */
  @Test
  void usesMeasuredDurationOfRunWhoseEndWasReportedLate() {
    for (long reportedDuration : new long[] {SECOND / 10, 0}) {
      RecordingHost host = host();
      host.gauges(0.5, 1);
      for (int i = 0; i < 16; i++) {
        host.read(request(host, "late" + i, SAVE));
        host.advanceTo(host.now() + SECOND * 9 / 10);
        host.finish("late" + i, RunOutcome.SUCCEEDED, reportedDuration);
      }
      host.gauges(1, 2);
      host.advanceTo(host.now() + SECOND / 10);
      host.read(request(host, "next", SAVE, null, SECOND * 6 / 10));
      assertEquals(
          reportedDuration > 0,
          host.hasAction("start next"),
          "reported duration: " + reportedDuration);
    }
  }

  private static RecordingHost hostWithQueuedReads(double utilization) {
    RecordingHost host = host();
    host.gauges(utilization, 2);
    host.advanceTo(START + 8 * SECOND);
    for (int i = 0; i < 40; i++) {
      host.read(request(host, "late" + i, READ));
    }
    return host;
  }

  /** On busy cores a late answer must not displace one within its latency objective. */
  @Test
  void runsForLateAnswersOnlyOnIdleCores() {
    assertTrue(
        hostWithQueuedReads(1).count("reject") >= 20,
        "4 s of work takes two cores 2 s; the objective is 1 s");
    assertEquals(0, hostWithQueuedReads(0.3).count("reject"));
  }

  @Test
  void sameEventsLeadToTheSameActions() {
    assertEquals(actionsOfScript(), actionsOfScript());
  }

  private static List<String> actionsOfScript() {
    RecordingHost host = new RecordingHost(settings(StopMode.SUSPEND, 2_000, true, 0.5), START);
    for (int i = 0; i < 60; i++) {
      host.read(request(host, "s" + i, i % 3));
      host.advanceTo(host.now() + 30_000);
      if (host.hasAction("start s" + (i / 2)) && !host.answered("s" + (i / 2)) && i % 2 == 0) {
        host.finish("s" + (i / 2), RunOutcome.SUCCEEDED);
      }
    }
    host.advanceTo(host.now() + 6 * SECOND);
    return host.actions;
  }

  @Test
  void closesIdleConnectionsThatCallersRarelyReuse() {
    RecordingHost hostWithManyCallers =
        new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5, 1_000), START);
    hostWithManyCallers.advanceTo(START + SECOND);
    assertTrue(
        hostWithManyCallers.hasAction("idleTimeout 10000"),
        "a table full of idle connections leaves no room for others");
    RecordingHost hostWithFewCallers =
        new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5, 10), START);
    hostWithFewCallers.advanceTo(START + SECOND);
    assertEquals(0, hostWithFewCallers.count("idleTimeout"), "few callers reuse their connections");
  }

  @Test
  void attemptsRunsExpectedToMissTheirObjectiveOnlyOnIdleCores() {
    for (double utilization : new double[] {0, 1}) {
      RecordingHost host = host();
      host.gauges(utilization, 0);
      host.advanceTo(START + 10 * SECOND);
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
          utilization == 0,
          host.hasAction("start large"),
          "expected to miss its objective at utilization " + utilization);
    }
  }

  /** A rejected class makes no calls, so the average call duration must fade without them. */
  @Test
  void admitsCallingClassesAgainAfterSlowCalls() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0), START);
    for (int i = 0; i < 12; i++) {
      String id = "slow" + i;
      host.read(request(host, id, READ, null, 60 * SECOND));
      if (host.hasAction("start " + id)) {
        host.reachCall(id);
        host.advanceTo(host.now() + 3 * SECOND);
        host.callEnded(id, RunOutcome.SUCCEEDED);
        host.finish(id, RunOutcome.SUCCEEDED);
      }
    }
    host.read(request(host, "late", READ));
    assertTrue(
        host.hasAction("reject late"), "a call is expected to take as long as the caller waits");
    host.advanceTo(host.now() + 10 * SECOND);
    host.read(request(host, "again", READ));
    assertTrue(host.hasAction("start again"));
  }

  @Test
  void failingDependencyRejectsOnlyClassesThatCallIt() {
    RecordingHost host = host();
    for (int i = 0; i < 8; i++) {
      String id = "call" + i;
      host.read(request(host, id, COMMIT));
      if (!host.answered(id)) {
        host.reachCall(id);
        host.callEnded(id, RunOutcome.FAILED);
        host.finish(id, RunOutcome.STOPPED);
      }
    }
    host.read(request(host, "commit", COMMIT));
    assertTrue(host.hasAction("reject commit"), "the core time of its run would be wasted");
    host.read(request(host, "draft", SAVE));
    assertTrue(host.hasAction("start draft"), "it does not call");
    host.advanceTo(host.now() + 2 * SECOND);
    host.read(request(host, "high", COMMIT), request(host, "low", READ));
    assertTrue(host.hasAction("start high"), "an attempt detects the recovery");
  }

  @Test
  void stuckServerLetsCallersRetryAtAnotherServer() {
    RecordingHost host = host();
    fillCores(host);
    host.read(request(host, "early", SAVE, null, 100_000));
    host.advanceTo(START + SECOND / 10);
    assertTrue(
        host.hasAction("reject early final"),
        "runs within their expected core time are no sign of a fault");
    host.advanceTo(START + SECOND);
    host.read(request(host, "late", SAVE, null, 100_000));
    host.advanceTo(host.now() + SECOND / 10);
    assertTrue(
        host.hasAction("reject late") && !host.hasAction("reject late final"),
        "another server can serve it");
  }

  @Test
  void detectsSlowdownWithinSeconds() {
    RecordingHost host = host();
    host.gauges(1, 2);
    for (int i = 0; i < 30; i++) {
      host.read(request(host, "usual" + i, SAVE));
      host.advanceTo(host.now() + SECOND / 10);
      host.finish("usual" + i, RunOutcome.SUCCEEDED);
    }
    host.advanceTo(host.now() + 3 * SECOND);
    host.read(request(host, "before", SAVE, null, SECOND * 7 / 10));
    assertTrue(host.hasAction("start before"));
    host.finish("before", RunOutcome.SUCCEEDED);
    for (int i = 0; i < 2; i++) {
      host.read(request(host, "left" + i, SAVE), request(host, "right" + i, SAVE));
      host.advanceTo(host.now() + SECOND * 4 / 5);
      host.finish("left" + i, RunOutcome.SUCCEEDED);
      host.finish("right" + i, RunOutcome.SUCCEEDED);
    }
    host.read(request(host, "after", SAVE, null, SECOND * 7 / 10));
    assertTrue(host.hasAction("reject after"), "four runs show the current cost of work");
  }

  /**
   * Returns a host whose cores were slow for a while, so that by the averages a run of SAVE has no
   * time left.
   */
  private static RecordingHost hostAfterSlowRuns() {
    RecordingHost host = host();
    host.gauges(1, 2);
    for (int i = 0; i < 16; i += 2) {
      host.read(request(host, "slow" + i, SAVE), request(host, "slow" + (i + 1), SAVE));
      host.advanceTo(host.now() + SECOND * 9 / 10);
      host.finish("slow" + i, RunOutcome.SUCCEEDED);
      host.finish("slow" + (i + 1), RunOutcome.SUCCEEDED);
    }
    return host;
  }

  /** A rejected class must be attempted on idle cores, as its cost cannot be measured otherwise. */
  @Test
  void attemptsSlowClassOnIdleCores() {
    RecordingHost host = hostAfterSlowRuns();
    host.gauges(0.3, 0);
    host.advanceTo(host.now() + SECOND / 10);
    host.read(request(host, "tried", SAVE));
    assertTrue(host.hasAction("start tried"), "no other request needs the core");
  }

  /** A rejected class must be attempted again also while other classes keep the cores busy. */
  @Test
  void rejectedClassEventuallyTakesCostsOfOtherClasses() {
    RecordingHost host = hostAfterSlowRuns();
    String[] running = {"", ""};
    for (int i = 0; i < 50; i++) {
      if (i > 1) {
        host.finish(running[i % 2], RunOutcome.SUCCEEDED);
      }
      running[i % 2] = "quick" + i;
      host.read(request(host, running[i % 2], COMMIT));
      host.reachCall(running[i % 2]);
      host.callEnded(running[i % 2], RunOutcome.SUCCEEDED);
      if (i == 4) {
        host.read(request(host, "early", SAVE));
        assertTrue(host.hasAction("reject early"), "the class is still expected to be slow");
      }
      host.advanceTo(host.now() + SECOND / 10);
    }
    host.read(request(host, "again", SAVE));
    assertFalse(host.hasAction("reject again"));
  }

  /** Low priorities must not take the cores that frequent arrivals of high priority will need. */
  @Test
  void reservesCapacityForArrivalsOfHigherPriority() {
    for (boolean highPriorityTraffic : new boolean[] {true, false}) {
      RecordingHost host = host();
      host.gauges(1, 2);
      for (int i = 0; i < 20; i++) {
        int classIndex = highPriorityTraffic ? COMMIT : SAVE;
        host.read(request(host, "first" + i, classIndex), request(host, "second" + i, classIndex));
        host.advanceTo(host.now() + SECOND / 10);
        for (String id : List.of("first" + i, "second" + i)) {
          if (highPriorityTraffic) {
            host.reachCall(id);
            host.callEnded(id, RunOutcome.SUCCEEDED);
          }
          host.finish(id, RunOutcome.SUCCEEDED);
        }
      }
      for (int i = 0; i < 4; i++) {
        host.read(request(host, "ahead" + i, SAVE));
      }
      host.read(request(host, "low", READ, null, SECOND));
      assertEquals(
          highPriorityTraffic,
          host.hasAction("reject low"),
          "high-priority traffic: " + highPriorityTraffic);
    }
  }

  /** Earlier rejections must not keep callers away from idle cores. */
  @Test
  void idleCoresWantAllTrafficAgainAtOnce() {
    for (boolean idle : new boolean[] {true, false}) {
      RecordingHost host = hostAfterSlowRuns();
      for (int i = 0; i < 20; i++) {
        host.read(request(host, "rejected" + i, SAVE, null, SECOND * 9 / 10));
        host.advanceTo(host.now() + SECOND / 100);
      }
      host.gauges(idle ? 0.3 : 1, 0);
      host.advanceTo(host.now() + SECOND);
      List<String> publishedValues =
          host.actions.stream().filter(action -> action.startsWith("publish ")).toList();
      assertEquals(
          idle,
          publishedValues.get(publishedValues.size() - 1).equals("publish 1.0"),
          publishedValues::toString);
    }
  }

  @Test
  void hangingDependencyNeverExceedsQuota() {
    double quota = 0.6;
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, quota), START);
    long heldMicros = 0;
    long calls = 0;
    for (int i = 0; host.now() < START + 5 * SECOND; i++) {
      String id = "read" + i;
      host.read(request(host, id, READ));
      if (host.hasAction("start " + id)) {
        host.reachCall(id);
      }
      if (host.count("call") > calls) {
        calls = host.count("call");
        long startedAt = host.now();
        host.advanceTo(Math.min(host.lastCallAbandonedAt(), START + 5 * SECOND));
        host.callEnded(id, RunOutcome.TIMED_OUT);
        heldMicros += host.now() - startedAt + 200_000;
      }
      host.advanceTo(host.now() + SECOND / 10);
    }
    assertTrue(calls >= 2, "calls are still attempted");
    assertTrue(heldMicros <= quota * 5 * SECOND, "microseconds of calls: " + heldMicros);
  }

  @Test
  void slowDependencyGetsCallsOfHighestPriority() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.25), START);
    host.read(request(host, "slow", READ));
    host.reachCall("slow");
    host.advanceTo(host.now() + SECOND / 2);
    host.callEnded("slow", RunOutcome.SUCCEEDED);
    host.finish("slow", RunOutcome.SUCCEEDED);
    host.read(request(host, "low", READ));
    assertTrue(
        host.hasAction("reject low"),
        "its call cannot be made in time, so it must take no core time");
    host.read(request(host, "free", SAVE));
    assertTrue(host.hasAction("start free"), "it does not call");
    host.finish("free", RunOutcome.SUCCEEDED);
    host.advanceTo(host.now() + 8 * SECOND);
    host.read(request(host, "less", READ), request(host, "more", COMMIT));
    assertTrue(
        host.hasAction("start less") && host.hasAction("start more"),
        "the bucket of call time is refilled");
    host.reachCall("less");
    host.reachCall("more");
    assertFalse(host.hasAction("call more"), "only one call at a time");
    host.advanceTo(host.now() + SECOND / 4);
    host.callEnded("less", RunOutcome.FAILED);
    host.advanceTo(host.now() + 2 * SECOND);
    assertTrue(host.hasAction("call more"), "the request of higher priority makes its call first");
    assertEquals(
        1, host.actions.stream().filter("call less"::equals).count(), "the failed call waits");
  }

  @Test
  void rejectedRequestsDoNotUseUpTenantQuota() {
    RecordingHost host = host();
    fillCores(host);
    for (int i = 0; i < 400; i++) {
      host.read(request(host, "storm" + i, READ));
    }
    assertTrue(host.count("reject") > 300, "all but a few are rejected");
    host.advanceTo(host.now() + SECOND / 10);
    host.read(request(host, "high", COMMIT));
    host.finish("busy1", RunOutcome.SUCCEEDED);
    assertTrue(host.hasAction("start high"), "rejected requests do not use up the quota");
  }

  @Test
  void longDeadlinesDoNotTightenLadder() {
    for (boolean longDeadline : new boolean[] {true, false}) {
      Settings base = settings(StopMode.ABORT, 4_000, false, 5);
      List<RequestClass> classes = new ArrayList<>(base.classes());
      RequestClass read = classes.get(READ);
      classes.set(
          READ,
          new RequestClass(
              "read",
              3 * SECOND,
              (longDeadline ? 40 : 4) * SECOND,
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
      host.advanceTo(START + SECOND * 3 / 2);
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
          !longDeadline,
          host.actions.contains("reject huge final retryAfter"),
          "Retry-After is advised once the ladder has tightened");
    }
  }

  @Test
  void runsThatReturnFromCallsStayWithinConcurrencyBound() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 200_000, false, 0.5), START);
    for (int i = 0; i < 40; i++) {
      host.read(request(host, "read" + i, READ));
      if (host.hasAction("start read" + i)) {
        host.reachCall("read" + i);
      }
    }
    for (int round = 0; round < 40; round++) {
      for (String id : host.callsInFlight()) {
        host.callEnded(id, RunOutcome.SUCCEEDED);
      }
      host.advanceTo(host.now() + SECOND / 20);
    }
    // The host asserts the concurrency bound.
    assertTrue(host.count("call") > 2, "calls are made");
  }

  @Test
  void waitingRepeatsNeverFillMemory() {
    RecordingHost host = new RecordingHost(settings(StopMode.NONE, 400, false, 5), START);
    host.read(request(host, "commit", COMMIT));
    for (int i = 0; i < 60; i++) {
      host.read(request(host, "again" + i, COMMIT, "commit", 3 * SECOND));
    }
    // The host asserts the memory bound.
    assertTrue(
        host.count("replay") > 2 && host.count("fail") > 20, "some repeats wait and some fail");
  }

  @Test
  void callOfCancelledRequestCountsUntilItEnds() {
    RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.5), START);
    host.read(request(host, "left", READ));
    host.reachCall("left");
    host.cancel("left");
    host.finish("left", RunOutcome.STOPPED);
    host.read(request(host, "next", READ));
    host.reachCall("next");
    assertFalse(host.hasAction("call next"), "the first call is abandoned but has not ended");
    host.advanceTo(host.now() + SECOND / 2);
    assertTrue(host.hasAction("call next"));
  }

  /** The dependency may still work on a call whose connection was lost. */
  @Test
  void callOnLostConnectionCountsUntilItEnds() {
    for (RunOutcome outcome : List.of(RunOutcome.CONNECTION_LOST, RunOutcome.REJECTED)) {
      RecordingHost host = new RecordingHost(settings(StopMode.ABORT, 20_000, false, 0.5), START);
      host.read(request(host, "first", READ));
      host.reachCall("first");
      host.callEnded("first", outcome);
      host.read(request(host, "next", READ));
      host.reachCall("next");
      assertEquals(outcome == RunOutcome.REJECTED, host.hasAction("call next"), "after " + outcome);
      host.advanceTo(host.now() + SECOND / 2);
      assertTrue(host.count("call") > 1, "calls resume once the first one must have ended");
    }
  }

  @Test
  void answersWaitingRequestsOnceTheirAnswersEarnNothing() {
    Settings base = settings(StopMode.ABORT, 20_000, false, 0.5);
    List<RequestClass> classes =
        base.classes().stream()
            .map(
                requestClass ->
                    new RequestClass(
                        requestClass.name(),
                        SECOND,
                        4 * SECOND,
                        requestClass.priorityWeight(),
                        0,
                        requestClass.idempotency(),
                        requestClass.idempotencyWindow(),
                        requestClass.callsDependency(),
                        0))
            .toList();
    RecordingHost host = new RecordingHost(withClasses(base, classes), START);
    host.gauges(1, 3);
    host.read(request(host, "commit", COMMIT), request(host, "load", READ));
    host.read(request(host, "again", COMMIT, "commit", 3 * SECOND));
    host.reachCall("commit");
    host.reachCall("load");
    host.read(
        request(host, "busy1", SAVE), request(host, "busy2", SAVE), request(host, "held", SAVE));
    host.advanceTo(START + SECOND * 6 / 5);
    for (String id : List.of("load", "again", "held")) {
      assertTrue(host.answered(id), id + " earns nothing any more");
    }
    assertFalse(host.answered("busy1"), "a running request is answered when its run ends");
  }

  @Test
  void skipsCallIfDegradedAnswerEarnsMore() {
    Settings base = settings(StopMode.NONE, 20_000, false, 0.5);
    List<RequestClass> classes =
        base.classes().stream()
            .map(
                requestClass ->
                    new RequestClass(
                        requestClass.name(),
                        SECOND,
                        4 * SECOND,
                        requestClass.priorityWeight(),
                        0,
                        requestClass.idempotency(),
                        requestClass.idempotencyWindow(),
                        requestClass.callsDependency(),
                        requestClass.idempotency() == Idempotency.WITH_KEY ? 0 : 0.5))
            .toList();
    RecordingHost host = new RecordingHost(withClasses(base, classes), START);
    host.gauges(1, 3);
    host.read(request(host, "commit", COMMIT), request(host, "load", READ));
    host.reachCall("commit");
    host.reachCall("load");
    assertTrue(host.hasAction("call commit") && !host.hasAction("call load"), "one call at a time");
    host.advanceTo(START + SECOND / 2);
    assertFalse(host.hasAction("skip load"), "there is time for the call");
    host.advanceTo(START + SECOND);
    assertTrue(host.hasAction("skip load"), "the degraded answer still arrives in time");
    assertFalse(host.hasAction("skip commit"));
  }

  @Test
  void keepsIdleConnectionsDuringRetryStorm() {
    RecordingHost host =
        new RecordingHost(settings(StopMode.ABORT, 20_000, false, 5, 10_000), START);
    host.gauges(1, 8);
    host.advanceTo(START + SECOND);
    assertTrue(host.hasAction("idleTimeout 10000"));
    for (int i = 0; i < 300; i++) {
      host.read(request(host, "first" + i, SAVE), request(host, "second" + i, SAVE));
      host.advanceTo(host.now() + 10_000);
    }
    assertTrue(
        host.hasAction("idleTimeout 30000000"),
        "nearly all requests are rejected, so each reconnect would be wasted");
    host.gauges(0, 0);
    host.advanceTo(host.now() + 4 * SECOND);
    host.deliverFollowUps();
    host.advanceTo(host.now() + 40 * SECOND);
    for (int i = 0; i < 40; i++) {
      host.read(request(host, "calm" + i, SAVE));
      if (!host.answered("calm" + i)) {
        host.finish("calm" + i, RunOutcome.SUCCEEDED);
      }
      host.advanceTo(host.now() + SECOND / 2);
    }
    assertTrue(
        host.actions.lastIndexOf("idleTimeout 10000")
            > host.actions.lastIndexOf("idleTimeout 30000000"),
        "the timeout is shortened again after the storm");
  }

  @Test
  void gracefulShutdownAnswersRequestsDueAfterProcessStop() {
    for (StopMode stopMode : StopMode.values()) {
      RecordingHost host = new RecordingHost(settings(stopMode, 20_000, false, 5), START);
      host.gauges(1, 3);
      fillCores(host);
      host.read(request(host, "held", READ, null, 0), request(host, "commit", COMMIT, null, 0));
      host.drain(START + SECOND);
      host.advanceTo(START + SECOND);
      for (String id : List.of("busy1", "busy2", "held", "commit")) {
        assertTrue(host.answered(id), id + " is answered before the process is stopped");
      }
    }
  }

  private static Request tenantRequest(RecordingHost host, String id, int tenant) {
    return new Request(
        id, SAVE, tenant, 100_000, 1_000, null, 10, null, 0.5, host.now() + 3 * SECOND, true);
  }

  /** A tenant of new settings must not start with the debt of another tenant at its index. */
  @Test
  void newTenantAtSameIndexDoesNotInheritDebt() {
    for (boolean sameName : new boolean[] {true, false}) {
      RecordingHost host = host();
      for (int i = 0; i < 400; i++) {
        host.read(tenantRequest(host, "spent" + i, 0));
        host.finish("spent" + i, RunOutcome.SUCCEEDED);
      }
      Settings base = host.settings();
      host.changeSettings(
          SettingsVariants.withClassesAndTenants(
              base,
              base.classes(),
              List.of(new Tenant(sameName ? "one" : "three", 100), new Tenant("two", 100))));
      host.read(tenantRequest(host, "busy1", 1), tenantRequest(host, "busy2", 1));
      host.read(tenantRequest(host, "first", 0), tenantRequest(host, "second", 1));
      host.finish("busy1", RunOutcome.SUCCEEDED);
      assertTrue(
          host.hasAction(sameName ? "start second" : "start first"),
          "the debt stays with the tenant that incurred it");
    }
  }

  /** Callers must not apply a new meaning to an old value. */
  @Test
  void publishesFreeValueAgainWhenItsMeaningChanges() {
    RecordingHost host = host();
    for (FreeValue meaning :
        List.of(
            FreeValue.SHARE, FreeValue.LEVEL, FreeValue.WINDOW, FreeValue.SHARE, FreeValue.NONE)) {
      host.changeSettings(SettingsVariants.withFreeValue(host.settings(), meaning));
      int firstNewAction = host.actions.size();
      host.advanceTo(host.now() + SECOND / 5);
      List<String> publishedValues =
          host.actions.subList(firstNewAction, host.actions.size()).stream()
              .filter(action -> action.startsWith("publish "))
              .toList();
      assertEquals(
          meaning == FreeValue.SHARE
              ? List.of("publish 1.0")
              : meaning == FreeValue.LEVEL ? List.of("publish 0.0") : List.of(),
          publishedValues,
          () -> "as " + meaning);
    }
  }

  /** The arrivals of another class at the same index must not reserve capacity for a new class. */
  @Test
  void newClassAtSameIndexDoesNotInheritArrivals() {
    for (boolean sameName : new boolean[] {true, false}) {
      RecordingHost host = host();
      host.gauges(0.9, 2);
      fillCores(host);
      host.read(
          request(host, "held1", SAVE), request(host, "held2", SAVE), request(host, "held3", SAVE));
      host.advanceTo(START + SECOND / 5);
      for (int i = 0; i < 30; i++) {
        host.read(request(host, "came" + i, READ));
      }
      List<RequestClass> classes = new ArrayList<>(host.settings().classes());
      classes.set(
          READ,
          new RequestClass(
              sameName ? "read" : "other",
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
          sameName,
          host.answered("next"),
          "capacity is reserved only for arrivals of the same class");
    }
  }
}
