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
import mothwing.OverloadControl.Outcome;
import mothwing.broker.Caller;
import mothwing.broker.Exchange;
import mothwing.lab.Stand;
import mothwing.ledger.Ledger;
import mothwing.net.Connection;
import mothwing.testing.Undecided;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The recorded lines between the dependency's client and the dependency. */
class LedgerWitnessTest {
  private static final String CALLS = "ledger-calls.txt";
  private static final long SETTLING = 10_000; // microseconds: events are given in batches

  private final List<EmbeddedChannel> links = new ArrayList<>();
  private final Map<String, Exchange> asked = new HashMap<>();
  private final Map<String, Integer> supplied = new HashMap<>();
  private boolean refusing;
  private GoldenFile golden;
  private Stand stand;

  @BeforeEach
  void makeClient() {
    stand = new Stand(new NotingController());
    new Ledger(this::dial, stand, stand.counters, stand.lines::add).serve(stand.bound().broker);
  }

  @AfterEach
  void closeLinks() {
    links.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    stand.at(stand.now(), refusing ? failed : () -> links.add(stand.open(maker.get())));
  }

  /** Notes how calls end. */
  private final class NotingController extends Undecided {
    @Override
    public void callEnded(long now, String id, Outcome outcome, long took) {
      golden.output("event call ended " + id + " " + word(outcome));
    }
  }

  private static String word(Outcome outcome) {
    return switch (outcome) {
      case GOOD -> "well";
      case DECLINED -> "declined";
      case FAILED -> "badly";
      case TIMED_OUT -> "timed out";
      case UNREACHED -> "unreached";
      case CUT -> "cut";
      case MOOT -> "not started";
      default -> "otherwise";
    };
  }

  /** A caller whose answer is of no matter here. */
  private static final class UnreadCaller implements Caller {
    @Override
    public void served(byte[] result) {
      // not looked at
    }

    @Override
    public void refused(boolean last, long holdOffMs) {
      // not looked at
    }

    @Override
    public void failed(String code) {
      // not looked at
    }
  }

  private void step(String word, String rest) {
    String[] words = rest.split(" ", 2);
    switch (word) {
      case "begin" -> {
        asked.put(rest, stand.ask(rest, Stand.LOOK, new byte[3], new UnreadCaller()));
        stand.broker.start(rest);
      }
      case "blocked" -> stand.broker.blocked(words[0], GoldenFile.bytes(words[1]));
      case "call-for-us" -> stand.broker.call(words[0], stand.now() + Long.parseLong(words[1]));
      case "gone" -> stand.broker.gone(asked.get(rest));
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
