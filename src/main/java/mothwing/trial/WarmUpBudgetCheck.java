package mothwing.trial;

import java.util.ArrayList;
import java.util.List;
import mothwing.trial.History.Call;
import mothwing.trial.History.End;

/**
 * What came to a server in the first while after a start that lost everything, counted over all
 * gateways and held against what the settings let it survive. Seen from outside: gateways'
 * histories, their lists and the pool's journal.
 *
 * @param server the server
 * @param readyAt when it took clients, in microseconds of the trial
 * @param came requests that reached it in the span of the settings
 * @param told how many of them came from gateways whose list had left it out and named it again
 * @param ran how many runs its pool began in that span
 * @param refused how many of them it turned away
 * @param survives the crowd on its cores that the settings let it survive at its coldest, N
 * @param beyond N + 2 x root of N + 2: what callers that know nothing of each other may add by
 *     chance
 * @param survivesInSpan the same crowd kept up for the whole span, in requests of mean work
 * @param beyondInSpan the same bound for that number
 */
record WarmUpBudgetCheck(
    String server,
    long readyAt,
    int came,
    int told,
    int ran,
    int refused,
    double survives,
    double beyond,
    double survivesInSpan,
    double beyondInSpan) {
  /**
   * The span of the configuration that trials give their servers, in microseconds, and its other
   * figures.
   */
  private static final long FALL = 2_000_000;

  private static final double MILLI = 1000;
  private static final double FALL_MULTIPLE = 8;
  private static final double COLD_FROM = 0.3;

  /** All starts of a trial but the first of each machine. */
  static List<WarmUpBudgetCheck> of(Trial trial, History history) {
    List<WarmUpBudgetCheck> all = new ArrayList<>();
    for (History.Life life : history.lives) {
      if (life.life > 1 && life.readyAt >= 0) {
        all.add(one(trial, history, life));
      }
    }
    return all;
  }

  private static WarmUpBudgetCheck one(Trial trial, History history, History.Life life) {
    long end = life.readyAt + FALL;
    int came = 0;
    int told = 0;
    int refused = 0;
    for (Call call : history.calls) {
      boolean here =
          call.server().equals(life.machine)
              && call.sentAt() >= life.readyAt
              && call.sentAt() < end
              && call.end() != End.UNREACHED;
      came += here ? 1 : 0;
      told += here && told(history, call, life) ? 1 : 0;
      refused += here && call.end() == End.REFUSED ? 1 : 0;
    }
    int ran =
        (int)
            history.runs.stream()
                .filter(
                    run ->
                        run.machine.equals(life.machine)
                            && run.beganAt >= life.readyAt
                            && run.beganAt < end)
                .count();
    double survives = (1 + (FALL_MULTIPLE - 1) * COLD_FROM) * trial.fleet().cores();
    double inSpan = survives * FALL / MILLI / trial.fleet().workMs();
    return new WarmUpBudgetCheck(
        life.machine,
        life.readyAt,
        came,
        told,
        ran,
        refused,
        survives,
        beyond(survives),
        inSpan,
        beyond(inSpan));
  }

  private static double beyond(double budget) {
    return budget + 2 * Math.sqrt(budget) + 2;
  }

  /**
   * Whether a gateway's list left the server out and named it again after the start and before the
   * call.
   */
  private static boolean told(History history, Call call, History.Life life) {
    boolean absent = false;
    boolean told = false;
    for (History.Listed one : history.listed) {
      if (one.gateway().equals(call.gateway()) && one.at() <= call.sentAt()) {
        boolean there = one.servers().contains(life.machine);
        told = there && ((absent && one.at() >= life.beganAt) || told);
        absent = !there;
      }
    }
    return told;
  }
}
