package mothwing.trial;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import mothwing.trial.History.Call;
import mothwing.trial.History.End;
import org.HdrHistogram.Histogram;

/**
 * What a trial came to, in numbers.
 *
 * @param asked requests of callers, whatever their tries
 * @param served of them, by any try
 * @param worth share of the worth asked for that was served by its aim
 * @param orders writes asked for
 * @param ranTwice of them ran more than once across the fleet
 * @param forgotten of them were answered by a server that lost its disk later
 * @param ranUnanswered of them ran to an end, and their callers have no result
 * @param tries by how they ended
 * @param p50Ms median time of tries that were served
 * @param p99Ms that of the slowest hundredth
 */
record TrialStatistics(
    int asked,
    int served,
    double worth,
    int orders,
    int ranTwice,
    int forgotten,
    int ranUnanswered,
    Map<String, Integer> tries,
    double p50Ms,
    double p99Ms) {
  private static final double ORDER_WORTH = 10;
  private static final double MILLI = 1000;
  private static final int DIGITS = 3;

  static TrialStatistics of(Trial trial, History history) {
    Map<String, Call> first = new HashMap<>();
    Map<String, Long> servedAt = new HashMap<>();
    Map<String, Integer> tries = new LinkedHashMap<>();
    for (End end : End.values()) {
      tries.put(end.name().toLowerCase(java.util.Locale.ROOT), 0);
    }
    Histogram times = new Histogram(DIGITS);
    for (Call call : history.calls) {
      first.merge(call.order(), call, (a, b) -> a.sentAt() <= b.sentAt() ? a : b);
      tries.merge(call.end().name().toLowerCase(java.util.Locale.ROOT), 1, Integer::sum);
      if (call.end() == End.SERVED) {
        servedAt.merge(call.order(), call.endedAt(), Math::min);
        times.recordValue(Math.max(0, call.endedAt() - call.sentAt()));
      }
    }
    double worth = 0;
    double sum = 0;
    int orders = 0;
    for (Call call : first.values()) {
      double each = call.kind().equals(Trial.ORDER) ? ORDER_WORTH : 1;
      orders += call.kind().equals(Trial.ORDER) ? 1 : 0;
      sum += each;
      Long at = servedAt.get(call.order());
      worth +=
          at != null && at - call.sentAt() <= trial.fleet().deadlineMs() * MILLI * 2 / 5 ? each : 0;
    }
    Set<String> unanswered = new HashSet<>();
    history.runs.stream()
        .filter(
            run ->
                run.kind.equals(Trial.ORDER)
                    && run.code.equals("done")
                    && !servedAt.containsKey(run.order))
        .forEach(run -> unanswered.add(run.order));
    return new TrialStatistics(
        first.size(),
        servedAt.size(),
        sum > 0 ? worth / sum : 0,
        orders,
        Oracles.ranTwice(history).size(),
        Oracles.forgotten(history).size(),
        unanswered.size(),
        tries,
        times.getValueAtPercentile(50) / MILLI,
        times.getValueAtPercentile(99) / MILLI);
  }

  /** How many of the writes, for each thousand of them. */
  double perThousand(int many) {
    return orders == 0 ? 0 : 1000.0 * many / orders;
  }
}
