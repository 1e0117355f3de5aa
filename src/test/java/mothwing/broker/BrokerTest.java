package mothwing.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import mothwing.control.Controller;
import mothwing.control.GaugeSample;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.Tenant;
import mothwing.net.RequestFields;
import mothwing.testing.SettingsVariants;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The guards of the core, with decisions that go wrong on purpose. */
class BrokerTest {
  private static final long SECOND = 1_000_000;

  /** Decisions by hand: it notes what it is told and does nothing, or throws. */
  private static final class ByHand implements Controller {
    private final List<String> told = new ArrayList<>();
    private boolean broken;

    private void note(String what) {
      told.add(what);
      if (broken) {
        throw new IllegalStateException("on purpose");
      }
    }

    @Override
    public void serverStarted(long now) {
      note("started");
    }

    @Override
    public void requestRead(long now, Request request) {
      note("read");
    }

    @Override
    public void requestCancelled(long now, String id) {
      note("gone");
    }

    @Override
    public void callAwaited(long now, String id) {
      note("call");
    }

    @Override
    public void callEnded(long now, String id, RunOutcome outcome, long took) {
      note("call ended");
    }

    @Override
    public void runEnded(long now, String id, RunOutcome outcome, long took) {
      note("finished " + outcome);
    }

    @Override
    public void timerFired(long now, String tag, GaugeSample sample) {
      note(
          "timer "
              + tag
              + " "
              + (sample.isKnown()
                  ? sample.gauges().get(1)
                  : "absent for " + sample.age() / 1000 + " ms"));
    }

    @Override
    public void settingsChanged(long now, Settings settings) {
      note("retuned " + settings.classes().stream().map(RequestClass::name).toList());
    }

    @Override
    public void shutdownRequested(long now, long stopAt) {
      note("drain");
    }

    @Override
    public void batchEnded(long now) {
      note("settled");
    }
  }

  private final ByHand decisions = new ByHand();
  private final List<String> answers = new ArrayList<>();
  private BrokerFixture stand;

  @BeforeEach
  void bound() {
    stand = new BrokerFixture(decisions).bound();
    decisions.told.clear();
  }

  private Exchange ask(int number, String kind) {
    return stand.ask(BrokerFixture.id(number), kind, new byte[0], caller());
  }

  private ResponseSink caller() {
    return new ResponseSink() {
      @Override
      public void sendResult(byte[] result) {
        answers.add("served");
      }

      @Override
      public void sendRejection(boolean last, long holdOffMs) {
        answers.add("refused " + last + " " + holdOffMs);
      }

      @Override
      public void sendFailure(String code) {
        answers.add("failed " + code);
      }
    };
  }

  @Test
  void gathersTheEventsOfARoundIntoOneBatch() {
    ask(1, BrokerFixture.LOOK);
    stand.pass(1);
    stand.broker.cancelled(ask(2, BrokerFixture.LOOK));
    stand.pass(10_000);
    assertEquals(List.of("read", "settled", "read", "gone", "settled"), decisions.told);
  }

  /** Guards against decisions that leave a request beyond its due time. */
  @Test
  void failsWhatTheControllerLeavesOverdue() {
    ask(1, BrokerFixture.LOOK);
    stand.pass(4 * SECOND);
    assertEquals(List.of(), answers);
    stand.pass(SECOND);
    assertEquals(List.of("failed overdue"), answers);
    assertEquals(0, stand.broker.pendingCount());
  }

  /**
   * Guards against an answer after its caller has given up, where requests tell how long that
   * waits.
   */
  @Test
  void aRequestIsDueWhenItsCallerGivesUpAndNoLaterThanItsClassHasIt() {
    for (long wait : new long[] {300, 0, 60_000}) {
      answers.clear();
      stand.broker.submit(
          new InboundRequest(
              BrokerFixture.id((int) wait + 1),
              stand.wallClockMillis(),
              "one",
              BrokerFixture.LOOK,
              10,
              0.5,
              null,
              null,
              wait,
              new byte[0]),
          caller());
      long due = Math.min(wait * 1000, 4_500_000);
      stand.pass(due + 20_000);
      assertEquals(List.of(), answers, () -> "before " + wait);
      stand.pass(60_000);
      assertEquals(List.of("failed overdue"), answers);
    }
  }

