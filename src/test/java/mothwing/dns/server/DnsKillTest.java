package mothwing.dns.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import mothwing.testing.DnsTestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * The real process, killed twenty times under three stand-in updaters. Each keeps its own list of
 * what it sent and was told, and repeats, byte for byte, what it got no answer to; the zone is held
 * against those lists.
 */
class DnsKillTest {
  private static final int KILLS = 20;
  private static final int UPDATERS = 3;

  private final Semaphore answers = new Semaphore(0);
  private final List<String> wrong = new ArrayList<>();
  private InetSocketAddress server;
  private boolean stopped;
  @TempDir private Path folder;

  private DnsProcess start() throws IOException {
    DnsProcess process = new DnsProcess(folder);
    serveAt(process.address);
    return process;
  }

  private synchronized void serveAt(InetSocketAddress address) {
    server = address;
    notifyAll();
  }

  private synchronized InetSocketAddress server() throws InterruptedException {
    while (server == null) {
      wait();
    }
    return server;
  }

  private synchronized boolean stopped() {
    return stopped;
  }

  /** Sends until an answer comes. */
  private void told(byte[] update) throws InterruptedException {
    while (true) {
      InetSocketAddress at = server();
      try {
        Message answer = DnsTestClient.sendTcp(at, update);
        synchronized (this) {
          if (answer.getRcode() != Rcode.NOERROR) {
            wrong.add(answer.toString());
          }
        }
        return;
      } catch (IOException killed) {
        synchronized (this) {
          if (at.equals(server)) {
            wait(100); // until it listens elsewhere; an answer lost in a kill comes no more
          }
        }
      }
    }
  }

  /** What an updater did last. */
  private static final class Updater {
    private final String name;
    private int sent;

    Updater(String name) {
      this.name = name;
    }
  }

  private void updating(Updater one) {
    try {
      List<byte[]> old = new ArrayList<>();
      while (!stopped()) {
        one.sent++;
        byte[] update =
            DnsTestClient.signed(
                DnsTestClient.update(
                    one.name,
                    "10.5." + (one.sent - 1) / 2 / 200 + "." + (one.sent - 1) / 2 % 200,
                    one.sent % 2 == 1),
                DnsTestClient.key("till-key"));
        told(update);
        old.add(update);
        if (one.sent % 5 == 0) {
          told(old.get(old.size() / 2)); // a repeat of one that was accepted long before
        }
        answers.release();
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void nothingAcknowledgedIsMissingAfterTwentyKills() throws Exception {
    DnsTestClient.writeSite(
        folder, ", journal_bytes = 20000", DnsTestClient.ZONE_HEADER, "till-key");
    DnsProcess process = start();
    List<Updater> updaters = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < UPDATERS; i++) {
      Updater one = new Updater("kill" + i);
      updaters.add(one);
      threads.add(new Thread(() -> updating(one)));
    }
    threads.forEach(Thread::start);
    Random random = new Random(20);
    try {
      for (int i = 0; i < KILLS; i++) {
        answers.acquire(5 + random.nextInt(60));
        serveAt(null);
        process.close();
        process = start();
      }
      synchronized (this) {
        stopped = true;
      }
      for (Thread one : threads) {
        one.join();
      }
      assertEquals(List.of(), wrong);
      int changes = 0;
      for (Updater one : updaters) {
        Message answer =
            DnsTestClient.sendUdp(server, DnsTestClient.question(one.name, Type.A, 1232));
        List<String> expected =
            one.sent % 2 == 0
                ? List.of()
                : List.of("10.5." + one.sent / 2 / 200 + "." + one.sent / 2 % 200);
        assertEquals(
            expected,
            answer.getSection(Section.ANSWER).stream()
                .map(record -> record.rdataToString())
                .toList(),
            one.name + " after " + one.sent);
        changes += one.sent;
      }
      Message soa = DnsTestClient.sendUdp(server, DnsTestClient.question("@", Type.SOA, 1232));
      assertEquals(
          10 + changes,
          Integer.parseInt(soa.getSection(Section.ANSWER).get(0).rdataToString().split(" ")[2]),
          "each update moves the serial once");
      assertTrue(changes > KILLS * 5);
    } finally {
      process.close();
    }
  }
}
