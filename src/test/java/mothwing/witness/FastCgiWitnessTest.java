package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.net.Connection;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import org.junit.jupiter.api.Test;

/** Checks the bytes of the FastCGI front, and how a gateway reads them, against recordings. */
class FastCgiWitnessTest {
  private static final String REQUESTS = "fastcgi-requests.txt";
  private static final String RECORDS = "fastcgi-records.txt";

  private static Connection connection(BrokerFixture fixture) {
    return new FastCgiConnection(fixture.broker, fixture.lines::add, fixture.counters);
  }

  @Test
  void requestsAreAnsweredAsRecorded() throws IOException {
    new FrontWitness(REQUESTS, FastCgiWitnessTest::connection).replay();
  }

  @Test
  void otherRecordsAreAnsweredAsRecorded() throws IOException {
    new FrontWitness(RECORDS, FastCgiWitnessTest::connection).replay();
  }

  @Test
  void gatewayReadsExpectedValuesInRecordedAnswers() throws IOException {
    Gateway gateway = new Gateway.FastCgi();
    FrontWitness.read(REQUESTS, gateway);
    List<Answer> answers = new ArrayList<>(gateway.answers);
    assertEquals(
        List.of(200, 200, 500, 503, 503, 503, 500, 500, 500, 400, 400, 413, 200, 200, 503, 200),
        answers.stream().map(Answer::status).toList());
    assertEquals(1, answers.get(0).id());
    assertEquals("0.0", answers.get(0).fields().get("Feedback"));
    assertEquals("0.375", answers.get(1).fields().get("Feedback"));
    assertEquals("made for 1\r\n", text(answers.get(0)));
    assertArrayEquals(GoldenFile.bytes("\\0\\377"), answers.get(1).content());
    assertEquals("crashed", text(answers.get(2)));
    answers.forEach(
        answer ->
            assertEquals(
                Integer.toString(answer.content().length), answer.fields().get("Content-Length")));
  }

  @Test
  void recordedValuesAnswerTheQuery() throws IOException {
    String first = new GoldenFile(RECORDS).outputs().get(1);
    String text = new String(GoldenFile.hex(first), StandardCharsets.ISO_8859_1);
    assertTrue(text.endsWith("\15\4FCGI_MAX_REQS4096\16\4FCGI_MAX_CONNS4096\17\1FCGI_MPXS_CONNS1"));
  }

  private static String text(Answer answer) {
    return new String(answer.content(), StandardCharsets.ISO_8859_1);
  }
}
