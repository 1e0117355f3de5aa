package mothwing.broker;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Request counts by class since the start of the process, for operators. An exchange is counted
 * when it ends, and a run when it is first handed to the pool. A class that is no longer in the
 * settings keeps its counts.
 */
public final class RequestStatistics {
  /**
   * The maximum number of classes with own counts; any further class is counted as {@link #OTHERS}.
   */
  static final int MAX_CLASSES = 256;

  /** The common name of all classes beyond the bound. */
  static final String OTHERS = "others";

  /** How an exchange ended; the lower-case names are keys of the snapshot. */
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

  /** Adds a class with counts of 0, unless it is known. */
  void register(String className) {
    row(className);
  }

  void recordEnd(String className, End end) {
    row(className).ends[end.ordinal()]++;
  }

  void recordDispatch(String className) {
    row(className).runs++;
  }

  /** All counts by name and class, in the order in which the classes were added. */
  Map<String, Object> snapshot() {
    Map<String, Object> snapshot = new LinkedHashMap<>();
    for (End end : End.values()) {
      snapshot.put(end.name().toLowerCase(Locale.ROOT), byClass(row -> row.ends[end.ordinal()]));
    }
    snapshot.put("upstream_requests", byClass(row -> row.runs));
    return snapshot;
  }

  private Map<String, Long> byClass(ToLongFunction<Row> count) {
    Map<String, Long> counts = new LinkedHashMap<>();
    rows.forEach((className, row) -> counts.put(className, count.applyAsLong(row)));
    return counts;
  }
}
