package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
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
import org.junit.jupiter.api.Test;

/**
 * Random sequences of events with fixed seeds; the host asserts the invariants on each event and
 * action.
 */
class RandomFaultTest {
  private static final long SECOND = 1_000_000;
  private static final int SEQUENCES = 60;
  private static final int STEPS = 400;
  private static final int IDEMPOTENCY_KEYS = 12;

  private static Settings settings(Random random, StopMode stopMode) {
    boolean earnsWhenLate = random.nextBoolean();
    return new Settings(
        random.nextLong(),
        5_000,
        List.of(
            new RequestClass(
                "read",
                SECOND,
                4 * SECOND,
                1,
                earnsWhenLate ? 0.2 : 0,
                Idempotency.ALWAYS,
                0,
                true,
                random.nextBoolean() ? 0.5 : 0),
            new RequestClass("save", SECOND, 3 * SECOND, 2, 0, Idempotency.ALWAYS, 0, false, 0),
            new RequestClass(
                "order", SECOND, 4 * SECOND, 5, 0, Idempotency.WITH_KEY, 10 * SECOND, true, 0),
            new RequestClass("once", SECOND, 4 * SECOND, 2, 0, Idempotency.NEVER, 0, true, 0)),
        List.of(new Tenant("one", 20), new Tenant("two", 20)),
        10,
        4,
        random.nextBoolean(),
        0.1,
        0,
        new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
        new ServerLimits(60_000, 2 * SECOND, 4, 1_500_000, 0.3, 10 * SECOND),
        new Dependency(0.3 + 3 * random.nextDouble(), 5 * SECOND, 200_000),
        new Machine(
            2,
            800 + random.nextInt(4_000),
            8,
            40,
            random.nextBoolean(),
            List.of("cpu_busy", "runnable"),
            stopMode),
        new Signals(FreeValue.LEVEL, SECOND, true, SECOND, true, 30 * SECOND));
  }

  @Test
  void guaranteesHoldUnderRandomFaults() {
    long actions = 0;
    for (StopMode stopMode : StopMode.values()) {
      for (int seed = 0; seed < SEQUENCES; seed++) {
        actions += runSequence(new Random(seed * 31L + stopMode.ordinal()), stopMode);
      }
    }
    assertTrue(actions > 10_000, "starts, rejections and failures: " + actions);
  }

  private static long runSequence(Random random, StopMode stopMode) {
    RecordingHost host = new RecordingHost(settings(random, stopMode), 77 * SECOND);
    boolean hasCallerDeadline = random.nextBoolean();
    String[] lastOriginals = new String[IDEMPOTENCY_KEYS];
    long drainStep = random.nextInt(STEPS * 2);
    int settingsChangeStep = random.nextInt(STEPS);
    for (int step = 0; step < STEPS; step++) {
      host.deliverFollowUps();
      host.gauges(random.nextDouble(), random.nextInt(8));
      if (step == drainStep) {
        host.drain(host.now() + 4 * SECOND);
      }
      if (step == settingsChangeStep) {
        host.changeSettings(changedSettings(host.settings()));
      }
      double eventChoice = random.nextDouble();
      if (eventChoice < 0.45) {
        host.read(request(host, random, "r" + step, hasCallerDeadline, lastOriginals));
      } else if (eventChoice < 0.6) {
        pick(random, host.onCores())
            .ifPresent(
                id ->
                    host.finish(
                        id, random.nextInt(5) > 0 ? RunOutcome.SUCCEEDED : RunOutcome.FAILED));
      } else if (eventChoice < 0.75) {
        pick(random, host.onCores().stream().filter(host::callsDependency).toList())
            .ifPresent(host::reachCall);
      } else if (eventChoice < 0.88) {
        RunOutcome[] outcomes = {
          RunOutcome.SUCCEEDED,
          RunOutcome.SUCCEEDED,
          RunOutcome.FAILED,
          RunOutcome.REJECTED,
          RunOutcome.CONNECTION_LOST
        };
        pick(random, host.callsInFlight())
            .ifPresent(id -> host.callEnded(id, outcomes[random.nextInt(5)]));
      } else if (eventChoice < 0.91) {
        pick(random, host.pending()).ifPresent(host::cancel);
      }
      host.advanceTo(host.now() + 5_000L * (1 + random.nextInt(random.nextInt(10) == 0 ? 60 : 6)));
    }
    for (int i = 0; i < 300 && !host.pending().isEmpty(); i++) {
      host.deliverFollowUps();
      host.advanceTo(host.now() + 20_000);
    }
    assertTrue(host.pending().isEmpty(), "all requests are answered");
    return host.count("reject") + host.count("fail") + host.count("start");
  }

  /**
   * Returns settings with an additional class and tenant, one class with a shorter deadline, and
   * the class "save" replaced by another at its index.
   */
  private static Settings changedSettings(Settings base) {
    List<RequestClass> classes = new ArrayList<>(base.classes());
    classes.set(
        1, new RequestClass("look", SECOND, 2 * SECOND, 1, 0, Idempotency.ALWAYS, 0, false, 0));
    classes.add(
        new RequestClass("late", SECOND, 3 * SECOND, 3, 0, Idempotency.ALWAYS, 0, false, 0));
    List<Tenant> tenants = new ArrayList<>(base.tenants());
    tenants.add(new Tenant("three", 20));
    return new Settings(
        base.seed(),
        base.batchInterval(),
        classes,
        tenants,
        12,
        4,
        base.weightByWork(),
        0.1,
        0,
        base.objectiveWeights(),
        base.limits(),
        base.dependency(),
        base.machine(),
        base.signals());
  }

  private static Optional<String> pick(Random random, List<String> ids) {
    return ids.isEmpty() ? Optional.empty() : Optional.of(ids.get(random.nextInt(ids.size())));
  }

  private static Request request(
      RecordingHost host,
      Random random,
      String id,
      boolean hasCallerDeadline,
      String[] lastOriginals) {
    int classIndex = random.nextInt(host.settings().classes().size());
    int keyIndex = random.nextInt(IDEMPOTENCY_KEYS);
    String originalId = null;
    if (classIndex == 2) {
      originalId =
          lastOriginals[keyIndex] != null && host.remembers(lastOriginals[keyIndex])
              ? lastOriginals[keyIndex]
              : null;
      lastOriginals[keyIndex] = originalId == null ? id : originalId;
    }
    return new Request(
        id,
        classIndex,
        random.nextInt(host.settings().tenants().size()),
        0,
        random.nextInt(100_000),
        null,
        5 + random.nextInt(20),
        originalId,
        random.nextDouble(),
        hasCallerDeadline ? host.now() + 200_000 + random.nextInt(4_000_000) : 0,
        classIndex != 0);
  }
}
