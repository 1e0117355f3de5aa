package mothwing.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;

/**
 * A policy that is told the truth: what runs of each class take in the mean, how fast the cores
 * are, what a call takes. It sees what its cores have left to do a fifth of a second late. A
 * yardstick for decisions that have to find all that out.
 */
final class FullKnowledgePolicy implements Controller {
  private static final long LATE = 200_000;
  private static final long MARGIN = 60_000; // before a due time, for a batch and a timer

  private enum Stand {
    HELD,
    RUNNING,
    CALLING
  }

  private static final class Job {
    final Request request;
    final RequestClass kind;
    final long arrived;
    final double work;
    Stand stand = Stand.HELD;
    boolean answered;

    Job(Request request, RequestClass kind, long arrived, double work) {
      this.request = request;
      this.kind = kind;
      this.arrived = arrived;
      this.work = work;
    }

    double density(boolean byWork) {
      return kind.priorityWeight() / (byWork ? 1 : work);
    }
  }

  private final Settings settings;
  private final ControllerHost host;
  private final Deployment of;
  private final double speed;
  private final int crowd;
  private final Map<String, Job> open = new LinkedHashMap<>();
  private double seen;
  private long seenAt;
  private long stopAt = Long.MAX_VALUE;
  private long noticeAt = Long.MAX_VALUE;

  /** At most so many runs share a core. */
  FullKnowledgePolicy(
      Settings settings, ControllerHost host, Deployment of, double speed, int crowd) {
    this.crowd = crowd;
    this.settings = settings;
    this.host = host;
    this.of = of;
    this.speed = speed;
  }

  @Override
  public void serverStarted(long at) {
    host.scheduleTimer(at + LATE, "see");
  }

  private double rate() {
    return speed * settings.machine().cores();
  }

  private long until(Job job) {
    long all = job.kind.lateWeightRatio() > 0 ? job.kind.deadline() : job.kind.latencyObjective();
    return Math.min(job.arrived + all, stopAt);
  }

  /** Microseconds that a run takes alone, with its calls. */
  private double alone(Job job) {
    return job.work / speed + of.kinds().get(job.request.classIndex()).calls() * of.callMs() * 1000;
  }

  @Override
  public void requestRead(long at, Request request) {
    RequestClass kind = settings.classes().get(request.classIndex());
    Job job =
        new Job(
            request,
            kind,
            at - request.queueingDelay(),
            of.kinds().get(request.classIndex()).meanMs() * 1000);
    boolean byWork = settings.weightByWork();
    double ahead =
        open.values().stream()
            .filter(
                one ->
                    one.stand == Stand.HELD
                        && !one.answered
                        && one.density(byWork) >= job.density(byWork))
            .mapToDouble(one -> one.work)
            .sum();
    double backlog = ahead + Math.max(0, seen - (at - seenAt) * rate());
    double memory =
        open.values().stream()
            .mapToDouble(
                one ->
                    one.request.memoryKb()
                        * (one.stand == Stand.HELD ? 1 : settings.machine().runMemoryFactor()))
            .sum();
    boolean room =
        memory + request.memoryKb() * settings.machine().runMemoryFactor()
            < settings.machine().memoryKb() * 0.9;
    if (at + backlog / rate() + alone(job) > until(job) || job.arrived > noticeAt || !room) {
      host.rejectRequest(request.id(), false, 0);
    } else {
      open.put(request.id(), job);
    }
  }

  @Override
  public void requestCancelled(long at, String id) {
    answered(id);
  }

  private void answered(String id) {
    Job job = open.get(id);
    if (job != null) {
      job.answered = true;
      if (job.stand == Stand.HELD) {
        open.remove(id);
      }
    }
  }

  @Override
  public void callAwaited(long at, String id) {
    Job job = open.get(id);
    if (job != null) {
      job.stand = Stand.CALLING;
      host.startCall(
          id, Math.max(at + 1000, Math.min(job.arrived + job.kind.deadline(), stopAt) - MARGIN));
    }
  }

  @Override
  public void callEnded(long at, String id, RunOutcome outcome, long took) {
    Job job = open.get(id);
    boolean again =
        outcome.provesNoEffect() || (job != null && job.kind.idempotency() == Idempotency.ALWAYS);
    if (job != null && outcome == RunOutcome.SUCCEEDED) {
      job.stand = Stand.RUNNING;
    } else if (job != null && again && at + MARGIN < until(job)) {
      callAwaited(at, id);
    } else if (job != null) {
      host.failRequest(id);
      job.answered = true;
    }
  }

  @Override
  public void runEnded(long at, String id, RunOutcome outcome, long took) {
    open.remove(id);
  }

  @Override
  public void timerFired(long at, String tag, GaugeSample sample) {
    host.scheduleTimer(at + LATE, "see");
    seen =
        open.values().stream()
            .filter(one -> one.stand != Stand.HELD)
            .mapToDouble(one -> one.work / 2)
            .sum();
    seenAt = at;
  }

  @Override
  public void settingsChanged(long at, Settings to) {
    throw new IllegalStateException("it is not told new settings");
  }

  @Override
  public void shutdownRequested(long at, long stop) {
    noticeAt = at;
    stopAt = stop - 2 * MARGIN;
  }

  @Override
  public void batchEnded(long at) {
    for (Job job : new ArrayList<>(open.values())) {
      long due = Math.min(job.arrived + job.kind.deadline(), stopAt);
      if (job.answered) {
        continue;
      }
      if (job.stand == Stand.HELD && at + alone(job) > until(job)) {
        host.rejectRequest(job.request.id(), false, 0);
        open.remove(job.request.id());
      } else if (at + MARGIN > due) {
        host.failRequest(job.request.id());
        job.answered = true;
      }
    }
    long running = open.values().stream().filter(one -> one.stand == Stand.RUNNING).count();
    boolean byWork = settings.weightByWork();
    List<Job> held =
        open.values().stream()
            .filter(one -> one.stand == Stand.HELD)
            .sorted(
                Comparator.comparingDouble((Job one) -> -one.density(byWork))
                    .thenComparingLong(one -> one.arrived))
            .toList();
    for (Job job : held) {
      if (running >= (long) crowd * settings.machine().cores()) {
        return;
      }
      running++;
      job.stand = Stand.RUNNING;
      host.startRun(job.request.id());
    }
  }
}
