package mothwing.trial;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

/**
 * A stand-in worker pool on a loopback port: numbers its notices, and gives the last ones again to
 * a new link.
 */
public final class StandInPool implements AutoCloseable {
  private static final int MOST_NOTICES = 4000;

  private final ServerSocket listener;
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(
          work -> {
            Thread thread = new Thread(work, "stand-in-pool-clock");
            thread.setDaemon(true);
            return thread;
          });
  private final Object lock;
  private final int life;
  private final PoolCores cores;
  private final Deque<String> notices = new ArrayDeque<>();
  private final Map<String, Integer> spawns = new LinkedHashMap<>();
  private int told;
  private Socket link;
  private boolean up = true;
  private final Map<String, String> blocked = new LinkedHashMap<>();
  private final List<String> mistaken = new ArrayList<>();
  private int suspends;

  /** Starts one with cores of its own; work under 0 ms ends only by {@link #release}. */
  public StandInPool(long workMs) throws IOException {
    this(workMs < 0 ? PoolCores.Work.unending() : PoolCores.Work.fixed(workMs));
  }

  /** Starts one whose runs take so many milliseconds on a core, with so many calls in between. */
  public static StandInPool calling(long workMs, int calls) throws IOException {
    return new StandInPool(
        new PoolCores.Work(Integer.MAX_VALUE, kind -> new PoolCores.Kind(workMs, 0, calls), true));
  }

  private StandInPool(PoolCores.Work work) throws IOException {
    lock = new Object();
    life = 1;
    cores = new PoolCores(work, new TrialClock().on(clock, lock), new Random(1), History.unread());
    listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    serve(listener);
  }

  /**
   * Starts one for one life of a server, in front of cores that others may share; they are touched
   * under the lock.
   */
  StandInPool(InetAddress at, PoolCores cores, Object lock, int life) throws IOException {
    this.lock = lock;
    this.life = life;
    this.cores = cores;
    listener = new ServerSocket(0, 16, at);
    serve(listener);
  }

  /** A further address of the pool. */
  public record Door(ServerSocket at) implements AutoCloseable {
    /** Where it is. */
    public InetSocketAddress address() {
      return (InetSocketAddress) at.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
      at.close();
    }
  }

  /** Listens at a further address too. */
  public Door door() throws IOException {
    ServerSocket further = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    serve(further);
    return new Door(further);
  }

