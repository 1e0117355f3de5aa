package mothwing.witness;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.HexFormat;
import java.util.function.Function;
import mothwing.control.RunOutcome;
import mothwing.net.Connection;
import mothwing.testing.NoDecisionController;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;

/** The steps of a recorded conversation between a gateway and a front, with decisions by hand. */
final class FrontWitness {
  private static final long SETTLING = 10_000; // microseconds: events are given in batches

  private final BrokerFixture stand = new BrokerFixture(new NoDecisionController()).bound();
  private final GoldenFile golden;
  private final Function<BrokerFixture, Connection> maker;
  private EmbeddedChannel channel;

  /** Makes the steps of a recorded conversation. */
  FrontWitness(String name, Function<BrokerFixture, Connection> maker) throws IOException {
    golden = new GoldenFile(name);
    this.maker = maker;
  }

  /** Replays the conversation, and compares what the front wrote with the recorded bytes. */
  void replay() throws IOException {
    golden.replay(this::step);
    channel.finishAndReleaseAll();
  }

  /** Gives the recorded bytes of the front to a gateway. */
  static void read(String name, Gateway gateway) throws IOException {
    new GoldenFile(name)
        .outputs().stream()
            .filter(line -> !line.startsWith("open="))
            .map(HexFormat.of()::parseHex)
            .forEach(gateway::came);
  }

  private void step(String word, String rest) {
    String[] words = rest.split(" ", 2);
    switch (word) {
      case "open" -> open();
      case "send" -> send(rest);
      case "start" -> stand.broker.startRun(rest);
      case "done" -> finish(words, RunOutcome.SUCCEEDED);
      case "crashed" -> finish(words, RunOutcome.FAILED);
      case "refuse" -> stand.broker.rejectRequest(rest, false, 0);
      case "refuse-for-ms" ->
          stand.broker.rejectRequest(words[0], false, 1000 * Long.parseLong(words[1]));
      case "refuse-last" -> stand.broker.rejectRequest(rest, true, 0);
      case "fail" -> stand.broker.failRequest(rest);
      case "say" -> stand.broker.publishFreeValue(Double.parseDouble(rest));
      case "leave" -> stand.broker.setOutOfRotation(true);
      case "join" -> stand.broker.setOutOfRotation(false);
      case "drain" -> stand.broker.drain(stand.now(), stand.now() + 3_000_000, false);
      default -> throw new AssertionError("no step " + word);
    }
    stand.pass(SETTLING);
    golden.outputHex(channel);
    golden.output("open=" + channel.isOpen());
  }

  private void open() {
    if (channel != null) {
      channel.finishAndReleaseAll();
    }
    channel = stand.open(maker.apply(stand));
  }

  private void send(String digits) {
    channel.writeInbound(Unpooled.wrappedBuffer(GoldenFile.hex(digits)));
  }

  private void finish(String[] words, RunOutcome outcome) {
    byte[] result = words.length > 1 ? GoldenFile.bytes(words[1]) : new byte[0];
    stand.running.put(words[0], result);
    stand.finish(words[0], outcome);
  }
}