  /** Guards against a fault of the decisions that ends the process, or costs an answer. */
  @Test
  void outlivesAControllerThatThrows() {
    decisions.broken = true;
    ask(1, BrokerFixture.LOOK);
    stand.pass(5 * SECOND);
    assertEquals(List.of("failed overdue"), answers);
    assertTrue(stand.counters.get("controller-faults") > 0);
    assertTrue(stand.lines.stream().anyMatch(line -> line.startsWith("controller-fault")));
  }

  /** Guards against an order that ran and is then refused, which promises that it did not. */
  @Test
  void neverRefusesWhatRanAndMustRunOnce() {
    ask(1, BrokerFixture.ORDER);
    ask(2, BrokerFixture.ORDER);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.broker.rejectRequest(BrokerFixture.id(1), false, 5_500);
    stand.broker.rejectRequest(BrokerFixture.id(2), true, 5_500);
    assertEquals(List.of("failed ran-before", "refused true 6"), answers);
  }

  @Test
  void startsOnceAndAnswersOnce() {
    ask(1, BrokerFixture.ORDER);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.broker.startRun(BrokerFixture.id(1));
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    stand.broker.failRequest(BrokerFixture.id(1));
    stand.broker.runEnded(BrokerFixture.id(1), RunOutcome.SUCCEEDED, 5, new byte[1]);
    assertEquals(List.of("served"), answers);
    assertEquals(1, stand.spawns.get(BrokerFixture.id(1)));
    assertEquals(1, stand.counters.get("run-ended-unexpected"));
  }

  @Test
  void pausesAndGoesOn() {
    ask(1, BrokerFixture.ORDER);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.broker.stopRun(BrokerFixture.id(1));
    stand.pass(5_000);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    assertEquals(List.of("served"), answers);
    assertEquals(1, stand.spawns.get(BrokerFixture.id(1)));
  }

  /** Guards against a request that the pool knows to be over and nobody answers. */
  @Test
  void failsWhatThePoolDidNotBegin() {
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.finish(BrokerFixture.id(1), RunOutcome.NOT_STARTED);
    assertEquals(List.of("failed stale"), answers);
  }

  /**
   * Guards against an order that waits for its due time though its start never left this process.
   */
  @Test
  void startsOnceTheLinkIsBackWhatWasNeverHandedOver() {
    stand.linked = false;
    ask(1, BrokerFixture.ORDER);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.linked = true;
    stand.broker.resynchronized();
    stand.broker.resynchronized();
    assertEquals(1, stand.spawns.get(BrokerFixture.id(1)));
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    assertEquals(List.of("served"), answers);
  }

  /**
   * Guards against a run whose end never comes: it would take a place on the cores and in the table
   * for ever.
   */
  @Test
  void givesUpARunWhoseEndWasLost() {
    ask(1, BrokerFixture.ORDER);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.running.clear();
    stand.pass(14 * SECOND);
    assertEquals(List.of("failed overdue"), answers);
    assertTrue(!decisions.told.contains("finished NOT_STARTED"));
    stand.pass(SECOND);
    assertTrue(decisions.told.contains("finished NOT_STARTED"));
    assertEquals(1, stand.counters.get("lost-runs"));
    assertTrue(stand.broker.counts().startsWith("open=0 "), stand.broker.counts());
  }

  /**
   * Guards against a notice to leave that comes before the pool is up: there are no decisions to
   * tell yet.
   */
  @Test
  void takesTheNoticeToLeaveBeforeThePoolIsUp() {
    stand = new BrokerFixture(decisions);
    stand.broker.drain(stand.now(), stand.now() + 9 * SECOND, false);
    ask(1, BrokerFixture.LOOK);
    stand.pass(SECOND);
    assertEquals(List.of("refused false 1000"), answers);
    assertEquals(0, stand.counters.get("controller-faults"));
    stand.bound().pass(SECOND);
    assertEquals(List.of("started", "drain", "settled"), decisions.told);
  }

  @Test
  void runsNothingThatCameAfterTheGraceOfADrain() {
    stand.broker.drain(stand.now(), stand.now() + 9 * SECOND, false);
    stand.pass(2 * SECOND + 5_000);
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    assertEquals(List.of("refused false 1000"), answers);
    assertTrue(stand.spawns.isEmpty());
  }

