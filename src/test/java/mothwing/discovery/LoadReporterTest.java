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
 * Reports to a service that answers some, drops links, moves or is away, against a model of its
 * list.
 */
class LoadReporterTest {
  private static final long LAPSES = 3_000_000;
  private static final String REPORT = "PUT /announce/n1 HTTP/1.1\r\n";

  private BrokerFixture stand;
  private LoadReporter reporter;
  private List<EmbeddedChannel> channels;
  private boolean away;
  private long heard;

  @BeforeTry
  void anew() {
    stand = new BrokerFixture();
    channels = new ArrayList<>();
    away = false;
    heard = 0;
    reporter =
        new LoadReporter(this::dial, "n1", () -> true, stand, stand.counters, stand.lines::add);
    reporter.start();
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    if (away) {
      failed.run();
    } else {
      channels.add(stand.open(maker.get()));
    }
  }

  /** The service reads all reports, and answers them or not. */
  private void turn(boolean answers) {
    for (EmbeddedChannel channel : List.copyOf(channels)) {
      channel.runPendingTasks();
      ByteBuf out;
      while ((out = channel.readOutbound()) != null) {
        boolean whole = out.isReadable();
        assertTrue(!whole || out.toString(StandardCharsets.US_ASCII).startsWith(REPORT));
        out.release();
        if (whole) {
          heard = stand.now();
        }
        if (whole && answers && channel.isOpen()) {
          channel.writeInbound(
              Unpooled.copiedBuffer("HTTP/1.1 204 No Content\r\n\r\n", StandardCharsets.US_ASCII));
        }
      }
    }
  }

  /** Guards against an entry that lapses as a report is waited for that gets no answer. */
  @Property(seed = "1764576006", tries = 200)
  void staysListedWhateverIsAnswered(
      @ForAll @Size(min = 20, max = 60) List<@IntRange(max = 999) Integer> steps) {
    long awaySince = 0;
    for (int step : steps) {
      switch (step % 8) {
        case 0 -> channels.forEach(EmbeddedChannel::close);
        case 1 -> reporter.changeAddress(this::dial);
        case 2 -> away = step % 16 == 2;
        default -> {}
      }
      for (int i = 0; i < 10; i++) {
        stand.pass(50_000);
        turn(step % 3 == 0);
        awaySince = away ? stand.now() : awaySince;
        assertTrue(
            stand.now() - Math.max(heard, awaySince) < LAPSES / 2, "the entry nearly lapses");
        assertTrue(
            channels.stream().filter(EmbeddedChannel::isOpen).count() <= 1, "one connection");
      }
    }
    reporter.stop();
    turn(true);
    long before = heard;
    stand.pass(LAPSES);
    turn(true);
    assertEquals(before, heard, "no report after the notice to leave");
  }

  /**
   * Guards against a connection that takes long to open, and against dials without number while the
   * service is away.
   */
  @Property(seed = "1764576031", tries = 50)
  void aDialThatHangsDoesNotLetTheEntryLapse(@ForAll @IntRange(min = 20, max = 39) int tenths) {
    List<Supplier<? extends Connection>> hanging = new ArrayList<>();
    reporter.changeAddress(
        (maker, failed) -> {
          hanging.add(maker);
          if (hanging.size() > 1) { // only the first one hangs
            channels.add(stand.open(maker.get()));
          }
        });
    heard = stand.now();
    for (int i = 0; i < 40; i++) {
      stand.pass(100_000);
      turn(true);
      assertTrue(stand.now() - heard < LAPSES / 2, "the entry nearly lapses");
      if (i == tenths) {
        channels.add(stand.open(hanging.get(0).get())); // open at last, after another
      }
    }
    turn(true);
    assertEquals(1, channels.stream().filter(EmbeddedChannel::isOpen).count(), "one connection");
    List<Runnable> ends = new ArrayList<>();
    reporter.changeAddress((maker, failed) -> ends.add(failed));
    stand.pass(20_000_000);
    assertEquals(LoadReporter.MAX_ATTEMPTS, ends.size());
    ends.get(0).run();
    stand.pass(2_000_000);
    assertEquals(LoadReporter.MAX_ATTEMPTS + 1, ends.size());
  }
}
