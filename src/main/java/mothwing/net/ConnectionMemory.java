package mothwing.net;

import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mothwing.broker.Counters;

/**
 * Bounds the memory that all client connections of one event loop hold together for received bytes,
 * for incomplete requests and for answers that are not read. Decoded complete requests are not
 * counted; their number is bounded. When the limit is exceeded, input that is not decoded yet is
 * decoded, so that complete requests are answered; then the connections that hold most are
 * reclaimed first, until the sum is below the low-water mark. Sizes are compared by powers of two,
 * so while all can be reclaimed, none is that holds less than half of the low-water mark divided by
 * their number. Used on its event loop's thread only.
 */
public final class ConnectionMemory {
  private static final int HEAP_SHARE = 8;
  private static final int DIRECT_MEMORY_SHARE = 3;
  private static final double LOW_WATER_RATIO = 0.875;
  private static final double READ_AHEAD_RATIO = 0.25;

  /**
   * Largest holders first. Among connections of about the same size, the one whose request has been
   * incomplete for longest: a request that is still arriving is complete soon.
   */
  private static final Comparator<Connection> RECLAIM_ORDER =
      Comparator.<Connection>comparingLong(held -> -Long.highestOneBit(held.memory().bytes()))
          .thenComparingLong(OpenRequests::incompleteRequestSince);

  private final long limitBytes;
  private final Counters counters;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private long heldBytes;
  private boolean reclaiming;

  /**
   * Creates an account without connections.
   *
   * @param limitBytes most bytes that all connections may hold together
   * @param counters the counters to increment
   */
  public ConnectionMemory(long limitBytes, Counters counters) {
    this.limitBytes = limitBytes;
    this.counters = counters;
  }

  /**
   * Returns the limit for this process: shares of the heap, which holds parts of requests, and of
   * the direct memory, which holds bytes that are not decoded or not sent.
   *
   * @return bytes
   */
  public static long defaultLimitBytes() {
    return Math.min(
        Runtime.getRuntime().maxMemory() / HEAP_SHARE,
        PlatformDependent.estimateMaxDirectMemory() / DIRECT_MEMORY_SHARE);
  }

  /** Adds a connection that holds nothing. */
  void add(Connection connection) {
    connections.add(connection);
    connection.memory().setAccount(this);
  }

  /** Removes a connection that has ended, and all that it held. */
  void remove(Connection connection) {
    if (connections.remove(connection)) {
      heldBytes -= connection.memory().bytes();
      connection.memory().setAccount(null);
    }
  }

  /** Returns the bytes that all connections hold. */
  long heldBytes() {
    return heldBytes;
  }

  /**
   * Records that one of the connections holds more or fewer bytes.
   *
   * @param difference the change in bytes
   */
  void adjust(long difference) {
    heldBytes += difference;
  }

  /** Returns whether there is memory for input that is not decoded at once. */
  boolean permitsReadAhead() {
    return heldBytes <= limitBytes * READ_AHEAD_RATIO;
  }

  /** Reclaims memory if the limit is exceeded. */
  void enforceLimit() {
    if (heldBytes <= limitBytes || reclaiming) {
      return;
    }
    reclaiming = true;
    try {
      reclaim();
    } finally {
      reclaiming = false;
    }
  }

  private void reclaim() {
    for (Connection candidate : candidates()) {
      if (isBelowLowWater()) {
        return;
      }
      candidate.memory().decodeInput();
    }
    for (Connection candidate : candidates()) {
      if (isBelowLowWater() || candidate.memory().bytes() == 0) {
        return;
      }
      counters.add("connections-reclaimed");
      candidate.memory().reclaim();
    }
  }

  private List<Connection> candidates() {
    List<Connection> candidates = new ArrayList<>(connections);
    candidates.forEach(candidate -> candidate.memory().update());
    candidates.sort(RECLAIM_ORDER);
    return candidates;
  }

  private boolean isBelowLowWater() {
    return heldBytes <= limitBytes * LOW_WATER_RATIO;
  }
}
