package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import mothwing.broker.InboundRequest;
import org.junit.jupiter.api.Test;

/** The names of request fields on the wire, and the error codes for invalid ones. */
class RequestFieldsTest {
  private static final byte[] BODY = {1, 2};

  private static RequestFields fields() {
    RequestFields fields = new RequestFields();
    fields.set("Trace-Id", "00000000000000aF");
    fields.set("accepted-at-ms", "1700");
    fields.set("client-no", "3");
    fields.set("project", "p");
    fields.set("reserve-kb", "1.5e2");
    fields.set("standing", "0.25");
    fields.set("lookup-key", "l");
    fields.set("replay-key", "r");
    fields.set("max-wait-ms", "40");
    return fields;
  }

  @Test
  void readsEveryFieldByItsNameOnTheWire() throws Exception {
    InboundRequest request = fields().toRequest("/call/order", BODY);
    InboundRequest expected =
        new InboundRequest("00000000000000aF", 1700, "p", "order", 150, 0.25, "l", "r", 40, BODY);
    assertEquals(expected, request);
    assertArrayEquals(BODY, request.body());
  }

  @Test
  void namesInvalidFieldInErrorCode() {
    Map.of(
            "trace-id", "xyz",
            "accepted-at-ms", "-1",
            "client-no", "",
            "reserve-kb", "2000",
            "standing", "1",
            "replay-key", "r".repeat(InboundRequest.MAX_KEY_CHARS + 1),
            "max-wait-ms", "1.5")
        .forEach(
            (name, value) -> {
              RequestFields fields = fields();
              fields.set(name, value);
              InvalidRequestException error =
                  assertThrows(
                      InvalidRequestException.class, () -> fields.toRequest("/call/order", BODY));
              assertEquals("bad-" + name, error.getMessage());
            });
    assertEquals(
        "bad-path",
        assertThrows(InvalidRequestException.class, () -> fields().toRequest("/order", BODY))
            .getMessage());
  }
}
