package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import mothwing.discovery.LoadReporter;
import mothwing.net.Connection;
import mothwing.trial.BrokerFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The recorded reports to the announce service, and how its answers are read. */
class LoadReportWitnessTest {
  private static final String REPORTS = "announce-reports.txt";

  private final List<EmbeddedChannel> links = new ArrayList<>();
  private final BrokerFixture stand = new BrokerFixture();
  private final LoadReporter announcer =
      new LoadReporter(
          this::dial, "n1", () -> this.accepting, stand, stand.counters, stand.lines::add);
  private boolean accepting = true;
  private GoldenFile golden;

  @AfterEach
  void closeLinks() {
    links.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    links.add(stand.open(maker.get()));
  }

  private void step(String word, String rest) {
    switch (word) {
      case "start" -> announcer.start();
      case "accepting" -> accepting = Boolean.parseBoolean(rest);
      case "receive" -> {
        EmbeddedChannel newest = links.get(links.size() - 1);
        newest.writeInbound(Unpooled.wrappedBuffer(GoldenFile.bytes(rest)));
      }
      case "pass-ms" -> stand.pass(1000 * Long.parseLong(rest));
      case "close" -> links.get(links.size() - 1).close();
      case "move" -> announcer.changeAddress(this::dial);
      case "stop" -> announcer.stop();
      default -> throw new AssertionError("no step " + word);
    }
    for (EmbeddedChannel link : links) {
      golden.outputText("link " + (links.indexOf(link) + 1) + ": ", link);
    }
    golden.output("open=" + links.stream().map(EmbeddedChannel::isOpen).toList());
  }

  @Test
  void reportsAreWrittenAndAnswersReadAsRecorded() throws IOException {
    golden = new GoldenFile(REPORTS);
    golden.replay(this::step);
  }

  @Test
  void recordedReportsHoldTheValuesThatTheyWereWrittenWith() throws IOException {
    List<String> reports =
        new GoldenFile(REPORTS)
            .outputs().stream()
                .filter(line -> line.startsWith("link "))
                .map(line -> line.substring(line.indexOf(": ") + 2).translateEscapes())
                .toList();
    assertReport(reports.get(0), "true");
    assertReport(reports.get(1), "false");
  }

  private static void assertReport(String report, String accepting) {
    int end = report.indexOf("\r\n\r\n");
    List<String> head = report.substring(0, end).lines().toList();
    String body = report.substring(end + 4);
    assertEquals("PUT /announce/n1 HTTP/1.1", head.get(0));
    assertTrue(head.contains("Content-Length: " + body.length()), report);
    assertEquals(
        accepting, JsonParser.parseString(body).getAsJsonObject().get("accepting").getAsString());
  }
}
