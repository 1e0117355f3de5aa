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
 * Compares the round trip through the relay with that of a direct connection. Both are measured
 * alternately in one run, so that they meet the same load of the machine.
 */
public final class RelayRoundTrips {
  private static final int ROUNDS = 10;
  private static final int ROUND_TRIPS = 2000;
  private static final int MESSAGE_BYTES = 300;

  private RelayRoundTrips() {}

  /** Prints the median and the 99th percentile of both in microseconds, per round and in total. */
  public static void print() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try (ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Relay relay = new Relay(group.next(), new Links(), new Random(1))) {
      Thread server = new Thread(() -> serve(listener));
      server.setDaemon(true);
      server.start();
      InetSocketAddress direct = (InetSocketAddress) listener.getLocalSocketAddress();
      InetSocketAddress relayed = relay.open("b", "a", InetAddress.getLoopbackAddress(), direct);
      Histogram[] total = {new Histogram(3), new Histogram(3)};
      try (Socket directSocket = connect(direct);
          Socket relayedSocket = connect(relayed)) {
        for (int round = 0; round <= ROUNDS; round++) {
          Histogram[] current = {new Histogram(3), new Histogram(3)};
          for (int i = 0; i < ROUND_TRIPS; i++) {
            current[0].recordValue(roundTripNanos(directSocket));
            current[1].recordValue(roundTripNanos(relayedSocket));
          }
          if (round > 0) { // round 0 is the warm-up
            total[0].add(current[0]);
            total[1].add(current[1]);
            print("round " + round, current);
          }
        }
      }
      print("total", total);
    } finally {
      group.shutdownGracefully();
    }
  }

  private static void print(String name, Histogram[] histograms) {
    System.out.printf(
        "%-9s direct p50 %.0f p99 %.0f us, relayed p50 %.0f p99 %.0f us, ratio of medians %.2f%n",
        name,
        histograms[0].getValueAtPercentile(50) / 1e3,
        histograms[0].getValueAtPercentile(99) / 1e3,
        histograms[1].getValueAtPercentile(50) / 1e3,
        histograms[1].getValueAtPercentile(99) / 1e3,
        histograms[1].getValueAtPercentile(50) / (double) histograms[0].getValueAtPercentile(50));
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static long roundTripNanos(Socket socket) throws IOException {
    long start = System.nanoTime();
    OutputStream out = socket.getOutputStream();
    out.write(new byte[MESSAGE_BYTES]);
    socket.getInputStream().readNBytes(MESSAGE_BYTES);
    return System.nanoTime() - start;
  }

  private static void serve(ServerSocket listener) {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Thread reader = new Thread(() -> echo(socket));
        reader.setDaemon(true);
        reader.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void echo(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[MESSAGE_BYTES];
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        socket.getOutputStream().write(buffer, 0, length);
      }
    } catch (IOException closed) {
      // the client has closed the connection
    }
  }
}
