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

/** Checks the load reports and the reading of their answers against recordings. */
class LoadReportWitnessTest {
  private static final String REPORTS = "announce-reports.txt";

  private final List<EmbeddedChannel> connections = new ArrayList<>();
  private final BrokerFixture fixture = new BrokerFixture();
  private final LoadReporter reporter =
      new LoadReporter(
          this::dial, "n1", () -> this.accepting, fixture, fixture.counters, fixture.lines::add);
  private boolean accepting = true;
  private GoldenFile golden;

  @AfterEach
  void closeConnections() {
    connections.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> factory, Runnable onFailure) {
    connections.add(fixture.open(factory.get()));
  }

  private void runStep(String command, String argument) {
    switch (command) {
      case "start" -> reporter.start();
      case "accepting" -> accepting = Boolean.parseBoolean(argument);
      case "receive" -> {
        EmbeddedChannel newest = connections.get(connections.size() - 1);
        newest.writeInbound(Unpooled.wrappedBuffer(GoldenFile.bytes(argument)));
      }
      case "pass-ms" -> fixture.pass(1000 * Long.parseLong(argument));
      case "close" -> connections.get(connections.size() - 1).close();
      case "move" -> reporter.changeAddress(this::dial);
      case "stop" -> reporter.stop();
      default -> throw new AssertionError("unknown step " + command);
    }
    for (EmbeddedChannel connection : connections) {
      golden.outputText("link " + (connections.indexOf(connection) + 1) + ": ", connection);
    }
    golden.output("open=" + connections.stream().map(EmbeddedChannel::isOpen).toList());
  }

  @Test
  void writesReportsAndReadsAnswersAsRecorded() throws IOException {
    golden = new GoldenFile(REPORTS);
    golden.replay(this::runStep);
  }

  @Test
  void recordedReportsContainExpectedValues() throws IOException {
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
    int headEnd = report.indexOf("\r\n\r\n");
    List<String> head = report.substring(0, headEnd).lines().toList();
    String body = report.substring(headEnd + 4);
    assertEquals("PUT /announce/n1 HTTP/1.1", head.get(0));
    assertTrue(head.contains("Content-Length: " + body.length()), report);
    assertEquals(
        accepting, JsonParser.parseString(body).getAsJsonObject().get("accepting").getAsString());
  }
}
