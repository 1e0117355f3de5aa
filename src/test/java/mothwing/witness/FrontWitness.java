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

/** Replays recorded conversations between a gateway and a front; their steps make the decisions. */
final class FrontWitness {

  /** Time after each step, long enough for the events of a batch to be delivered. */
  private static final long SETTLING_MICROS = 10_000;

  private final BrokerFixture fixture = new BrokerFixture(new NoDecisionController()).bound();
  private final GoldenFile golden;
  private final Function<BrokerFixture, Connection> connectionFactory;
  private EmbeddedChannel channel;

  /** Reads a recorded conversation. */
  FrontWitness(String name, Function<BrokerFixture, Connection> connectionFactory)
      throws IOException {
    golden = new GoldenFile(name);
    this.connectionFactory = connectionFactory;
  }

  /**
   * Replays the conversation and compares the bytes that the front writes with the recorded ones.
   */
  void replay() throws IOException {
    golden.replay(this::runStep);
    channel.finishAndReleaseAll();
  }

  /** Passes the recorded bytes of the front to a gateway. */
  static void read(String name, Gateway gateway) throws IOException {
    new GoldenFile(name)
        .outputs().stream()
            .filter(line -> !line.startsWith("open="))
            .map(HexFormat.of()::parseHex)
            .forEach(gateway::receive);
  }

  private void runStep(String command, String argument) {
    String[] arguments = argument.split(" ", 2);
    switch (command) {
      case "open" -> open();
      case "send" -> send(argument);
      case "start" -> fixture.broker.startRun(argument);
      case "done" -> finish(arguments, RunOutcome.SUCCEEDED);
      case "crashed" -> finish(arguments, RunOutcome.FAILED);
      case "refuse" -> fixture.broker.rejectRequest(argument, false, 0);
      case "refuse-for-ms" ->
          fixture.broker.rejectRequest(arguments[0], false, 1000 * Long.parseLong(arguments[1]));
      case "refuse-last" -> fixture.broker.rejectRequest(argument, true, 0);
      case "fail" -> fixture.broker.failRequest(argument);
      case "say" -> fixture.broker.publishFreeValue(Double.parseDouble(argument));
      case "leave" -> fixture.broker.setOutOfRotation(true);
      case "join" -> fixture.broker.setOutOfRotation(false);
      case "drain" -> fixture.broker.drain(fixture.now(), fixture.now() + 3_000_000, false);
      default -> throw new AssertionError("unknown step " + command);
    }
    fixture.pass(SETTLING_MICROS);
    golden.outputHex(channel);
    golden.output("open=" + channel.isOpen());
  }

  private void open() {
    if (channel != null) {
      channel.finishAndReleaseAll();
    }
    channel = fixture.open(connectionFactory.apply(fixture));
  }

  private void send(String digits) {
    channel.writeInbound(Unpooled.wrappedBuffer(GoldenFile.hex(digits)));
  }

  private void finish(String[] arguments, RunOutcome outcome) {
    byte[] result = arguments.length > 1 ? GoldenFile.bytes(arguments[1]) : new byte[0];
    fixture.running.put(arguments[0], result);
    fixture.finish(arguments[0], outcome);
  }
}
