package mothwing.dependency;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;

/**
 * One connection to the dependency. Calls are identified by request id, and answered in any order.
 */
final class DependencyConnection extends Connection {
  /** Bounds the abandoned calls that have no answer; at the bound no further call is made here. */
  static final int MAX_ABANDONED_CALLS = 1024;

  private final DependencyConnectionManager manager;
  private final int attempt;

  /** The start times of the pending calls by request id, the oldest first. */
  private final Map<String, Long> pendingSince = new LinkedHashMap<>();

  private final Set<String> abandoned = new LinkedHashSet<>();
  private boolean retired;
  private long awaitsAnswerSince = NEVER;

  DependencyConnection(
      DependencyConnectionManager manager, int attempt, EventLog log, Counters counters) {
    super(
        "dependency",
        DependencyProtocol.MAX_RESULT_BYTES + DependencyProtocol.MAX_LINE_BYTES,
        log,
        counters);
    this.manager = manager;
    this.attempt = attempt;
  }

  @Override
  protected void onOpened() {
    manager.opened(this, attempt);
  }

  @Override
  protected void onClosed() {
    List<String> pendingCalls = new ArrayList<>(pendingSince.keySet());
    pendingSince.clear();
    manager.ended(this, pendingCalls);
  }

  @Override
  public boolean isIdle() {
    return pendingSince.isEmpty();
  }

  /**
   * Whether no call of this request can be made here, because an answer to an earlier call of it
   * may still arrive or the connection accepts no calls at all.
   */
  boolean isUnusableFor(String requestId) {
    return isClosed() || abandoned.contains(requestId) || abandoned.size() >= MAX_ABANDONED_CALLS;
  }

  void call(String requestId, long timeoutMillis, byte[] content) {
    pendingSince.put(requestId, manager.now());
    awaitsAnswerSince = Math.min(awaitsAnswerSince, manager.now());
    String line = DependencyProtocol.callLine(requestId, timeoutMillis, content.length);
    send(
        DependencyProtocol.lineBytes(line) + content.length,
        out -> {
          DependencyProtocol.writeLine(line, out);
          DependencyProtocol.writeBlock(content, out);
        });
  }

  /** Abandons the pending call of a request, if there is one. */
  void abandon(String requestId) {
    if (pendingSince.remove(requestId) == null) {
      return;
    }
    abandoned.add(requestId);
    String line = DependencyProtocol.abandonLine(requestId);
    send(DependencyProtocol.lineBytes(line), out -> DependencyProtocol.writeLine(line, out));
    closeIfRetiredAndIdle();
  }

  /** Retires the connection: it closes when no call is pending. */
  void retire() {
    retired = true;
    closeIfRetiredAndIdle();
  }

  /**
   * Microseconds without any answer while a pending or abandoned call is unanswered, or 0 if there
   * is no such call.
   */
  long silentMicros(long now) {
    return awaitsAnswerSince == NEVER ? 0 : now - awaitsAnswerSince;
  }

  private void closeIfRetiredAndIdle() {
    if (retired && pendingSince.isEmpty()) {
      close(CloseReason.MOVED, "");
    }
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    Optional<DependencyProtocol.Answer> answer = DependencyProtocol.readAnswer(in);
    answer.ifPresent(this::answered);
    return answer.isPresent();
  }

  private void answered(DependencyProtocol.Answer answer) {
    boolean othersUnanswered = pendingSince.size() + abandoned.size() > 1;
    awaitsAnswerSince = othersUnanswered ? manager.now() : NEVER;
    String requestId = answer.requestId();
    Long since = pendingSince.remove(requestId);
    if (since != null) {
      manager.callEnded(answer, manager.now() - since);
      closeIfRetiredAndIdle();
    } else {
      count(abandoned.remove(requestId) ? "answered-late" : "answered-unrequested");
    }
  }
}
