package mothwing.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the open requests in the order in which they were read, and the requests rejected in the
 * current batch.
 */
final class RequestTable {
  private final Map<String, TrackedRequest> open = new LinkedHashMap<>();
  private final Set<String> rejectedInBatch = new HashSet<>();

  void add(TrackedRequest request) {
    open.put(request.id(), request);
  }

  /** Returns an open request, or null if it has ended or was never read. */
  TrackedRequest find(String requestId) {
    return open.get(requestId);
  }

  boolean contains(String requestId) {
    return open.containsKey(requestId);
  }

  /** Removes a request and returns whether it was open. */
  boolean remove(TrackedRequest request) {
    return open.remove(request.id()) != null;
  }

  /** Returns a read-only view of the open requests. */
  Collection<TrackedRequest> openRequests() {
    return Collections.unmodifiableCollection(open.values());
  }

  /** Returns a copy of the open requests, for loops that end some of them. */
  List<TrackedRequest> snapshot() {
    return new ArrayList<>(open.values());
  }

  /** Marks a request as rejected in this batch, so that a repeat in the same batch may run. */
  void markRejected(TrackedRequest request) {
    rejectedInBatch.add(request.id());
  }

  boolean wasRejectedInBatch(String requestId) {
    return rejectedInBatch.contains(requestId);
  }

  /** Ends the batch and clears its rejections. */
  void endBatch() {
    rejectedInBatch.clear();
  }
}
