package mothwing.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import mothwing.net.Connection;
import mothwing.trial.BrokerFixture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Tests reports to a discovery service that leaves some unanswered, drops connections, changes its
 * address or is unreachable. The entry on its list must be renewed within half of its lifetime.
 */
class LoadReporterTest {
  private static final long ENTRY_LIFETIME_MICROS = 3_000_000;
  private static final String REPORT = "PUT /announce/n1 HTTP/1.1\r\n";

  private BrokerFixture fixture;
  private LoadReporter reporter;
  private List<EmbeddedChannel> channels;
  private boolean unreachable;
  private long lastReportAt;

  @BeforeTry
  void startReporter() {
    fixture = new BrokerFixture();
    channels = new ArrayList<>();
    unreachable = false;
    lastReportAt = 0;
    reporter =
        new LoadReporter(
            this::connect, "n1", () -> true, fixture, fixture.counters, fixture.lines::add);
    reporter.start();
  }

  private void connect(Supplier<? extends Connection> connection, Runnable failed) {
    if (unreachable) {
      failed.run();
    } else {
      channels.add(fixture.open(connection.get()));
    }
  }

  /** Lets the service read all reports, and optionally respond to them. */
  private void readReports(boolean responds) {
    for (EmbeddedChannel channel : List.copyOf(channels)) {
      channel.runPendingTasks();
      ByteBuf out;
      while ((out = channel.readOutbound()) != null) {
        boolean isReport = out.isReadable();
        assertTrue(!isReport || out.toString(StandardCharsets.US_ASCII).startsWith(REPORT));
        out.release();
        if (isReport) {
          lastReportAt = fixture.now();
        }
        if (isReport && responds && channel.isOpen()) {
          channel.writeInbound(
              Unpooled.copiedBuffer("HTTP/1.1 204 No Content\r\n\r\n", StandardCharsets.US_ASCII));
        }
      }
    }
  }

  /**
   * Guards against a list entry that expires while the response to an earlier report is awaited.
   */
  @Property(seed = "1764576006", tries = 200)
  void keepsListEntryWhicheverReportsAreAnswered(
      @ForAll @Size(min = 20, max = 60) List<@IntRange(max = 999) Integer> steps) {
    long unreachableSince = 0;
    for (int step : steps) {
      switch (step % 8) {
        case 0 -> channels.forEach(EmbeddedChannel::close);
        case 1 -> reporter.changeAddress(this::connect);
        case 2 -> unreachable = step % 16 == 2;
        default -> {}
      }
      for (int i = 0; i < 10; i++) {
        fixture.pass(50_000);
        readReports(step % 3 == 0);
        unreachableSince = unreachable ? fixture.now() : unreachableSince;
        assertTrue(
            fixture.now() - Math.max(lastReportAt, unreachableSince) < ENTRY_LIFETIME_MICROS / 2,
            "no report for half of the entry's lifetime");
        assertTrue(
            channels.stream().filter(EmbeddedChannel::isOpen).count() <= 1,
            "at most one connection");
      }
    }
    reporter.stop();
    readReports(true);
    long lastReportAtStop = lastReportAt;
    fixture.pass(ENTRY_LIFETIME_MICROS);
    readReports(true);
    assertEquals(lastReportAtStop, lastReportAt, "no report after the stop");
  }

  /**
   * Guards against a list entry that expires while a connection takes long to open, and against an
   * unbounded number of connect attempts while the service is unreachable.
   */
  @Property(seed = "1764576031", tries = 50)
  void keepsListEntryWhileConnectHangs(@ForAll @IntRange(min = 20, max = 39) int openedAtStep) {
    List<Supplier<? extends Connection>> attempts = new ArrayList<>();
    reporter.changeAddress(
        (connection, failed) -> {
          attempts.add(connection);
          // Only the first attempt hangs.
          if (attempts.size() > 1) {
            channels.add(fixture.open(connection.get()));
          }
        });
    lastReportAt = fixture.now();
    for (int i = 0; i < 40; i++) {
      fixture.pass(100_000);
      readReports(true);
      assertTrue(
          fixture.now() - lastReportAt < ENTRY_LIFETIME_MICROS / 2,
          "no report for half of the entry's lifetime");
      if (i == openedAtStep) {
        // The first connection opens after another one.
        channels.add(fixture.open(attempts.get(0).get()));
      }
    }
    readReports(true);
    assertEquals(
        1,
        channels.stream().filter(EmbeddedChannel::isOpen).count(),
        "exactly one connection is open");
    List<Runnable> failures = new ArrayList<>();
    reporter.changeAddress((connection, failed) -> failures.add(failed));
    fixture.pass(20_000_000);
    assertEquals(LoadReporter.MAX_CONNECT_ATTEMPTS, failures.size());
    failures.get(0).run();
    fixture.pass(2_000_000);
    assertEquals(LoadReporter.MAX_CONNECT_ATTEMPTS + 1, failures.size());
  }
}
