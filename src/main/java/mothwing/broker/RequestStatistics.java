package mothwing.broker;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * What operators see of requests, by class since the process began. It is counted where an exchange
 * comes to its one end, and where a run is first handed to the pool. A class that the settings no
 * longer name keeps its counts.
 */
public final class RequestStatistics {
  /** Classes that are counted apart; those beyond are counted under {@link #OTHERS}. */
  static final int MAX_CLASSES = 256;

  /** Stands for all classes beyond the bound. */
  static final String OTHERS = "others";

  /** How an exchange ended, in the words of the figures. */
  enum End {
    COMPLETED,
    REJECTED,
    FAILED
  }

  private static final class Row {
    private final long[] ends = new long[End.values().length];
    private long runs;
  }

  private final Map<String, Row> rows = new LinkedHashMap<>();

  private Row row(String className) {
    Row row = rows.get(className);
    if (row != null) {
      return row;
    }
    return rows.computeIfAbsent(rows.size() < MAX_CLASSES ? className : OTHERS, name -> new Row());
  }

  /** A class is known from now on, with counts of 0 where it is new. */
  void register(String className) {
    row(className);
  }

  void recordEnd(String className, End end) {
    row(className).ends[end.ordinal()]++;
  }

  void recordDispatch(String className) {
    row(className).runs++;
  }

  /** All counts by name and class, in the order in which the classes came. */
  Map<String, Object> snapshot() {
    Map<String, Object> all = new LinkedHashMap<>();
    for (End end : End.values()) {
      all.put(end.name().toLowerCase(Locale.ROOT), byClass(row -> row.ends[end.ordinal()]));
    }
    all.put("upstream_requests", byClass(row -> row.runs));
    return all;
  }

  private Map<String, Long> byClass(ToLongFunction<Row> count) {
    Map<String, Long> counts = new LinkedHashMap<>();
    rows.forEach((className, row) -> counts.put(className, count.applyAsLong(row)));
    return counts;
  }
}
