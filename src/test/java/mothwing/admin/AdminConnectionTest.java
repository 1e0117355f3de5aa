package mothwing.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import mothwing.trial.BrokerFixture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The operators' door against a model of its calls: what is no call changes nothing. */
class AdminConnectionTest {
  private static final String[] LINES = {
    "HEALTH",
    "DUMP",
    "LEAVE",
    "JOIN",
    "LEAVE\r",
    "",
    "leave",
    "LEAVE JOIN",
    "x".repeat(AdminConnection.MAX_LINE_BYTES + 1),
    "x".repeat(5000)
  };

  private final BrokerFixture stand = new BrokerFixture();
  private final List<Boolean> told = new ArrayList<>();
  private boolean leaving;

  private final AdminOperations operations =
      new AdminOperations() {
        @Override
        public boolean isServing() {
          return !leaving;
        }

        @Override
        public String statistics() {
          return "{\"pending\":0}";
        }

        @Override
        public Optional<String> members() {
          return leaving ? Optional.empty() : Optional.of("{\"members\":[]}");
        }

        @Override
        public boolean setOutOfRotation(boolean away) {
          if (!leaving) {
            told.add(away);
          }
          return !leaving;
        }
      };

  private EmbeddedChannel call() {
    return stand.open(new AdminConnection(operations, stand.lines::add, stand.counters));
  }

  private static String reply(EmbeddedChannel channel) {
    StringBuilder all = new StringBuilder();
    channel.runPendingTasks();
    ByteBuf out;
    while ((out = channel.readOutbound()) != null) {
      all.append(out.toString(StandardCharsets.UTF_8));
      out.release();
    }
    return all.toString();
  }

  @Property(seed = "1764576015", tries = 300)
  void oneLineIsOneCallHoweverItIsCut(
      @ForAll @Size(max = 6) List<@IntRange(max = 9) Integer> lines,
      @ForAll @IntRange(max = 5) int cut,
      @ForAll boolean last) {
    List<Boolean> expected = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      leaving = last && i == lines.size() - 1;
      String line = LINES[lines.get(i)];
      EmbeddedChannel channel = call();
      byte[] bytes =
          (line + "\nJOIN\n").getBytes(StandardCharsets.US_ASCII); // a second line is not read
      int at = Math.min(cut, line.length());
      channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, at));
      assertTrue(channel.isOpen() && reply(channel).isEmpty());
      channel.writeInbound(Unpooled.copiedBuffer(bytes, at, bytes.length - at));
      String reply = reply(channel);
      assertFalse(channel.isOpen());
      String word = line.strip();
      if (word.equals("DUMP")) {
        assertEquals("{\"pending\":0}\nEND\n", reply);
      } else {
        boolean known = List.of("HEALTH", "LEAVE", "JOIN").contains(word);
        assertEquals(known && !leaving, reply.equals("YES\n"), reply);
        assertEquals(!known || leaving, reply.startsWith("NO ") && reply.endsWith("\n"), reply);
        if (known && !leaving && !word.equals("HEALTH")) {
          expected.add(word.equals("LEAVE"));
        }
      }
    }
    assertEquals(expected, told);
    assertEquals(
        lines.size(),
        stand.lines.stream()
            .filter(one -> one.startsWith("connection-closed side=management"))
            .count());
    leaving = false;
    told.clear();
    stand.lines.clear();
  }

  @Example
  void aLineWithoutAnEndIsAnsweredAtItsBound() {
    EmbeddedChannel channel = call();
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[AdminConnection.MAX_LINE_BYTES + 1]));
    assertTrue(reply(channel).startsWith("NO "));
    assertFalse(channel.isOpen());
  }
}
