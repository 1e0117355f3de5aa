package mothwing.dependency;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import mothwing.control.RunOutcome;
import mothwing.net.ProtocolException;
import org.junit.jupiter.api.Test;

class DependencyProtocolTest {
  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static RunOutcome outcome(String code) throws ProtocolException {
    return DependencyProtocol.readAnswer(bytes("a " + code + "\r\n")).orElseThrow().outcome();
  }

  @Test
  void mapsEachOutcomeCodeOfAnswer() throws ProtocolException {
    assertEquals(RunOutcome.REJECTED, outcome("queue_full"));
    assertEquals(RunOutcome.FAILED, outcome("error"));
    assertEquals(RunOutcome.TIMED_OUT, outcome("expired"));
    assertEquals(RunOutcome.NOT_STARTED, outcome("moot"));
    assertEquals(RunOutcome.SUCCEEDED, outcome("posted 0\r\n"));
    assertThrows(ProtocolException.class, () -> outcome("other"));
  }

  @Test
  void leavesAnIncompleteAnswerUnread() throws ProtocolException {
    String answer = "a posted 2\r\nxy\r\n";
    for (int length = 0; length < answer.length(); length++) {
      ByteBuf prefix = bytes(answer.substring(0, length));
      assertEquals(Optional.empty(), DependencyProtocol.readAnswer(prefix));
      assertEquals(length, prefix.readableBytes());
    }
    ByteBuf complete = bytes(answer + "b");
    assertArrayEquals(
        new byte[] {'x', 'y'}, DependencyProtocol.readAnswer(complete).orElseThrow().result());
    assertEquals(1, complete.readableBytes());
  }
}
