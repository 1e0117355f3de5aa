package mothwing.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import mothwing.control.RunOutcome;

/**
 * The repeats of requests with an idempotency key that wait for the result of the original run. A
 * repeat whose original was never run is rejected, since nothing of it ran either.
 */
final class Replays {
  private final OpenRequests open;
  private final IdempotencyKeys keys;
  private final RequestAnswers answers;
  private final EventBatcher events;
  private final Counters counters;
  private final Map<String, IdempotencyKeys.Entry> originalsByRepeatId = new LinkedHashMap<>();

  Replays(
      OpenRequests open,
      IdempotencyKeys keys,
      RequestAnswers answers,
      EventBatcher events,
      Counters counters) {
    this.open = open;
    this.keys = keys;
    this.answers = answers;
    this.events = events;
    this.counters = counters;
  }

  /** Answers a repeat with the result of its original, at once or when the original ends. */
  void replay(String id) {
    Exchange repeat = open.get(id);
    if (repeat == null || !repeat.isPending()) {
      return;
    }
    IdempotencyKeys.Entry original = keys.findOriginal(repeat);
    if (original != null) {
      originalsByRepeatId.put(id, original);
      answerRepeatsOfEndedOriginals();
    }
  }

  /** Answers the repeats whose original has ended, and drops those that no longer wait. */
  void answerRepeatsOfEndedOriginals() {
    for (Map.Entry<String, IdempotencyKeys.Entry> entry :
        new ArrayList<>(originalsByRepeatId.entrySet())) {
      String id = entry.getKey();
      Exchange repeat = open.get(id);
      boolean isWaiting = repeat != null && repeat.isPending();
      if (isWaiting && entry.getValue().isUnfinished()) {
        continue;
      }
      originalsByRepeatId.remove(id);
      if (isWaiting) {
        answer(repeat, entry.getValue());
      }
    }
  }

  private void answer(Exchange repeat, IdempotencyKeys.Entry original) {
    counters.add(CounterNames.REPLAYED);
    boolean hasResult = original.result() != null;
    if (hasResult) {
      answers.complete(repeat, original.result());
    } else if (original.isRunStarted()) {
      answers.fail(repeat, FailureReason.ORIGINAL_FAILED);
    } else {
      answers.reject(repeat, RejectionReason.ORIGINAL_NEVER_RAN, false, 0);
    }
    String id = repeat.request().id();
    open.remove(id);
    RunOutcome outcome = hasResult ? RunOutcome.SUCCEEDED : RunOutcome.FAILED;
    events.enqueue((receiver, at) -> receiver.runEnded(at, id, outcome, 0));
  }
}