  private void serve(ServerSocket at) {
    Thread server = new Thread(() -> accept(at), "stand-in-pool");
    server.setDaemon(true);
    server.start();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept(ServerSocket at) {
    while (!at.isClosed()) {
      try {
        Socket socket = at.accept();
        Thread reader = new Thread(() -> read(socket), "stand-in-pool-link");
        reader.setDaemon(true);
        reader.start();
      } catch (IOException closed) {
        // it is over, or the next link follows
      }
    }
  }

  private void read(Socket socket) {
    try (socket;
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
      String line;
      while ((line = in.readLine()) != null) {
        synchronized (lock) {
          command(socket, JsonParser.parseString(line).getAsJsonObject());
          lock.notifyAll();
        }
      }
    } catch (IOException | RuntimeException broken) {
      // the next link follows
    }
  }

  private void command(Socket from, JsonObject command) throws IOException {
    String id = command.has("uid") ? command.get("uid").getAsString() : "";
    switch (command.get("action").getAsString()) {
      case "bind" -> {
        link = from;
        if (up) {
          bound(command.get("pos").getAsInt());
        }
      }
      case "spawn" -> {
        spawns.merge(id, 1, Integer::sum);
        cores.spawn(
            id,
            command.get("lane").getAsString(),
            Base64.getDecoder().decode(command.get("content").getAsString()),
            life,
            ends);
      }
      case "suspend" -> {
        suspends++;
        cores.suspend(id);
      }
      case "proceed" -> cores.proceed(id);
      case "supply" -> {
        byte[] result = Base64.getDecoder().decode(command.get("content").getAsString());
        String wanted = blocked.remove(id);
        if (cores.supply(id) && !new String(made(result), StandardCharsets.UTF_8).equals(wanted)) {
          mistaken.add(id);
        }
      }
      case "poll" -> {
        if (!cores.answersPoll()) {
          break;
        }
        double[] all = cores.gauges();
        say(
            "{\"action\":\"polled\",\"echo\":\""
                + command.get("echo").getAsString()
                + "\",\"meters\":["
                + all[0]
                + ","
                + all[1]
                + ","
                + all[2]
                + ","
                + all[3]
                + "]}");
      }
      case "verify" ->
          say(
              "{\"action\":\"verified\",\"echo\":\""
                  + command.get("echo").getAsString()
                  + "\",\"code\":\"done\"}");
      default -> throw new IOException("not a command");
    }
  }

  private void bound(int after) throws IOException {
    say(
        cores.fresh()
            ? "{\"action\":\"bound\",\"code\":\"fresh\",\"wall_ms\":0}"
            : "{\"action\":\"bound\",\"code\":\"seasoned\",\"wall_ms\":3600000}");
    int number = told - notices.size();
    for (String notice : notices) {
      if (++number > after) {
        say(notice);
      }
    }
  }

  private void say(String line) throws IOException {
    if (link != null && up) {
      OutputStream out = link.getOutputStream();
      out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  /** What it tells of runs. */
  private final PoolCores.Ends ends =
      new PoolCores.Ends() {
        @Override
        public void ended(String id, String code, long took, byte[] body) {
          String result = code.equals("done") ? Base64.getEncoder().encodeToString(made(body)) : "";
          tell(
              "{\"action\":\"finished\",\"pos\":"
                  + ++told
                  + ",\"uid\":\""
                  + id
                  + "\",\"code\":\""
                  + code
                  + "\",\"wall_ms\":"
                  + (took + 999) / 1000
                  + ",\"content\":\""
                  + result
                  + "\"}");
        }

        @Override
        public void blocked(String id, byte[] content) {
          String asked = id + " asks for " + told;
          blocked.put(id, asked);
          tell(
              "{\"action\":\"blocked\",\"pos\":"
                  + ++told
                  + ",\"uid\":\""
                  + id
                  + "\",\"content\":\""
                  + Base64.getEncoder().encodeToString(asked.getBytes(StandardCharsets.UTF_8))
                  + "\"}");
        }
      };

  private void tell(String notice) {
    notices.add(notice);
    if (notices.size() > MOST_NOTICES) {
      notices.remove();
    }
    try {
      say(notice);
    } catch (IOException broken) {
      // the notice waits for the next link
    }
    lock.notifyAll();
  }

  /** What it makes of a body: the same bytes, backwards. */
  public static byte[] made(byte[] body) {
    byte[] all = new byte[body.length];
    for (int i = 0; i < all.length; i++) {
      all[i] = body[body.length - 1 - i];
    }
    return all;
  }

  /** Ends all that runs, once what is paused goes on. */
  public void release() throws InterruptedException {
    synchronized (lock) {
      while (cores.anyPaused()) {
        lock.wait();
      }
      cores.endAll();
    }
  }

  /** Touches the cores under their lock. */
  void cores(Consumer<PoolCores> work) {
    synchronized (lock) {
      work.accept(cores);
    }
  }

  /** Says that it is not up, or that it has come up. */
  public void up(boolean now) throws IOException {
    synchronized (lock) {
      up = now;
      if (now && link != null) {
        bound(0);
      }
    }
  }

  /** Breaks the link. */
  public void cut() throws IOException {
    synchronized (lock) {
      Socket broken = link;
      link = null;
      broken.close();
    }
  }

  /** Waits until it has a link. */
  public void awaitLink() throws InterruptedException {
    synchronized (lock) {
      while (link == null) {
        lock.wait();
      }
    }
  }

  /** Waits until so many requests were handed to it. */
  public void awaitSpawns(int many) throws InterruptedException {
    synchronized (lock) {
      while (spawns.size() < many) {
        lock.wait();
      }
    }
  }

  /** Waits until so many runs were to be stopped. */
  public void awaitSuspends(int many) throws InterruptedException {
    synchronized (lock) {
      while (suspends < many) {
        lock.wait();
      }
    }
  }

  /** Runs that went on with what is not the answer to what they asked. */
  public List<String> mistaken() {
    synchronized (lock) {
      return new ArrayList<>(mistaken);
    }
  }

  /** How often each request was handed to it. */
  public Map<String, Integer> spawns() {
    synchronized (lock) {
      return new LinkedHashMap<>(spawns);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    clock.shutdownNow();
    synchronized (lock) {
      if (link != null) {
        link.close();
      }
    }
  }
}
