package mothwing.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import mothwing.discovery.LoadReportProtocol.Response;
import mothwing.net.ProtocolException;
import org.junit.jupiter.api.Test;

class LoadReportProtocolTest {
  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  @Test
  void readsResponseOnceItsBodyIsComplete() throws ProtocolException {
    String head = "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n";
    ByteBuf part = bytes(head + "x");
    assertTrue(LoadReportProtocol.readResponse(part).isEmpty());
    assertEquals(head.length() + 1, part.readableBytes());
    ByteBuf complete = bytes(head + "xyz");
    Response response = LoadReportProtocol.readResponse(complete).orElseThrow();
    assertFalse(response.isAccepted() || response.isLast());
    assertEquals(1, complete.readableBytes());
  }

  @Test
  void readsClosingResponseWithoutWaitingForItsBody() throws ProtocolException {
    ByteBuf in = bytes("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
    assertEquals(new Response(204, true), LoadReportProtocol.readResponse(in).orElseThrow());
    ByteBuf chunked = bytes("HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n5");
    assertTrue(LoadReportProtocol.readResponse(chunked).orElseThrow().isLast());
  }

  @Test
  void rejectsInvalidStatusLine() {
    for (String invalid :
        new String[] {"x\r\n\r\n", "HTTP/1.1 x\r\n\r\n", "HTTP/1.1 99999\r\n\r\n"}) {
      assertThrows(ProtocolException.class, () -> LoadReportProtocol.readResponse(bytes(invalid)));
    }
  }
}
