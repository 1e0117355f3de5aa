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

/** The recorded lines between the dependency's client and the dependency. */
class DependencyWitnessTest {
  private static final String CALLS = "ledger-calls.txt";
  private static final long SETTLING = 10_000; // microseconds: events are given in batches

  private final List<EmbeddedChannel> links = new ArrayList<>();
  private final Map<String, Exchange> asked = new HashMap<>();
  private final Map<String, Integer> supplied = new HashMap<>();
  private boolean refusing;
  private GoldenFile golden;
  private BrokerFixture stand;

  @BeforeEach
  void makeClient() {
    stand = new BrokerFixture(new NotingController());
    new DependencyConnectionManager(this::dial, stand, stand.counters, stand.lines::add)
        .attach(stand.bound().broker);
  }

  @AfterEach
  void closeLinks() {
    links.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    stand.schedule(stand.now(), refusing ? failed : () -> links.add(stand.open(maker.get())));
  }

  /** Notes how calls end. */
  private final class NotingController extends NoDecisionController {
    @Override
    public void callEnded(long now, String id, RunOutcome outcome, long took) {
      golden.output("event call ended " + id + " " + word(outcome));
    }
  }

  private static String word(RunOutcome outcome) {
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

  /** A caller whose answer is of no matter here. */
  private static final class UnreadCaller implements ResponseSink {
    @Override
    public void sendResult(byte[] result) {
      // not looked at
    }

    @Override
    public void sendRejection(boolean last, long holdOffMs) {
      // not looked at
    }

    @Override
    public void sendFailure(String code) {
      // not looked at
    }
  }

  private void step(String word, String rest) {
    String[] words = rest.split(" ", 2);
    switch (word) {
      case "begin" -> {
        asked.put(rest, stand.ask(rest, BrokerFixture.LOOK, new byte[3], new UnreadCaller()));
        stand.broker.startRun(rest);
      }
      case "blocked" -> stand.broker.runAwaitsCall(words[0], GoldenFile.bytes(words[1]));
      case "call-for-us" ->
          stand.broker.startCall(words[0], stand.now() + Long.parseLong(words[1]));
      case "gone" -> stand.broker.cancelled(asked.get(rest));
      case "receive" -> {
        EmbeddedChannel newest = links.get(links.size() - 1);
        newest.writeInbound(Unpooled.wrappedBuffer(GoldenFile.bytes(rest)));
      }
      case "close" -> links.get(links.size() - 1).close();
      case "refusing" -> refusing = Boolean.parseBoolean(rest);
      default -> throw new AssertionError("no step " + word);
    }
    stand.pass(SETTLING);
    for (EmbeddedChannel link : links) {
      golden.outputText("link " + (links.indexOf(link) + 1) + ": ", link);
    }
    stand.supplied.forEach(this::noteSupplied);
    golden.output("open=" + links.stream().map(EmbeddedChannel::isOpen).toList());
  }

  private void noteSupplied(String id, List<byte[]> results) {
    for (int at = supplied.getOrDefault(id, 0); at < results.size(); at++) {
      String text = new String(results.get(at), StandardCharsets.ISO_8859_1);
      golden.output("run " + id + " goes on with '" + GoldenFile.escaped(text) + "'");
    }
    supplied.put(id, results.size());
  }

  @Test
  void callsAreMadeAndAnswersReadAsRecorded() throws IOException {
    golden = new GoldenFile(CALLS);
    golden.replay(this::step);
  }

  @Test
  void recordedCallsHoldTheValuesThatTheyWereWrittenWith() throws IOException {
    List<String> written =
        new GoldenFile(CALLS)
            .outputs().stream()
                .filter(line -> line.startsWith("link "))
                .map(line -> line.substring(line.indexOf(": ") + 2).translateEscapes())
                .toList();
    String post = written.get(0);
    int end = post.indexOf("\r\n");
    assertEquals(
        List.of("post", "0000000000000001", "50", "8"),
        Arrays.asList(post.substring(0, end).split(" ")));
    assertEquals("question\r\n", post.substring(end + 2));
    assertTrue(written.contains("abandon 0000000000000006\r\n"), written::toString);
  }
}