  /**
   * Guards against a gateway's word for when a request came: its last byte may be written long
   * after that.
   */
  @Test
  void whatIsReadWholeAfterTheGraceIsNotRunWhateverItsGatewaySaysOfItsArrival() throws Exception {
    stand.broker.drain(stand.now(), stand.now() + 9 * SECOND, false);
    long accepted = stand.wallClockMillis() + 1_900;
    stand.pass(2 * SECOND + 300_000);
    RequestFields fields = new RequestFields();
    Gateway.fields(BrokerFixture.id(1), accepted).forEach(fields::set);
    stand.broker.submit(fields.toRequest("/call/" + BrokerFixture.ORDER, new byte[0]), caller());
    stand.broker.startRun(BrokerFixture.id(1));
    assertEquals(List.of("refused false 1000"), answers);
    assertTrue(stand.spawns.isEmpty());
  }

  /**
   * Guards against an end of the process that leaves a caller without a word, late as the decisions
   * may be.
   */
  @Test
  void whatTheDecisionsStillOweAtTheEndIsFailed() {
    ask(1, BrokerFixture.LOOK);
    ask(2, BrokerFixture.ORDER);
    stand.broker.startRun(BrokerFixture.id(2));
    stand.broker.drain(stand.now(), stand.now() + SECOND, false);
    stand.broker.failPending();
    stand.broker.failPending();
    assertEquals(List.of("failed leaving", "failed leaving"), answers);
    assertEquals(0, stand.broker.pendingCount());
  }

  private static Settings with(RequestClass... classes) {
    Settings one = BrokerFixture.settings(4.5, 2);
    return SettingsVariants.parts(one, List.of(classes), one.tenants());
  }

  /**
   * Guards against open requests that are renumbered or lost as classes come and go, and against
   * lost counts.
   */
  @Test
  void newSettingsLeaveWhatIsOpenItsClassAndDeadline() {
    RequestClass order =
        new RequestClass(
            BrokerFixture.ORDER, SECOND, 9 * SECOND, 5, 0, Idempotency.NEVER, 0, false, 0);
    RequestClass save =
        new RequestClass("save", SECOND, SECOND, 1, 0, Idempotency.ALWAYS, 0, false, 0);
    RequestClass tell =
        new RequestClass("tell", SECOND, SECOND, 1, 0, Idempotency.ALWAYS, 0, false, 0);
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.broker.applySettings(with(save, order)); // stock-check is dropped while one is open
    ask(2, BrokerFixture.LOOK);
    ask(3, "save");
    stand.broker.startRun(BrokerFixture.id(3));
    stand.finish(BrokerFixture.id(3), RunOutcome.SUCCEEDED);
    stand.pass(5_000);
    assertTrue(
        decisions.told.contains("retuned [stock-check, place-order, save]"),
        decisions.told::toString);
    stand.pass(4 * SECOND);
    assertEquals(List.of("failed unknown-class", "served"), answers);
    stand.pass(SECOND); // the deadline that it was read under
    assertEquals(List.of("failed unknown-class", "served", "failed overdue"), answers);
    stand.finish(BrokerFixture.id(1), RunOutcome.STOPPED);
    stand.broker.applySettings(
        with(order, tell)); // nothing refers to the places of stock-check and save any longer
    stand.pass(5_000);
    assertTrue(
        decisions.told.contains("retuned [tell, place-order, save]"), decisions.told::toString);
    ask(4, "tell");
    assertEquals(
        "{completed={stock-check=0, place-order=0, save=1, tell=0}, rejected={stock-check=0, "
            + "place-order=0, save=0, tell=0}, failed={stock-check=1, place-order=0, save=0, tell=0}, "
            + "upstream_requests={stock-check=1, place-order=0, save=1, tell=0}, pending=1}",
        stand.broker.statistics().toString());
  }

  /**
   * Guards against advice to stay away where the settings have none passed on, at whatever point a
   * request is refused.
   */
  @Test
  void adviceToStayAwayLeavesOnlyWhereTheSettingsAllowIt() {
    for (boolean may : new boolean[] {true, false}) {
      stand = new BrokerFixture(decisions);
      stand.broker.applySettings(SettingsVariants.advice(BrokerFixture.settings(4.5, 2), may));
      ask(1, BrokerFixture.LOOK); // not ready
      stand.bound();
      stand.broker.drain(stand.now(), stand.now() + 9 * SECOND, false);
      stand.pass(3 * SECOND);
      ask(2, BrokerFixture.LOOK);
      stand.broker.startRun(BrokerFixture.id(2)); // read over 2 s after the notice
      String refused = "refused false " + (may ? 1000 : 0);
      assertEquals(List.of(refused, refused), answers);
      answers.clear();
    }
  }

