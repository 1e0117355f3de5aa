package mothwing.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The open requests in the order in which they were read, and those rejected in this batch. */
final class RequestTable {
  private final Map<String, TrackedRequest> open = new LinkedHashMap<>();
  private final Set<String> rejectedInBatch = new HashSet<>();

  void add(TrackedRequest request) {
    open.put(request.id(), request);
  }

  /** Returns an open request, or null where it has ended or was never read. */
  TrackedRequest find(String requestId) {
    return open.get(requestId);
  }

  boolean contains(String requestId) {
    return open.containsKey(requestId);
  }

  /** Removes a request; returns whether it was open. */
  boolean remove(TrackedRequest request) {
    return open.remove(request.id()) != null;
  }

  /** A view of the open requests. */
  Collection<TrackedRequest> all() {
    return Collections.unmodifiableCollection(open.values());
  }

  /** A copy of the open requests, for loops that end some of them. */
  List<TrackedRequest> snapshot() {
    return new ArrayList<>(open.values());
  }

  /** Marks a request as rejected: a repeat of it in the same batch may run. */
  void markRejected(TrackedRequest request) {
    rejectedInBatch.add(request.id());
  }

  boolean wasRejectedInBatch(String requestId) {
    return rejectedInBatch.contains(requestId);
  }

  /** Ends the batch. */
  void endBatch() {
    rejectedInBatch.clear();
  }
}
