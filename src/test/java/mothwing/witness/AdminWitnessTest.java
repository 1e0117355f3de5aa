package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import mothwing.admin.AdminConnection;
import mothwing.admin.AdminOperations;
import mothwing.peer.PeerTransport;
import mothwing.server.Config;
import mothwing.server.Server;
import mothwing.settings.Site;
import mothwing.testing.Loopback;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import mothwing.trial.GatewayConnection;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks the replies to admin calls against recordings. */
class AdminWitnessTest {
  private static final String CONNECTION = "operators-connection.txt";
  private static final String SERVER = "operators-server.txt";

  /** Determines the start number of the fleet member. */
  private static final int SEED = 7;

  private GoldenFile golden;

  /** Operations whose results are set by the recorded steps. */
  private static final class FakeOperations implements AdminOperations {
    private boolean serving = true;
    private boolean mayLeave = true;
    private String members;
    private final List<Boolean> rotationCalls = new ArrayList<>();

    @Override
    public boolean isServing() {
      return serving;
    }

    @Override
    public String statistics() {
      return "{\"pending\":0}";
    }

    @Override
    public Optional<String> members() {
      return Optional.ofNullable(members);
    }

    @Override
    public boolean setOutOfRotation(boolean outOfRotation) {
      rotationCalls.add(outOfRotation);
      return mayLeave;
    }
  }

  @Test
  void connectionRepliesAsRecorded() throws IOException {
    golden = new GoldenFile(CONNECTION);
    FakeOperations operations = new FakeOperations();
    BrokerFixture fixture = new BrokerFixture();
    golden.replay(
        (command, argument) -> {
          switch (command) {
            case "call" -> call(fixture, operations, GoldenFile.bytes(argument));
            case "long-call" -> call(fixture, operations, new byte[Integer.parseInt(argument)]);
            case "serving" -> operations.serving = Boolean.parseBoolean(argument);
            case "may-leave" -> operations.mayLeave = Boolean.parseBoolean(argument);
            case "fleet" -> operations.members = members(fixture, argument);
            default -> throw new AssertionError("unknown step " + command);
          }
        });
    assertEquals(List.of(true, false, true, false, true, false), operations.rotationCalls);
  }

  private void call(BrokerFixture fixture, AdminOperations operations, byte[] bytes) {
    EmbeddedChannel channel =
        fixture.open(new AdminConnection(operations, fixture.lines::add, fixture.counters));
    channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    golden.outputText("", channel);
    golden.output("open=" + channel.isOpen());
    channel.finishAndReleaseAll();
  }

  private static String members(BrokerFixture fixture, String name) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7946);
    Site.Fleet fleet = new Site.Fleet(name, address, address, List.of(address), "east");
    PeerTransport peer =
        new PeerTransport(
            fleet,
            "n1",
            new EmbeddedChannel().eventLoop(),
            fixture,
            new Random(SEED),
            fixture.counters,
            fixture.lines::add);
    return new Gson().toJson(peer.status());
  }

  @Test
  @Timeout(60)
  void serverRepliesAsRecorded() throws Exception {
    golden = new GoldenFile(SERVER);
    List<String> lines = Collections.synchronizedList(new ArrayList<>());
    try (StandInPool pool = new StandInPool(1)) {
      Config config =
          new Config(
              "n1",
              Loopback.anyPort(),
              pool.address(),
              Loopback.REFUSING,
              null,
              Loopback.anyPort(),
              3200,
              256,
              BrokerFixture.settings(4.5, 2),
              null);
      Server server = new Server(config, Loopback.anyPort(), lines::add);
      try {
        server.start();
        while (List.copyOf(lines).stream().noneMatch(line -> line.startsWith("takes-clients "))) {
          Thread.onSpinWait();
        }
        golden.replay((command, argument) -> runServerStep(server, command, argument));
      } finally {
        server.close();
      }
    }
  }

  private void runServerStep(Server server, String command, String argument) {
    try {
      switch (command) {
        case "call" -> golden.output(reply(server, GoldenFile.bytes(argument)));
        case "ask" -> sendRequest(server, argument.split(" "));
        case "reload-failed" -> server.reloadFailed(argument);
        default -> throw new AssertionError("unknown step " + command);
      }
    } catch (IOException broken) {
      throw new AssertionError(broken);
    }
  }

  private static String reply(Server server, byte[] call) throws IOException {
    InetSocketAddress address = server.adminAddress();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write(call);
      byte[] reply = socket.getInputStream().readAllBytes();
      return GoldenFile.escaped(new String(reply, StandardCharsets.ISO_8859_1));
    }
  }

  private void sendRequest(Server server, String[] arguments) throws IOException {
    try (GatewayConnection gateway =
        new GatewayConnection(new Gateway.FastCgi(), server.clientAddresses().get(0))) {
      gateway.ask(1, arguments[0], arguments[1], new byte[] {1});
      golden.output("status=" + gateway.answer().status());
    }
  }

  @Test
  void recordedRepliesContainAllKeys() throws IOException {
    JsonObject members = object(CONNECTION, "{\"fleet\"");
    assertEquals(Set.of("fleet", "self", "state", "version", "members"), members.keySet());
    JsonObject member = members.getAsJsonArray("members").get(0).getAsJsonObject();
    assertEquals(
        Set.of("name", "state", "address", "zone", "start", "incarnation", "by", "flapping"),
        member.keySet());
    JsonObject statistics = object(SERVER, "{\"completed\"");
    assertEquals(
        Set.of(
            "completed",
            "rejected",
            "failed",
            "upstream_requests",
            "pending",
            "config_reloads",
            "config_reload_errors"),
        statistics.keySet());
    for (String counter : List.of("completed", "rejected", "failed", "upstream_requests")) {
      assertEquals(
          Set.of("stock-check", "place-order"),
          statistics.getAsJsonObject(counter).keySet(),
          counter);
    }
    assertEquals(
        Map.of("stock-check", 0.0, "place-order", 0.0),
        new Gson().fromJson(statistics.get("rejected"), Map.class));
  }

  private static JsonObject object(String name, String prefix) throws IOException {
    String line =
        new GoldenFile(name)
            .outputs().stream()
                .filter(output -> output.startsWith(prefix))
                .findFirst()
                .orElseThrow();
    return JsonParser.parseString(line.substring(0, line.indexOf("\\n"))).getAsJsonObject();
  }
}