  /**
   * Guards against words that keep gateways away from the process that follows at the same address.
   */
  @Test
  void handingOverRunsWhatStillComesAndSaysNothingAgainstTheNextProcess() {
    List<Boolean> good = new ArrayList<>();
    stand.broker.publishFreeValue(0.25);
    stand.broker.drain(stand.now(), stand.now() + 3 * SECOND, true);
    stand.pass(SECOND);
    assertTrue(!decisions.told.contains("drain"));
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    stand.pass(SECOND);
    assertTrue(decisions.told.contains("drain")); // after half of its time
    stand.broker.setHealth(true, false);
    stand.broker.publishFreeValue(0.95);
    stand.broker.healthCheck(false, good::add);
    ask(2, BrokerFixture.LOOK);
    stand.broker.rejectRequest(BrokerFixture.id(2), false, 5_500);
    stand.pass(SECOND / 2);
    ask(3, BrokerFixture.LOOK);
    stand.broker.startRun(
        BrokerFixture.id(3)); // over 2 s after the notice: whatever the controller says
    assertEquals(List.of("served", "refused false 0", "refused false 0"), answers);
    assertEquals(List.of(true), good);
    assertEquals(OptionalDouble.of(0.25), stand.broker.freeValue());
  }

  /**
   * Guards against a clock of the controller that stops with the link, and against gauges of before
   * that are given again: a controller would take them for news.
   */
  @Test
  void timersFireWithGaugesAndWithoutALinkWithTheirAbsence() {
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.broker.scheduleTimer(stand.now() + 1_000, "tick");
    stand.pass(10_000);
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    stand.linked = false;
    stand.broker.scheduleTimer(stand.now() + 1_000, "late");
    stand.pass(10_000);
    assertTrue(decisions.told.contains("timer tick 1.0"), decisions.told::toString);
    assertTrue(
        decisions.told.stream()
            .anyMatch(one -> one.matches("timer late absent for [1-9][0-9]* ms")),
        decisions.told::toString);
  }

  @Test
  void aDeepCheckAsksThePoolUnlessChecksAreCheap() {
    List<Boolean> good = new ArrayList<>();
    stand.broker.setHealth(false, true);
    stand.broker.healthCheck(true, good::add);
    assertEquals(List.of(), good);
    stand.pass(5_000);
    assertEquals(List.of(true), good);
    stand.linked = false;
    stand.broker.healthCheck(true, good::add);
    stand.broker.setHealth(true, false);
    stand.broker.healthCheck(true, good::add);
    assertEquals(List.of(true, false, false), good);
  }

  /**
   * Guards against a drain that refuses, and against deep checks that say good of a server whose
   * gateways are to go.
   */
  @Test
  void gatewaysAreSentAwayByBadChecksAloneAndCalledBack() {
    List<Boolean> good = new ArrayList<>();
    stand.broker.setHealth(false, true);
    stand.broker.healthCheck(true, good::add); // under way at the call
    boolean first = stand.broker.setOutOfRotation(true);
    boolean repeated = first && stand.broker.setOutOfRotation(true);
    assertTrue(first && repeated);
    stand.pass(5_000);
    stand.broker.healthCheck(true, good::add);
    stand.broker.healthCheck(false, good::add);
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    assertEquals(List.of("served"), answers);
    assertTrue(!decisions.told.contains("drain") && stand.broker.isServing());
    boolean calledBack = stand.broker.setOutOfRotation(false);
    boolean calledBackAgain = calledBack && stand.broker.setOutOfRotation(false);
    assertTrue(calledBack && calledBackAgain);
    stand.broker.healthCheck(false, good::add);
    assertEquals(List.of(false, false, false, true), good);
    stand.broker.setOutOfRotation(true);
    stand.broker.drain(stand.now(), stand.now() + 9 * SECOND, false);
    assertTrue(
        !stand.broker.setOutOfRotation(false)
            && stand.broker.isOutOfRotation()
            && !stand.broker.isServing());
  }

