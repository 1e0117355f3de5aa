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

/** The recorded replies to operators' calls. */
class AdminWitnessTest {
  private static final String CONNECTION = "operators-connection.txt";
  private static final String SERVER = "operators-server.txt";
  private static final int SEED = 7; // of the fleet member's start number

  private GoldenFile golden;

  /** What a server says of itself, set by the steps. */
  private static final class SetOperations implements AdminOperations {
    private boolean serving = true;
    private boolean mayLeave = true;
    private String members;
    private final List<Boolean> told = new ArrayList<>();

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
    public boolean setOutOfRotation(boolean away) {
      told.add(away);
      return mayLeave;
    }
  }

  @Test
  void callsAreAnsweredAsRecorded() throws IOException {
    golden = new GoldenFile(CONNECTION);
    SetOperations operations = new SetOperations();
    BrokerFixture stand = new BrokerFixture();
    golden.replay(
        (word, rest) -> {
          switch (word) {
            case "call" -> call(stand, operations, GoldenFile.bytes(rest));
            case "long-call" -> call(stand, operations, new byte[Integer.parseInt(rest)]);
            case "serving" -> operations.serving = Boolean.parseBoolean(rest);
            case "may-leave" -> operations.mayLeave = Boolean.parseBoolean(rest);
            case "fleet" -> operations.members = members(stand, rest);
            default -> throw new AssertionError("no step " + word);
          }
        });
    assertEquals(List.of(true, false, true, false, true, false), operations.told);
  }

  private void call(BrokerFixture stand, AdminOperations operations, byte[] bytes) {
    EmbeddedChannel channel =
        stand.open(new AdminConnection(operations, stand.lines::add, stand.counters));
    channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    golden.outputText("", channel);
    golden.output("open=" + channel.isOpen());
    channel.finishAndReleaseAll();
  }

  private static String members(BrokerFixture stand, String name) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7946);
    Site.Fleet fleet = new Site.Fleet(name, address, address, List.of(address), "east");
    PeerTransport peer =
        new PeerTransport(
            fleet,
            "n1",
            new EmbeddedChannel().eventLoop(),
            stand,
            new Random(SEED),
            stand.counters,
            stand.lines::add);
    return new Gson().toJson(peer.status());
  }

  @Test
  @Timeout(60)
  void aServerAnswersAsRecorded() throws Exception {
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
        golden.replay((word, rest) -> serverStep(server, word, rest));
      } finally {
        server.close();
      }
    }
  }

  private void serverStep(Server server, String word, String rest) {
    try {
      switch (word) {
        case "call" -> golden.output(reply(server, GoldenFile.bytes(rest)));
        case "ask" -> ask(server, rest.split(" "));
        case "reload-failed" -> server.reloadFailed(rest);
        default -> throw new AssertionError("no step " + word);
      }
    } catch (IOException broken) {
      throw new AssertionError(broken);
    }
  }

  private static String reply(Server server, byte[] call) throws IOException {
    InetSocketAddress door = server.adminAddress();
    try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
      socket.getOutputStream().write(call);
      byte[] reply = socket.getInputStream().readAllBytes();
      return GoldenFile.escaped(new String(reply, StandardCharsets.ISO_8859_1));
    }
  }

  private void ask(Server server, String[] words) throws IOException {
    try (GatewayConnection till =
        new GatewayConnection(new Gateway.FastCgi(), server.clientAddresses().get(0))) {
      till.ask(1, words[0], words[1], new byte[] {1});
      golden.output("status=" + till.answer().status());
    }
  }

  @Test
  void recordedRepliesHoldAllKeys() throws IOException {
    JsonObject members = object(CONNECTION, "{\"fleet\"");
    assertEquals(Set.of("fleet", "self", "state", "version", "members"), members.keySet());
    JsonObject member = members.getAsJsonArray("members").get(0).getAsJsonObject();
    assertEquals(
        Set.of("name", "state", "address", "zone", "start", "incarnation", "by", "flapping"),
        member.keySet());
    JsonObject figures = object(SERVER, "{\"completed\"");
    assertEquals(
        Set.of(
            "completed",
            "rejected",
            "failed",
            "upstream_requests",
            "pending",
            "config_reloads",
            "config_reload_errors"),
        figures.keySet());
    for (String counted : List.of("completed", "rejected", "failed", "upstream_requests")) {
      assertEquals(
          Set.of("stock-check", "place-order"), figures.getAsJsonObject(counted).keySet(), counted);
    }
    assertEquals(
        Map.of("stock-check", 0.0, "place-order", 0.0),
        new Gson().fromJson(figures.get("rejected"), Map.class));
  }

  private static JsonObject object(String name, String start) throws IOException {
    String line =
        new GoldenFile(name)
            .outputs().stream().filter(one -> one.startsWith(start)).findFirst().orElseThrow();
    return JsonParser.parseString(line.substring(0, line.indexOf("\\n"))).getAsJsonObject();
  }
}
