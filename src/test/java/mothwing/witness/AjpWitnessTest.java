package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mothwing.ajp.AjpConnection;
import mothwing.net.Connection;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import org.junit.jupiter.api.Test;

/** Checks the bytes of the AJP front, and how a gateway reads them, against recordings. */
class AjpWitnessTest {
  private static final String REQUESTS = "ajp-requests.txt";

  private static Connection connection(BrokerFixture fixture) {
    return new AjpConnection(fixture.broker, fixture.lines::add, fixture.counters);
  }

  @Test
  void requestsAreAnsweredAsRecorded() throws IOException {
    new FrontWitness(REQUESTS, AjpWitnessTest::connection).replay();
  }

  @Test
  void otherPacketsAreAnsweredAsRecorded() throws IOException {
    new FrontWitness("ajp-packets.txt", AjpWitnessTest::connection).replay();
  }

  @Test
  void gatewayReadsExpectedValuesInRecordedAnswers() throws IOException {
    Gateway.Ajp gateway = new Gateway.Ajp();
    FrontWitness.read(REQUESTS, gateway);
    List<Answer> answers = new ArrayList<>(gateway.answers);
    assertEquals(
        List.of(200, 200, 500, 503, 503, 503, 500, 500, 400, 400, 200, 503, 200, 200),
        answers.stream().map(Answer::status).toList());
    assertEquals("0.375", answers.get(1).fields().get("Feedback"));
    assertEquals(
        "made for 1\r\n", new String(answers.get(0).content(), StandardCharsets.ISO_8859_1));
    assertArrayEquals(GoldenFile.bytes("\\0\\377"), answers.get(1).content());
    answers.forEach(
        answer ->
            assertEquals(
                Integer.toString(answer.content().length), answer.fields().get("Content-Length")));
    assertTrue(gateway.refusesReuse);
  }
}