  /**
   * Guards against a run that is counted twice as its hand-over was lost, and names that nobody
   * knows.
   */
  @Test
  void countsARunOnceItsFirstHandOverIsThere() {
    stand.linked = false;
    ask(1, BrokerFixture.LOOK);
    stand.broker.startRun(BrokerFixture.id(1));
    assertEquals(
        0L,
        ((Map<?, ?>) stand.broker.statistics().get("upstream_requests")).get(BrokerFixture.LOOK));
    stand.linked = true;
    stand.broker.resynchronized();
    stand.broker.resynchronized();
    ask(2, "no-such-class");
    assertEquals(
        "{completed={stock-check=0, place-order=0}, rejected={stock-check=0, place-order=0}, "
            + "failed={stock-check=0, place-order=0}, upstream_requests={stock-check=1, place-order=0}, pending=1}",
        stand.broker.statistics().toString());
  }

  @Test
  void aTraceIdThatIsOpenIsNotTakenTwice() {
    ask(1, BrokerFixture.ORDER);
    ask(1, BrokerFixture.ORDER);
    assertEquals(List.of("failed repeated-trace-id"), answers);
  }

  @Test
  void keepsToABoundOnOpenRequests() {
    for (int i = 0; i < Broker.MAX_OPEN_REQUESTS; i++) {
      ask(i, BrokerFixture.LOOK);
    }
    assertEquals(List.of(), answers);
    ask(Broker.MAX_OPEN_REQUESTS, BrokerFixture.LOOK);
    assertEquals(List.of("refused false 1000"), answers);
  }

  private void guarded(Controller by) {
    stand = by == null ? new BrokerFixture() : new BrokerFixture(by);
    stand.broker.applySettings(
        SettingsVariants.parts(
            BrokerFixture.settings(4.5, 2),
            List.of(
                new RequestClass(
                    "save", SECOND, 4 * SECOND, 1, 0, Idempotency.WITH_KEY, 5 * SECOND, false, 0)),
            List.of(new Tenant("one", 1e6), new Tenant("two", 1e6))));
    answers.clear();
    stand.bound();
  }

  /** A try of a guarded request; some body stands for each number. */
  private Exchange guarded(int number, String key, int body, String tenant) {
    return stand.broker.submit(
        new InboundRequest(
            BrokerFixture.id(number),
            stand.wallClockMillis(),
            tenant,
            "save",
            10,
            0.5,
            null,
            key,
            InboundRequest.NOT_STATED,
            new byte[] {(byte) body}),
        caller());
  }

  /**
   * Guards against a run beside that of another process at the same address, and against a refusal
   * of what may have run there.
   */
  @Test
  void aGuardedRequestThatAnotherProcessHoldsIsNotRunHere() {
    guarded(null);
    for (RunClaims.Claim claim : RunClaims.Claim.values()) {
      stand.broker.setRunClaims((key, span) -> claim);
      guarded(claim.ordinal() + 1, claim.name(), 0, "one");
      stand.pass(10_000);
    }
    stand.finish(BrokerFixture.id(RunClaims.Claim.GRANTED.ordinal() + 1), RunOutcome.SUCCEEDED);
    assertEquals(
        List.of("failed ran-beside", "refused false 1000", "failed claim-unknown", "served"),
        answers);
    assertEquals(1, stand.spawns.size());
  }

  private Exchange guarded(int number) {
    Exchange one = guarded(number, "k", 0, "one");
    stand.pass(10_000);
    return one;
  }

  /**
   * Guards against a second run of what another try of the same request has begun, whenever the
   * repeat comes.
   */
  @Test
  void aRepeatOfAGuardedRequestIsAnsweredFromTheRunThereWas() {
    guarded(null);
    guarded(1);
    guarded(2); // as the first runs
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    guarded(3); // once it has ended
    stand.pass(10_000);
    assertEquals(List.of("served", "served", "served"), answers);
    stand.pass(5 * SECOND - 300_000); // the window goes by the arrival of the try that was run
    guarded(4);
    assertEquals(Map.of(BrokerFixture.id(1), 1), stand.spawns);
    assertEquals(4, answers.size());
    stand.pass(SECOND);
    guarded(5);
    assertEquals(Map.of(BrokerFixture.id(1), 1, BrokerFixture.id(5), 1), stand.spawns);
    stand.finish(BrokerFixture.id(5), RunOutcome.FAILED);
    guarded(6);
    assertEquals(List.of("failed crashed", "failed replayed-failure"), answers.subList(4, 6));
    stand.pass(20 * SECOND);
    assertTrue(stand.broker.counts().startsWith("open=0 pending=0 "), stand.broker.counts());
  }

