import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/** Case 2: a crowd connects to both fronts and idles; a client that is closed connects again. */
final class IdleCrowd {
  private static final int SOCKETS = 384;
  private static final int THREADS = 24;
  private static final int CLIENTS_PER_THREAD = 50;
  private static final int TROUBLE_MS = 8000;

  private final int ajpPort = Lab.freePort();
  private final ThreadLocal<SocketChannel[]> crowd =
      ThreadLocal.withInitial(() -> new SocketChannel[CLIENTS_PER_THREAD]);

  private IdleCrowd() throws IOException {}

  public static void main(String[] arguments) throws Exception {
    IdleCrowd crowd = new IdleCrowd();
    BadClients clients = new BadClients(THREADS, TROUBLE_MS, crowd::idle);
    Lab.play(arguments, (lab, trouble) -> crowd.run(lab, trouble, clients));
  }

  private boolean run(Lab lab, boolean trouble, BadClients clients) throws Exception {
    Path site = lab.temp.resolve("site.star");
    Files.writeString(site, "ajp(listen = \"127.0.0.1:" + ajpPort + "\")\n");
    lab.note("each thread stands for " + CLIENTS_PER_THREAD + " idle clients");
    return clients.play(lab, trouble, SOCKETS, " --site " + site);
  }

  /** Connects the clients of one thread that are not connected, half of them to each front. */
  private void idle(int port, AtomicLong connections) throws IOException {
    SocketChannel[] clients = crowd.get();
    for (int i = 0; i < clients.length; i++) {
      if (clients[i] != null && hasEnded(clients[i])) {
        clients[i].close();
        clients[i] = null;
      }
      if (clients[i] == null) {
        InetSocketAddress address =
            new InetSocketAddress(Lab.loopback(), i % 2 == 0 ? port : ajpPort);
        SocketChannel client = SocketChannel.open();
        client.socket().connect(address, 2000);
        client.configureBlocking(false);
        connections.incrementAndGet();
        clients[i] = client;
      }
    }
    try {
      Thread.sleep(20);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean hasEnded(SocketChannel client) {
    try {
      return client.read(ByteBuffer.allocate(256)) < 0;
    } catch (IOException reset) {
      return true;
    }
  }
}
