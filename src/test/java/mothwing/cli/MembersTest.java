package mothwing.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** The reply to MEMBERS as people read it. */
class MembersTest {
  @Test
  void aMemberIsALineUnderTheColumnsNames() throws IOException {
    assertEquals(
        """
                fleet cairo, seen by s1, which is alone; version 3
                  name  state  zone  address          incarnation  start  by  flapping
                  s1    alive  z1    127.0.0.1:7100   0            a1     s1  false
                  s22   dead   z2    127.0.0.12:7100  4            b2     s1  true
                """,
        Members.table(
            "{\"fleet\":\"cairo\",\"self\":\"s1\",\"state\":\"alone\",\"version\":3,\"members\":["
                + member("s1", "alive", "127.0.0.1:7100", 0, "a1", "z1", false)
                + ","
                + member("s22", "dead", "127.0.0.12:7100", 4, "b2", "z2", true)
                + "]}\nEND\n"));
    assertThrows(IOException.class, () -> Members.table("{\"fleet\":1}\nEND\n"));
  }

  private static String member(
      String name,
      String state,
      String address,
      int incarnation,
      String start,
      String zone,
      boolean flaps) {
    return String.format(
        "{\"name\":\"%s\",\"state\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"start\":\"%s\","
            + "\"incarnation\":%d,\"by\":\"s1\",\"flapping\":%s}",
        name, state, address, zone, start, incarnation, flaps);
  }
}
