import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 2: a crowd connects and idles. Each client says nothing for a second, and then leaves and
 * connects again, whether or not the server has closed its connection meanwhile.
 */
final class IdleCrowd {
  /** Half of the 384 descriptors that a server has at least. */
  private static final int SOCKETS = 192;

  private static final int THREADS = 24;
  private static final int CLIENTS_PER_THREAD = 50;
  private static final int IDLE_MS = 1000;
  private static final int TROUBLE_MS = 8000;

  private static final ThreadLocal<Client[]> CROWD =
      ThreadLocal.withInitial(() -> new Client[CLIENTS_PER_THREAD]);

  /** A client that is connected, and when it leaves. */
  private record Client(SocketChannel socket, long leavesAt) {}

  private IdleCrowd() {}

  public static void main(String[] arguments) throws Exception {
    BadClients clients = new BadClients(THREADS, TROUBLE_MS, IdleCrowd::idle);
    Lab.play(
        arguments,
        (lab, trouble) -> {
          lab.note("each thread stands for " + CLIENTS_PER_THREAD + " idle clients");
          return clients.play(lab, trouble, SOCKETS, true);
        });
  }

  /** Connects the clients of one thread that are not connected; those whose time is over leave. */
  private static void idle(int port, AtomicLong connections) throws IOException {
    Client[] clients = CROWD.get();
    for (int i = 0; i < clients.length; i++) {
      long now = System.currentTimeMillis();
      if (clients[i] != null && now >= clients[i].leavesAt()) {
        clients[i].socket().close();
        clients[i] = null;
      }
      if (clients[i] == null) {
        SocketChannel socket = SocketChannel.open();
        clients[i] = new Client(socket, now + IDLE_MS);
        socket.socket().connect(new InetSocketAddress(Lab.loopback(), port), 2000);
        connections.incrementAndGet();
      }
    }
    try {
      Thread.sleep(5);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
