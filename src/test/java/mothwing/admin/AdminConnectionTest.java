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

/**
 * Compares admin connections with a model of the commands: a line that is no command changes
 * nothing.
 */
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

  private final BrokerFixture fixture = new BrokerFixture();
  private final List<Boolean> rotationChanges = new ArrayList<>();
  private boolean draining;

  private final AdminOperations operations =
      new AdminOperations() {
        @Override
        public boolean isServing() {
          return !draining;
        }

        @Override
        public String statistics() {
          return "{\"pending\":0}";
        }

        @Override
        public Optional<String> members() {
          return draining ? Optional.empty() : Optional.of("{\"members\":[]}");
        }

        @Override
        public boolean setOutOfRotation(boolean outOfRotation) {
          if (!draining) {
            rotationChanges.add(outOfRotation);
          }
          return !draining;
        }
      };

  private EmbeddedChannel connect() {
    return fixture.open(new AdminConnection(operations, fixture.lines::add, fixture.counters));
  }

  private static String reply(EmbeddedChannel channel) {
    StringBuilder received = new StringBuilder();
    channel.runPendingTasks();
    ByteBuf out;
    while ((out = channel.readOutbound()) != null) {
      received.append(out.toString(StandardCharsets.UTF_8));
      out.release();
    }
    return received.toString();
  }

  @Property(seed = "1764576015", tries = 300)
  void executesOneCommandHoweverItsLineIsSplit(
      @ForAll @Size(max = 6) List<@IntRange(max = 9) Integer> lines,
      @ForAll @IntRange(max = 5) int split,
      @ForAll boolean drainBeforeLast) {
    List<Boolean> expected = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      draining = drainBeforeLast && i == lines.size() - 1;
      String line = LINES[lines.get(i)];
      EmbeddedChannel channel = connect();
      // The second line must be ignored.
      byte[] bytes = (line + "\nJOIN\n").getBytes(StandardCharsets.US_ASCII);
      int splitAt = Math.min(split, line.length());
      channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, splitAt));
      assertTrue(channel.isOpen() && reply(channel).isEmpty());
      channel.writeInbound(Unpooled.copiedBuffer(bytes, splitAt, bytes.length - splitAt));
      String reply = reply(channel);
      assertFalse(channel.isOpen());
      String commandName = line.strip();
      if (commandName.equals("DUMP")) {
        assertEquals("{\"pending\":0}\nEND\n", reply);
      } else {
        boolean isCommand = List.of("HEALTH", "LEAVE", "JOIN").contains(commandName);
        assertEquals(isCommand && !draining, reply.equals("YES\n"), reply);
        assertEquals(
            !isCommand || draining, reply.startsWith("NO ") && reply.endsWith("\n"), reply);
        if (isCommand && !draining && !commandName.equals("HEALTH")) {
          expected.add(commandName.equals("LEAVE"));
        }
      }
    }
    assertEquals(expected, rotationChanges);
    assertEquals(
        lines.size(),
        fixture.lines.stream()
            .filter(entry -> entry.startsWith("connection-closed side=management"))
            .count());
    draining = false;
    rotationChanges.clear();
    fixture.lines.clear();
  }

  @Example
  void answersUnterminatedLineThatExceedsItsBound() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[AdminConnection.MAX_LINE_BYTES + 1]));
    assertTrue(reply(channel).startsWith("NO "));
    assertFalse(channel.isOpen());
  }
}
