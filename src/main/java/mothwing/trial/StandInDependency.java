package mothwing.trial;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * A stand-in for the tier below on a loopback port, with cores of its own: it answers what is
 * asked, backwards.
 */
public final class StandInDependency implements AutoCloseable {
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(
          work -> {
            Thread thread = new Thread(work, "stand-in-ledger-clock");
            thread.setDaemon(true);
            return thread;
          });
  private final Object lock = new Object();
  private final ServerSocket listener;
  private final PoolCores cores;
  private final List<Socket> links = new ArrayList<>();
  private final Map<String, Integer> asked = new LinkedHashMap<>();
  private boolean full;
  private int number;

  /** Starts one whose calls take so many milliseconds. */
  public StandInDependency(long ms) throws IOException {
    cores =
        new PoolCores(
            new PoolCores.Work(Integer.MAX_VALUE, kind -> new PoolCores.Kind(ms, 0, 0), false),
            new TrialClock().on(clock, lock),
            new Random(1),
            History.unread());
    listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    Thread server = new Thread(this::accept, "stand-in-ledger");
    server.setDaemon(true);
    server.start();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        synchronized (lock) {
          links.add(socket);
        }
        Thread reader = new Thread(() -> read(socket), "stand-in-ledger-link");
        reader.setDaemon(true);
        reader.start();
      } catch (IOException closed) {
        // it is over, or the next link follows
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int one = in.read(); one >= 0; one = in.read()) {
      if (one == '\n') {
        return all.toString(StandardCharsets.US_ASCII).stripTrailing();
      }
      all.write(one);
    }
    throw new IOException("it ended");
  }

  private void read(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      Map<String, String> here = new LinkedHashMap<>();
      while (true) {
        String[] words = line(in).split(" ");
        if (words[0].equals("post") && words.length == 4) {
          byte[] content = in.readNBytes(Integer.parseInt(words[3]));
          if (!line(in).isEmpty()) {
            return; // that is no end of a block
          }
          synchronized (lock) {
            post(socket, words[1], content, here);
          }
        } else if (words[0].equals("abandon") && words.length == 2) {
          synchronized (lock) {
            String call = here.remove(words[1]);
            if (call != null) {
              cores.suspend(call);
            }
          }
        } else {
          return;
        }
      }
    } catch (IOException | RuntimeException broken) {
      // the next link follows
    }
  }

  private void post(Socket socket, String id, byte[] content, Map<String, String> here)
      throws IOException {
    asked.merge(id, 1, Integer::sum);
    if (full) {
      say(socket, (id + " queue_full\r\n").getBytes(StandardCharsets.US_ASCII));
      return;
    }
    String call = id + "-" + ++number;
    here.put(id, call);
    cores.spawn(
        call,
        "call",
        content,
        1,
        (which, code, took, body) -> {
          if (here.remove(id, call) && code.equals("done")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(
                (id + " posted " + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(StandInPool.made(body));
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            say(socket, out.toByteArray());
          }
        });
  }

  private static void say(Socket socket, byte[] bytes) {
    try {
      OutputStream out = socket.getOutputStream();
      out.write(bytes);
    } catch (IOException broken) {
      // its calls are cut
    }
  }

  /** Breaks all links, with what is out on them. */
  public void cut() throws IOException {
    synchronized (lock) {
      for (Socket one : links) {
        one.close();
      }
      links.clear();
    }
  }

  /** Turns all calls away unseen from now on, or no longer. */
  public void full(boolean now) {
    synchronized (lock) {
      full = now;
    }
  }

  /** How often a call of each request came. */
  public Map<String, Integer> asked() {
    synchronized (lock) {
      return new LinkedHashMap<>(asked);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    clock.shutdownNow();
    cut();
  }
}
