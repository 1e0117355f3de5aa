package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;
import mothwing.control.RunOutcome;
import mothwing.dependency.DependencyConnectionManager;
import mothwing.net.Connection;
import mothwing.testing.NoDecisionController;
import mothwing.trial.BrokerFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the lines between the dependency client and the dependency against recordings. */
class DependencyWitnessTest {
  private static final String CALLS = "ledger-calls.txt";

  /** Time after each step, long enough for the events of a batch to be delivered. */
  private static final long SETTLING_MICROS = 10_000;

  private final List<EmbeddedChannel> connections = new ArrayList<>();
  private final Map<String, Exchange> exchanges = new HashMap<>();
  private final Map<String, Integer> supplied = new HashMap<>();
  private boolean refusesConnections;
  private GoldenFile golden;
  private BrokerFixture fixture;

  @BeforeEach
  void createClient() {
    fixture = new BrokerFixture(new RecordingController());
    new DependencyConnectionManager(this::dial, fixture, fixture.counters, fixture.lines::add)
        .attach(fixture.bound().broker);
  }

  @AfterEach
  void closeConnections() {
    connections.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> factory, Runnable onFailure) {
    fixture.schedule(
        fixture.now(),
        refusesConnections ? onFailure : () -> connections.add(fixture.open(factory.get())));
  }

  /** Records how calls end. */
  private final class RecordingController extends NoDecisionController {
    @Override
    public void callEnded(long now, String id, RunOutcome outcome, long durationMicros) {
      golden.output("event call ended " + id + " " + recordedName(outcome));
    }
  }

  private static String recordedName(RunOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> "well";
      case REJECTED -> "declined";
      case FAILED -> "badly";
      case TIMED_OUT -> "timed out";
      case UNREACHABLE -> "unreached";
      case CONNECTION_LOST -> "cut";
      case NOT_STARTED -> "not started";
      default -> "otherwise";
    };
  }

  /** Discards the response to a request. */
  private static final class DiscardingSink implements ResponseSink {
    @Override
    public void sendResult(byte[] result) {
      // discarded
    }

    @Override
    public void sendRejection(boolean last, long holdOffMillis) {
      // discarded
    }

    @Override
    public void sendFailure(String code) {
      // discarded
    }
  }

  private void runStep(String command, String argument) {
    String[] arguments = argument.split(" ", 2);
    switch (command) {
      case "begin" -> {
        exchanges.put(
            argument, fixture.ask(argument, BrokerFixture.LOOK, new byte[3], new DiscardingSink()));
        fixture.broker.startRun(argument);
      }
      case "blocked" -> fixture.broker.runAwaitsCall(arguments[0], GoldenFile.bytes(arguments[1]));
      case "call-for-us" ->
          fixture.broker.startCall(arguments[0], fixture.now() + Long.parseLong(arguments[1]));
      case "gone" -> fixture.broker.cancelled(exchanges.get(argument));
      case "receive" -> {
        EmbeddedChannel newest = connections.get(connections.size() - 1);
        newest.writeInbound(Unpooled.wrappedBuffer(GoldenFile.bytes(argument)));
      }
      case "close" -> connections.get(connections.size() - 1).close();
      case "refusing" -> refusesConnections = Boolean.parseBoolean(argument);
      default -> throw new AssertionError("unknown step " + command);
    }
    fixture.pass(SETTLING_MICROS);
    for (EmbeddedChannel connection : connections) {
      golden.outputText("link " + (connections.indexOf(connection) + 1) + ": ", connection);
    }
    fixture.supplied.forEach(this::recordSupplied);
    golden.output("open=" + connections.stream().map(EmbeddedChannel::isOpen).toList());
  }

  private void recordSupplied(String id, List<byte[]> results) {
    for (int i = supplied.getOrDefault(id, 0); i < results.size(); i++) {
      String text = new String(results.get(i), StandardCharsets.ISO_8859_1);
      golden.output("run " + id + " goes on with '" + GoldenFile.escaped(text) + "'");
    }
    supplied.put(id, results.size());
  }

  @Test
  void writesCallsAndReadsAnswersAsRecorded() throws IOException {
    golden = new GoldenFile(CALLS);
    golden.replay(this::runStep);
  }

  @Test
  void recordedCallsContainExpectedValues() throws IOException {
    List<String> written =
        new GoldenFile(CALLS)
            .outputs().stream()
                .filter(line -> line.startsWith("link "))
                .map(line -> line.substring(line.indexOf(": ") + 2).translateEscapes())
                .toList();
    String post = written.get(0);
    int lineEnd = post.indexOf("\r\n");
    assertEquals(
        List.of("post", "0000000000000001", "50", "8"),
        Arrays.asList(post.substring(0, lineEnd).split(" ")));
    assertEquals("question\r\n", post.substring(lineEnd + 2));
    assertTrue(written.contains("abandon 0000000000000006\r\n"), written::toString);
  }
}
