package mothwing.broker;

import static mothwing.broker.Exchange.State.ANSWERED;
import static mothwing.broker.Exchange.State.CANCELLED;
import static mothwing.broker.Exchange.State.HELD;
import static mothwing.broker.Exchange.State.PAUSED;
import static mothwing.broker.Exchange.State.READ;
import static mothwing.broker.Exchange.State.RUNNING;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the states of a request, and the record of its run in the pool. */
class ExchangeTest {
  /** For each state, the states after the events in their order in {@link Exchange.Event}. */
  private static final Map<Exchange.State, List<Exchange.State>> TRANSITIONS =
      new EnumMap<>(
          Map.of(
              READ, List.of(HELD, RUNNING, RUNNING, PAUSED, HELD, ANSWERED, CANCELLED),
              HELD, List.of(HELD, RUNNING, RUNNING, PAUSED, HELD, ANSWERED, CANCELLED),
              RUNNING, List.of(RUNNING, RUNNING, RUNNING, PAUSED, HELD, ANSWERED, CANCELLED),
              PAUSED, List.of(PAUSED, RUNNING, RUNNING, PAUSED, HELD, ANSWERED, CANCELLED),
              ANSWERED,
                  List.of(ANSWERED, ANSWERED, ANSWERED, ANSWERED, ANSWERED, ANSWERED, ANSWERED),
              CANCELLED,
                  List.of(
                      CANCELLED, CANCELLED, CANCELLED, CANCELLED, CANCELLED, CANCELLED,
                      CANCELLED)));

  private final List<String> answers = new ArrayList<>();

  private Exchange exchange() {
    ResponseSink caller =
        new ResponseSink() {
          @Override
          public void sendResult(byte[] result) {
            answers.add("result");
          }

          @Override
          public void sendRejection(boolean dontRetry, long retryAfterMillis) {
            answers.add("rejection " + dontRetry + " " + retryAfterMillis);
          }

          @Override
          public void sendFailure(String code) {
            answers.add("failure " + code);
          }
        };
    InboundRequest request =
        new InboundRequest("1", 0, "", "look", 1, 0, null, null, 0, new byte[0]);
    return new Exchange(
        request, caller, new Exchange.Times(0, 0, 1), new Exchange.Handling(false, 0, -1, 0));
  }

  private static void apply(Exchange exchange, Exchange.Event event) {
    switch (event) {
      case REPORTED -> exchange.reported();
      case RUN_STARTED -> exchange.runStarted(0, true);
      case RUN_RESUMED -> exchange.runResumed(0);
      case RUN_PAUSED -> exchange.runStopped(true);
      case RUN_ABORTED -> exchange.runStopped(false);
      case ANSWERED -> exchange.complete(new byte[0]);
      case CANCELLED -> exchange.cancel();
    }
  }

  private static void bringTo(Exchange exchange, Exchange.State state) {
    switch (state) {
      case READ -> {}
      case HELD -> apply(exchange, Exchange.Event.REPORTED);
      case RUNNING -> apply(exchange, Exchange.Event.RUN_STARTED);
      case PAUSED -> apply(exchange, Exchange.Event.RUN_PAUSED);
      case ANSWERED -> apply(exchange, Exchange.Event.ANSWERED);
      case CANCELLED -> apply(exchange, Exchange.Event.CANCELLED);
    }
  }

  /**
   * Guards against a second answer, an answer after a cancellation, and a transition that is not in
   * the table.
   */
  @Test
  void followsTransitionTableForEveryEventInEveryState() {
    for (Exchange.State state : Exchange.State.values()) {
      for (Exchange.Event event : Exchange.Event.values()) {
        Exchange exchange = exchange();
        bringTo(exchange, state);
        assertEquals(state, exchange.state());
        answers.clear();
        apply(exchange, event);
        String context = state + " " + event;
        assertEquals(TRANSITIONS.get(state).get(event.ordinal()), exchange.state(), context);
        boolean isFinal = state == ANSWERED || state == CANCELLED;
        boolean answered = event == Exchange.Event.ANSWERED && !isFinal;
        assertEquals(answered ? List.of("result") : List.of(), answers, context);
      }
    }
  }

  @Test
  void sendsOnlyFirstAnswer() {
    Exchange rejected = exchange();
    assertEquals(List.of(true, false), List.of(rejected.reject(true, 5), rejected.cancel()));
    Exchange failed = exchange();
    assertEquals(
        List.of(true, false),
        List.of(failed.fail(FailureReason.CRASHED), failed.complete(new byte[0])));
    assertEquals(List.of("rejection true 5", "failure crashed"), answers);
  }

  /** Guards against a run that is dropped when its request ends, while the pool still has it. */
  @Test
  void keepsRunAfterAnswerUntilPoolReportsItsEnd() {
    Exchange exchange = exchange();
    exchange.runStarted(0, true);
    exchange.cancel();
    assertEquals(true, exchange.isInPool());
    exchange.runEnded();
    assertEquals(false, exchange.isInPool());
    assertEquals(true, exchange.mustNotRunAgain());
  }

  @Test
  void reportsFirstStartThatIsWrittenToConnection() {
    Exchange exchange = exchange();
    assertEquals(
        List.of(false, true, false),
        List.of(
            exchange.runStarted(0, false),
            exchange.runStarted(1, true),
            exchange.runStarted(2, true)));
  }
}