  /**
   * Guards against a result that goes to a request of another tenant, or of another body, and a key
   * that blocks for nothing.
   */
  @Test
  void aKeyStandsForOneRequestOfOneTenantAndOnlyWhileItMayHaveRun() {
    guarded(null);
    guarded(1);
    guarded(2, "k", 1, "one");
    guarded(3, "k", 1, "two");
    stand.pass(10_000);
    assertEquals(List.of("failed key-of-another"), answers);
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    stand.broker.cancelled(
        guarded(4, "other", 0, "one")); // gone in the round that it was read in: it never ran
    guarded(5, "other", 0, "one");
    stand.pass(10_000);
    assertEquals(
        Set.of(BrokerFixture.id(1), BrokerFixture.id(3), BrokerFixture.id(5)),
        stand.spawns.keySet());
  }

  /** Guards against a caller that leaves as its run goes on: the repeat gets what that made. */
  @Test
  void aRepeatAfterItsCallerLeftGetsTheResult() {
    guarded(decisions);
    Exchange first = guarded(1);
    stand.broker.startRun(BrokerFixture.id(1));
    stand.broker.cancelled(first);
    guarded(2);
    stand.broker.replayResult(BrokerFixture.id(2));
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    assertEquals(List.of("served"), answers);
    assertEquals(Map.of(BrokerFixture.id(1), 1), stand.spawns);
  }

  /**
   * Guards against decisions that start a repeat all the same, and against a table without an end.
   */
  @Test
  void noDecisionRunsARepeatAndWhatFindsNoRoomIsRefused() {
    guarded(decisions);
    guarded(1);
    stand.broker.startRun(BrokerFixture.id(1));
    guarded(2);
    stand.broker.startRun(BrokerFixture.id(2));
    assertEquals(List.of("failed ran-before"), answers);
    stand.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    for (int i = 3; i < 2_000; i++) {
      guarded(i, "k" + i, 0, "one");
      stand.broker.startRun(BrokerFixture.id(i));
    }
    assertTrue(answers.contains("refused false 1000"), answers::toString);
    assertTrue(stand.spawns.values().stream().allMatch(times -> times == 1));
    stand.spawns.keySet().forEach(id -> stand.broker.runEnded(id, RunOutcome.FAILED, 0, null));
    stand.pass(40 * SECOND);
    answers.clear();
    guarded(2_000);
    stand.broker.startRun(BrokerFixture.id(2_000));
    assertEquals(List.of(), answers, "there is room again");
  }

  /**
   * Guards against repeats that nothing marks as such: a try that may have run is neither run again
   * nor refused.
   */
  @Test
  void aGuardedClassRunsAtMostOnceATry() {
    stand.broker.applySettings(
        with(
            new RequestClass(
                "save", SECOND, 9 * SECOND, 1, 0, Idempotency.WITH_KEY, 5 * SECOND, false, 0)));
    ask(1, "save");
    stand.broker.startRun(BrokerFixture.id(1));
    stand.finish(BrokerFixture.id(1), RunOutcome.STOPPED);
    stand.broker.rejectRequest(BrokerFixture.id(1), false, 5_500);
    assertEquals(List.of("failed ran-before"), answers);
    assertEquals(1, stand.spawns.get(BrokerFixture.id(1)));
  }

  /**
   * Guards against refusals that nobody can trace, and against a log that grows with an overload.
   */
  @Test
  void reasonsAreWrittenWithTheRequestUpToABoundASecond() {
    int over = 10;
    for (int i = 0; i < RateLimitedEventLog.MAX_LINES_PER_SECOND + over; i++) {
      ask(i, "no-such-class");
    }
    stand.pass(SECOND);
    ask(1000, "no-such-class");
    List<String> written = stand.lines.stream().filter(line -> line.startsWith("failed ")).toList();
    assertEquals(RateLimitedEventLog.MAX_LINES_PER_SECOND + 1, written.size());
    assertEquals(
        "failed id=" + BrokerFixture.id(0) + " class=no-such-class reason=unknown-class",
        written.get(0));
    assertTrue(stand.lines.contains("events-suppressed lines=" + over));
  }
}
