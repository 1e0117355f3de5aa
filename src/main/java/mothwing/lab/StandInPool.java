package mothwing.testing;

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
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A stand-in worker pool on a loopback port: numbers its notices, and gives them again to a new link. */
public final class StandInPool implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final ScheduledExecutorService cores = Executors.newSingleThreadScheduledExecutor();
    private final List<String> notices = new ArrayList<>();
    private final Map<String, Integer> spawns = new LinkedHashMap<>();
    private final Map<String, String> running = new LinkedHashMap<>();
    private final Map<String, String> paused = new LinkedHashMap<>();
    private final long workMs;
    private Socket link;
    private boolean up = true;
    private int suspends;

    /** Starts one; work under 0 ms ends only by {@link #release}. */
    public StandInPool(long workMs) throws IOException {
        this.workMs = workMs;
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
            try (Socket socket = at.accept();
                    BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()))) {
                String line;
                while ((line = in.readLine()) != null) {
                    command(socket, JsonParser.parseString(line).getAsJsonObject());
                }
            } catch (IOException broken) {
                // the next link follows
            }
        }
    }

    private synchronized void command(Socket from, JsonObject command) throws IOException {
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
                run(id, command.get("content").getAsString());
            }
            case "suspend" -> {
                suspends++;
                String content = running.get(id);
                end(id, "aborted");
                if (content != null) {
                    paused.put(id, content);
                }
            }
            case "proceed" -> {
                String content = paused.remove(id);
                if (content != null) {
                    run(id, content);
                }
            }
            case "poll" -> say("{\"action\":\"polled\",\"echo\":\"" + command.get("echo").getAsString()
                    + "\",\"meters\":[" + Math.min(1, running.size() / 2.0) + "," + running.size() + ",0.1,1]}");
            default -> throw new IOException("not a command");
        }
        notifyAll();
    }

    private void run(String id, String content) {
        running.put(id, content);
        if (workMs >= 0) {
            cores.schedule(() -> end(id, "done"), workMs, TimeUnit.MILLISECONDS);
        }
    }

    private void bound(int after) throws IOException {
        say("{\"action\":\"bound\",\"code\":\"seasoned\",\"wall_ms\":3600000}");
        for (String notice : notices.subList(after, notices.size())) {
            say(notice);
        }
    }

    private void say(String line) throws IOException {
        if (link != null && up) {
            OutputStream out = link.getOutputStream();
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized void end(String id, String code) {
        String content = running.remove(id);
        if (content == null) {
            return;
        }
        notices.add("{\"action\":\"finished\",\"pos\":" + (notices.size() + 1) + ",\"uid\":\"" + id + "\",\"code\":\""
                + code + "\",\"wall_ms\":1,\"content\":\"" + (code.equals("done") ? result(content) : "") + "\"}");
        try {
            say(notices.get(notices.size() - 1));
        } catch (IOException broken) {
            // the notice waits for the next link
        }
        notifyAll();
    }

    private static String result(String body) {
        return Base64.getEncoder().encodeToString(made(Base64.getDecoder().decode(body)));
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
    public synchronized void release() throws InterruptedException {
        while (!paused.isEmpty()) {
            wait();
        }
        new ArrayList<>(running.keySet()).forEach(id -> end(id, "done"));
    }

    /** Says that it is not up, or that it has come up. */
    public synchronized void up(boolean now) throws IOException {
        up = now;
        if (now && link != null) {
            bound(0);
        }
    }

    /** Breaks the link. */
    public synchronized void cut() throws IOException {
        Socket broken = link;
        link = null;
        broken.close();
    }

    /** Waits until it has a link. */
    public synchronized void awaitLink() throws InterruptedException {
        while (link == null) {
            wait();
        }
    }

    /** Waits until so many requests were handed to it. */
    public synchronized void awaitSpawns(int many) throws InterruptedException {
        while (spawns.size() < many) {
            wait();
        }
    }

    /** Waits until so many runs were to be stopped. */
    public synchronized void awaitSuspends(int many) throws InterruptedException {
        while (suspends < many) {
            wait();
        }
    }

    /** How often each request was handed to it. */
    public synchronized Map<String, Integer> spawns() {
        return new LinkedHashMap<>(spawns);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cores.shutdownNow();
    }
}
