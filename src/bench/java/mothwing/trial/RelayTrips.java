package mothwing.trial;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * What the relay adds to a round trip, against a direct link, in one run; interleaved, so that both
 * meet the same machine.
 */
public final class RelayTrips {
  private static final int ROUNDS = 10;
  private static final int TRIPS = 2000;
  private static final int BYTES = 300;

  private RelayTrips() {}

  /** Prints median and 99 of 100 of both, in microseconds, for each round and over all. */
  public static void print() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try (ServerSocket echo = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Relay relay = new Relay(group.next(), new Links(), new Random(1))) {
      Thread server = new Thread(() -> serve(echo));
      server.setDaemon(true);
      server.start();
      InetSocketAddress direct = (InetSocketAddress) echo.getLocalSocketAddress();
      InetSocketAddress by = relay.open("b", "a", InetAddress.getLoopbackAddress(), direct);
      Histogram[] all = {new Histogram(3), new Histogram(3)};
      try (Socket one = link(direct);
          Socket two = link(by)) {
        for (int round = 0; round <= ROUNDS; round++) {
          Histogram[] now = {new Histogram(3), new Histogram(3)};
          for (int i = 0; i < TRIPS; i++) {
            now[0].recordValue(trip(one));
            now[1].recordValue(trip(two));
          }
          if (round > 0) { // the first one warms up
            all[0].add(now[0]);
            all[1].add(now[1]);
            print("round " + round, now);
          }
        }
      }
      print("all", all);
    } finally {
      group.shutdownGracefully();
    }
  }

  private static void print(String name, Histogram[] both) {
    System.out.printf(
        "%-9s direct p50 %.0f p99 %.0f us, relayed p50 %.0f p99 %.0f us, ratio of medians %.2f%n",
        name,
        both[0].getValueAtPercentile(50) / 1e3,
        both[0].getValueAtPercentile(99) / 1e3,
        both[1].getValueAtPercentile(50) / 1e3,
        both[1].getValueAtPercentile(99) / 1e3,
        both[1].getValueAtPercentile(50) / (double) both[0].getValueAtPercentile(50));
  }

  private static Socket link(InetSocketAddress to) throws IOException {
    Socket socket = new Socket(to.getAddress(), to.getPort());
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static long trip(Socket socket) throws IOException {
    long from = System.nanoTime();
    OutputStream out = socket.getOutputStream();
    out.write(new byte[BYTES]);
    socket.getInputStream().readNBytes(BYTES);
    return System.nanoTime() - from;
  }

  private static void serve(ServerSocket echo) {
    while (true) {
      try {
        Socket came = echo.accept();
        came.setTcpNoDelay(true);
        Thread reader = new Thread(() -> echo(came));
        reader.setDaemon(true);
        reader.start();
      } catch (IOException over) {
        return;
      }
    }
  }

  private static void echo(Socket came) {
    try (came) {
      InputStream in = came.getInputStream();
      byte[] room = new byte[BYTES];
      for (int some = in.read(room); some >= 0; some = in.read(room)) {
        came.getOutputStream().write(room, 0, some);
      }
    } catch (IOException over) {
      // the other side has left
    }
  }
}
