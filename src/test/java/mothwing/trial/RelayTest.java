package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The relay between two machines, a and b, on real sockets. */
class RelayTest {
  private static final int PATIENCE_MS = 30_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Links links = new Links();
  private final Relay relay = new Relay(loop, links, new Random(4));
  private final List<AutoCloseable> open = new ArrayList<>();
  private InetAddress a;
  private InetAddress b;
  private ServerSocket server;
  private InetSocketAddress by;

  @BeforeEach
  void start() throws IOException {
    a = InetAddress.getByName("127.0.9.1");
    b = InetAddress.getByName("127.0.9.2");
    relay.name(a, "a");
    server = keep(new ServerSocket(0, 4096, b));
    by =
        relay.open(
            "b",
            "nobody",
            InetAddress.getByName("127.0.9.3"),
            (InetSocketAddress) server.getLocalSocketAddress());
  }

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable one : open) {
      one.close();
    }
    relay.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private <T extends AutoCloseable> T keep(T one) {
    open.add(one);
    return one;
  }

  private Socket connect() throws IOException {
    Socket socket = keep(new Socket());
    socket.setSoTimeout(PATIENCE_MS);
    socket.bind(new InetSocketAddress(a, 0));
    socket.connect(by);
    return socket;
  }

  private Socket accept() throws IOException {
    Socket socket = keep(server.accept());
    socket.setSoTimeout(PATIENCE_MS);
    return socket;
  }

  private static Fault between(Fault.Kind kind, boolean oneWay, double value) {
    return new Fault(0, kind, List.of("a"), List.of("b"), oneWay, value, 0, 0);
  }

  private void apply(Fault fault) throws Exception {
    loop.submit(
            () -> {
              links.apply(fault);
              relay.changed();
            })
        .get();
  }

  private static void say(Socket socket, int... bytes) throws IOException {
    for (int one : bytes) {
      socket.getOutputStream().write(one);
    }
  }

  private static boolean silent(Socket socket) throws IOException {
    socket.setSoTimeout(50);
    try {
      socket.getInputStream().read();
      return false;
    } catch (SocketTimeoutException nothing) {
      socket.setSoTimeout(PATIENCE_MS);
      return true;
    }
  }

  @Test
  void aCutHoldsOneDirectionAndLosesNothing() throws Exception {
    Socket one = connect();
    Socket two = accept();
    Fault cut = between(Fault.Kind.CUT, true, 0);
    apply(cut);
    say(one, 1, 2, 3);
    say(two, 9);
    assertEquals(9, one.getInputStream().read(), "the other direction goes on");
    assertTrue(silent(two));
    loop.submit(
            () -> {
              links.revert(cut);
              relay.changed();
            })
        .get();
    assertArrayEquals(new byte[] {1, 2, 3}, two.getInputStream().readNBytes(3));
    apply(between(Fault.Kind.SWALLOW, true, 0));
    say(one, 4);
    assertTrue(silent(two));
    apply(between(Fault.Kind.HEAL, false, 0));
    say(one, 5);
    assertEquals(5, two.getInputStream().read(), "what was swallowed is gone");
  }

  @Test
  void aConnectionBehindACutComesAboutWithTheHeal() throws Exception {
    apply(between(Fault.Kind.CUT, true, 0));
    Socket one = connect();
    say(one, 7);
    server.setSoTimeout(50);
    assertThrows(SocketTimeoutException.class, server::accept);
    server.setSoTimeout(PATIENCE_MS);
    apply(between(Fault.Kind.HEAL, false, 0));
    assertEquals(7, accept().getInputStream().read());
  }

  @Test
  void bytesAreTurnedAndStreamsSevered() throws Exception {
    Socket one = connect();
    Socket two = accept();
    apply(between(Fault.Kind.FLIP, true, 1));
    say(one, 64);
    assertEquals(1, Integer.bitCount(two.getInputStream().read() ^ 64), "one bit is turned");
    loop.submit(() -> relay.sever(between(Fault.Kind.SEVER, false, 0))).get();
    assertThrows(
        IOException.class,
        () -> {
          if (one.getInputStream().read() < 0) {
            throw new IOException("closed");
          }
        });
    assertThrows(
        IOException.class,
        () -> {
          if (two.getInputStream().read() < 0) {
            throw new IOException("closed");
          }
        });
    assertEquals(0, count(relay::open));
  }

  @Test
  void datagramsAreLostAndRepeatedByTheirShare() throws Exception {
    DatagramSocket from = keep(new DatagramSocket(new InetSocketAddress(a, 0)));
    DatagramSocket to = keep(new DatagramSocket(new InetSocketAddress(b, 0)));
    to.setSoTimeout(PATIENCE_MS);
    InetSocketAddress at =
        relay.openDatagrams(
            "b",
            new InetSocketAddress("127.0.9.3", 0),
            (InetSocketAddress) to.getLocalSocketAddress());
    byte[] room = new byte[16];
    DatagramPacket came = new DatagramPacket(room, room.length);
    apply(between(Fault.Kind.REPEAT, true, 1));
    from.send(new DatagramPacket(new byte[] {5}, 1, at));
    to.receive(came);
    to.receive(came);
    assertEquals(5, room[0], "the same, twice");
    apply(between(Fault.Kind.HEAL, false, 0));
    apply(between(Fault.Kind.LOSE, true, 1));
    from.send(new DatagramPacket(new byte[] {6}, 1, at));
    while (count(relay::dropped) == 0) {
      Thread.onSpinWait();
    }
    apply(between(Fault.Kind.HEAL, false, 0));
    from.send(new DatagramPacket(new byte[] {7}, 1, at));
    to.receive(came);
    assertEquals(7, room[0], "what was lost does not come");
  }

  private int count(Callable<Integer> what) throws Exception {
    return loop.submit(what).get();
  }

  @Test
  void twoThousandConnectionsAtOnce() throws Exception {
    List<Socket> ones = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      ones.add(connect());
      say(ones.get(i), i & 127);
    }
    for (int i = 0; i < 2000; i++) {
      Socket two = accept();
      say(two, two.getInputStream().read() ^ 1);
    }
    assertEquals(2000, count(relay::open));
    for (int i = 0; i < 2000; i++) {
      assertEquals((i & 127) ^ 1, ones.get(i).getInputStream().read());
    }
  }
}
