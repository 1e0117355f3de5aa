package mothwing.trial;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import mothwing.settings.Addresses;

/**
 * Shop servers that are one fleet, as processes, with the relay in every direction between any two
 * of them.
 */
final class FleetStage implements AutoCloseable {
  private static final int OWN_NET = 21; // of 127.x.y.z
  private static final int RELAY_NET = 22;

  /** One machine: where its server listens, where others find it, and what runs there. */
  final class Machine {
    final String name;
    final String zone;
    final Path folder;
    final InetSocketAddress listen;
    final InetSocketAddress advertise;
    final SocketChannel clients;
    final SocketChannel adminPort;
    final StandInPool pool = new StandInPool(1);
    ServerProcess now;

    private Machine(String name, int place, int inZone) throws IOException {
      this.name = name;
      zone = "z" + inZone;
      folder = Files.createDirectories(disks.resolve(name));
      InetAddress own = ProcessStage.address(OWN_NET, place);
      relay.name(own, name);
      try (ServerSocket fleetPort =
          new ServerSocket(0, 1, own)) { // keeps its number from the others
        listen = (InetSocketAddress) fleetPort.getLocalSocketAddress();
        clients = ServerProcess.port(own);
        adminPort = ServerProcess.port(own);
      }
      advertise = relay.open(name, "nobody", ProcessStage.address(RELAY_NET, place), listen);
      relay.openDatagrams(name, advertise, listen);
    }

    /** Starts its server, with the given machines as seeds. */
    void start(List<Machine> seeds) throws IOException {
      start(name, "cairo", seeds);
    }

    /** The same under a name, in a fleet. */
    void start(String as, String fleet, List<Machine> seeds) throws IOException {
      Path site =
          Files.writeString(
              folder.resolve("site.star"),
              "fleet(name = \""
                  + fleet
                  + "\", listen = \""
                  + Addresses.format(listen)
                  + "\", advertise = \""
                  + Addresses.format(advertise)
                  + "\", seeds = ["
                  + String.join(
                      ", ",
                      seeds.stream()
                          .map(one -> "\"" + Addresses.format(one.advertise) + "\"")
                          .toList())
                  + "], zone = \""
                  + zone
                  + "\")\n");
      ServerProcess.Place place =
          new ServerProcess.Place(
              as,
              (InetSocketAddress) clients.getLocalAddress(),
              (InetSocketAddress) adminPort.getLocalAddress(),
              pool.address(),
              new InetSocketAddress("127.0.0.1", 1));
      now =
          new ServerProcess(folder, place, Trial.Fleet.single(), "mothwing.Main", site, line -> {});
    }

    /** What it holds of each: names with states; empty where it does not answer. */
    Map<String, String> holds() {
      Map<String, String> all = new TreeMap<>();
      JsonObject said = told();
      if (said != null) {
        for (JsonElement one : said.getAsJsonArray("members")) {
          all.put(
              one.getAsJsonObject().get("name").getAsString(),
              one.getAsJsonObject().get("state").getAsString());
        }
      }
      return all;
    }

    /** What it says of itself: waiting, connected or alone; empty where it does not answer. */
    String state() {
      JsonObject said = told();
      return said == null ? "" : said.get("state").getAsString();
    }

    /** The reply to MEMBERS, or null. */
    JsonObject told() {
      String reply = now.call("MEMBERS");
      return reply.startsWith("{")
          ? JsonParser.parseString(reply.lines().findFirst().orElse("")).getAsJsonObject()
          : null;
    }

    /** How often its log has a line with all these words. */
    long logged(String... words) {
      synchronized (now.lines) {
        return now.lines.stream()
            .filter(line -> Arrays.stream(words).allMatch(line::contains))
            .count();
      }
    }
  }

  final List<Machine> machines = new ArrayList<>();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Links links = new Links();
  private final Relay relay;
  private final Path disks;

  /** Makes machines that are off; each third is in another zone. */
  FleetStage(int many, long seed, Path disks) throws IOException {
    this.disks = disks;
    relay = new Relay(loop, links, new Random(seed));
    for (int i = 1; i <= many; i++) {
      machines.add(new Machine("s" + i, i, i % 3));
    }
  }

  /** Starts all, with the first two as seeds. */
  void startAll() throws IOException {
    for (Machine one : machines) {
      one.start(machines.subList(0, 2));
    }
  }

  Machine machine(String name) {
    return machines.stream().filter(one -> one.name.equals(name)).findFirst().orElseThrow();
  }

  /** Puts a fault between machines in force. */
  Fault apply(Fault.Kind kind, List<String> from, List<String> to, boolean oneWay, double value) {
    Fault fault = new Fault(0, kind, from, to, oneWay, value, 0, 0);
    onLoop(() -> links.apply(fault));
    return fault;
  }

  /** Takes it back. */
  void revert(Fault fault) {
    onLoop(() -> links.revert(fault));
  }

  private void onLoop(Runnable work) {
    try {
      loop.submit(
              () -> {
                work.run();
                relay.changed();
              })
          .get();
    } catch (InterruptedException | ExecutionException broken) {
      throw new IllegalStateException(broken);
    }
  }

  /** What all of the given machines hold, where they hold the same; else null. */
  Map<String, String> agreed(List<Machine> some) {
    Map<String, String> first = new LinkedHashMap<>(some.get(0).holds());
    return some.stream().allMatch(one -> one.holds().equals(first)) ? first : null;
  }

  @Override
  public void close() throws IOException {
    for (Machine one : machines) {
      if (one.now != null) {
        one.now.close();
      }
      one.pool.close();
      one.clients.close();
      one.adminPort.close();
    }
    relay.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
