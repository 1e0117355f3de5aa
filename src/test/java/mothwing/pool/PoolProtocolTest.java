package mothwing.pool;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import mothwing.control.RunOutcome;
import mothwing.net.ProtocolException;
import mothwing.settings.JsonFields;
import org.junit.jupiter.api.Test;

class PoolProtocolTest {
  private static PoolNotice decode(String line) throws Exception {
    JsonFields fields = PoolProtocol.parse(line.replace('\'', '"'));
    return PoolProtocol.decode(PoolProtocol.kind(fields), fields);
  }

  @Test
  void mapsEachOutcomeCodeOfRun() throws Exception {
    String line = "{'action':'finished','uid':'a','code':'%s','wall_ms':7,'content':'eHk='}";
    RunOutcome[] outcomes = {
      RunOutcome.SUCCEEDED, RunOutcome.FAILED, RunOutcome.STOPPED, RunOutcome.NOT_STARTED
    };
    String[] codes = {"done", "crashed", "aborted", "stale"};
    for (int i = 0; i < codes.length; i++) {
      PoolNotice.RunEnded run =
          assertInstanceOf(PoolNotice.RunEnded.class, decode(line.formatted(codes[i])));
      assertEquals(outcomes[i], run.outcome());
      assertEquals(7_000, run.durationMicros());
      assertArrayEquals(i == 0 ? new byte[] {'x', 'y'} : null, run.result());
    }
    assertEquals(
        "unknown outcome of a run: other",
        assertInstanceOf(PoolNotice.UnreadableRunEnd.class, decode(line.formatted("other")))
            .cause()
            .getMessage());
  }

  /** Guards against an answer to the resynchronization query that is reported as gauges. */
  @Test
  void ignoresGaugesOfResynchronization() throws Exception {
    assertEquals(new PoolNotice.NoAction(), decode("{'action':'polled','echo':'bind'}"));
    PoolNotice.Gauges gauges =
        assertInstanceOf(
            PoolNotice.Gauges.class, decode("{'action':'polled','echo':'7','meters':[1,0.5]}"));
    assertEquals("7", gauges.echo());
    assertArrayEquals(new double[] {1, 0.5}, gauges.values());
  }

  @Test
  void rejectsRefusedStartWithoutRequest() throws Exception {
    PoolNotice.CommandRefused refused =
        assertInstanceOf(
            PoolNotice.CommandRefused.class, decode("{'action':'unknown','code':'spawn'}"));
    assertEquals(true, refused.isStart());
    assertThrows(ProtocolException.class, refused::startedRequest);
  }
}
