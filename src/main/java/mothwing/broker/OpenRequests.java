package mothwing.broker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The open requests by id, in the order in which they were read. A request is open while its answer
 * is pending or the pool has a run of it.
 */
final class OpenRequests {
  private final Map<String, Exchange> byId = new LinkedHashMap<>();

  /** The open request with this id, or null. */
  Exchange get(String id) {
    return byId.get(id);
  }

  /** Adds a request; no open request may have its id. */
  void add(Exchange exchange) {
    byId.put(exchange.request().id(), exchange);
  }

  void remove(String id) {
    byId.remove(id);
  }

  /** Removes a request unless the pool still has a run of it. */
  void removeUnlessInPool(Exchange exchange) {
    if (!exchange.isInPool()) {
      byId.remove(exchange.request().id(), exchange);
    }
  }

  int size() {
    return byId.size();
  }

  /** All open requests, as a view that must not be iterated while requests are added or removed. */
  Collection<Exchange> view() {
    return Collections.unmodifiableCollection(byId.values());
  }

  /** A copy of all open requests, for loops that add or remove requests. */
  List<Exchange> snapshot() {
    return new ArrayList<>(byId.values());
  }

  /** The number of requests that wait for their answer. */
  long pendingCount() {
    return byId.values().stream().filter(Exchange::isPending).count();
  }
}
