package mothwing.pool;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.stream.JsonReader;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Exchange;
import mothwing.broker.WorkerPool;
import mothwing.control.RunOutcome;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;
import mothwing.settings.JsonFields;

/** One link to the worker pool: commands and notices as JSON objects, one a line. */
final class WorkerPoolConnection extends Connection implements WorkerPool {
  /** Most bytes of one line: a result of 4 KiB in base64, with much to spare. */
  static final int MOST_LINE = 64 << 10;

  /** Most bytes of a line without an end that are passed over; after that the link is given up. */
  static final int MOST_PASSED_OVER = 1 << 20;

  private static final long MILLI = 1000;
  private static final String CAUGHT_UP = "bind";
  private static final Gson GSON = new Gson();

  private final WorkerPoolClient pool;
  private final int dial;
  private final Broker broker;
  private final EventLog log;
  private final long openedAt;
  private boolean bound;
  private boolean caughtUp;
  private int passedOver;
  private long waitsSince = NEVER;

  WorkerPoolConnection(
      WorkerPoolClient pool, int dial, Broker broker, EventLog log, Counters counters) {
    super("pool", MOST_LINE, log, counters);
    this.pool = pool;
    this.dial = dial;
    this.broker = broker;
    this.log = log;
    openedAt = pool.now();
  }

  /** When it was opened. */
  long openedAt() {
    return openedAt;
  }

  /** Whether all that was missed before it has been read. */
  boolean caughtUp() {
    return caughtUp;
  }

  /** Asks again whether all that was missed has been read, where the pool has not answered yet. */
  void askAgain() {
    if (isReady() && !caughtUp) {
      requestGauges(CAUGHT_UP);
    }
  }

  @Override
  protected void onOpened() {
    if (pool.opened(this, dial)) {
      ask("{\"action\":\"bind\",\"pos\":" + pool.lastNotice() + "}");
    } else {
      close(CloseReason.MOVED, "");
    }
  }

  @Override
  protected void onClosed() {
    bound = false;
    pool.ended(this);
  }

  /**
   * A line that cannot be understood costs itself alone: the same would be said again on a new
   * link, for ever.
   */
  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    waitsSince = NEVER;
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MOST_LINE && passedOver == 0) {
      return false;
    } else if (length < 0 || length > MOST_LINE || passedOver > 0) {
      passOver(in, length);
      return true;
    }
    String line = in.toString(in.readerIndex(), length, StandardCharsets.UTF_8);
    in.skipBytes(length + 1);
    try (JsonReader reader = new JsonReader(new StringReader(line))) {
      notice(JsonFields.read(reader));
    } catch (IOException | IllegalStateException | JsonParseException | ProtocolException bad) {
      bad(bad.getMessage());
    }
    return true;
  }

  private void passOver(ByteBuf in, int length) throws ProtocolException {
    int part = length < 0 ? in.readableBytes() : length + 1;
    in.skipBytes(part);
    passedOver += part;
    if (passedOver > MOST_PASSED_OVER) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "over " + MOST_PASSED_OVER + " bytes without an end");
    } else if (length >= 0) {
      bad("a line of " + passedOver + " bytes");
      passedOver = 0;
    }
  }

  private void bad(String why) {
    count("bad-notices");
    log.write("pool-bad-notice what=\"" + why + "\"");
  }

  /** For how long nothing has come though something was asked. */
  long silentFor(long now) {
    return waitsSince == NEVER ? 0 : now - waitsSince;
  }

  private void notice(JsonFields notice) throws IOException, ProtocolException {
    String action = notice.text("action");
    count("notice-" + (WorkerPoolClient.NOTICES.contains(action) ? action : "other"));
    long place = notice.whole("pos", 0);
    if (place > 0 && !pool.isNext(this, place)) {
      return;
    }
    switch (action) {
      case "bound" -> {
        bound = true;
        pool.bound();
        broker.poolConnected(
            notice.text("code").equals("fresh"), notice.whole("wall_ms", 0) * MILLI);
        requestGauges(CAUGHT_UP);
      }
      case "finished" -> finished(notice);
      case "blocked" ->
          broker.runAwaitsCall(notice.text("uid"), decoded(notice.text("content", "")));
      case "polled" -> {
        if (!caughtUp) { // any answer: all missed notices come before it
          caughtUp = true;
          pool.caughtUp();
          broker.resynchronized();
        }
        if (!notice.text("echo", "").equals(CAUGHT_UP)) {
          broker.gaugesReceived(notice.text("echo", ""), notice.numbers("meters"));
        }
      }
      case "verified" ->
          broker.healthCheckEnded(notice.text("echo", ""), notice.text("code", "").equals("done"));
      case "unknown" -> {
        log.write("pool-unknown code=" + notice.text("code", "") + " id=" + notice.text("uid", ""));
        if (notice.text("code", "").equals("spawn")) {
          broker.runEnded(notice.text("uid", ""), RunOutcome.NOT_STARTED, 0, null);
        }
      }
      default -> {}
    }
  }

  private void finished(JsonFields notice) throws IOException, ProtocolException {
    String id = notice.text("uid");
    try {
      String code = notice.text("code");
      RunOutcome outcome =
          switch (code) {
            case "done" -> RunOutcome.SUCCEEDED;
            case "crashed" -> RunOutcome.FAILED;
            case "aborted" -> RunOutcome.STOPPED;
            case "stale" -> RunOutcome.NOT_STARTED;
            default -> throw new ProtocolException(CloseReason.MALFORMED, "finished as " + code);
          };
      byte[] result = outcome == RunOutcome.SUCCEEDED ? decoded(notice.text("content", "")) : null;
      broker.runEnded(id, outcome, notice.whole("wall_ms", 0) * MILLI, result);
    } catch (IOException | ProtocolException unreadable) { // it is over, and its result is lost
      broker.runEnded(id, RunOutcome.FAILED, 0, null);
      throw unreadable;
    }
  }

  private static byte[] decoded(String content) throws ProtocolException {
    try {
      return Base64.getDecoder().decode(content);
    } catch (IllegalArgumentException notBase64) {
      throw new ProtocolException(CloseReason.MALFORMED, "content is not base64");
    }
  }

  private void ask(String line) {
    waitsSince = Math.min(waitsSince, pool.now());
    command(line);
  }

  private void command(String line) {
    ByteBuf out = allocate(line.length() + 1);
    out.writeCharSequence(line, StandardCharsets.UTF_8);
    out.writeByte('\n');
    send(out);
  }

  @Override
  public boolean isReady() {
    return bound && !isClosed();
  }

  @Override
  public boolean startRun(Exchange exchange) {
    command(
        "{\"action\":\"spawn\",\"uid\":\""
            + exchange.request().id()
            + "\",\"lane\":"
            + GSON.toJson(exchange.request().className())
            + ",\"content\":\""
            + Base64.getEncoder().encodeToString(exchange.request().body())
            + "\"}");
    return true;
  }

  private void named(String action, String word, String value) {
    command("{\"action\":\"" + action + "\",\"" + word + "\":\"" + value + "\"}");
  }

  @Override
  public void stopRun(String id) {
    named("suspend", "uid", id);
  }

  @Override
  public void resumeRun(String id) {
    named("proceed", "uid", id);
  }

  @Override
  public void resumeWithResult(String id, byte[] result) {
    command(
        "{\"action\":\"supply\",\"uid\":\""
            + id
            + "\",\"content\":\""
            + Base64.getEncoder().encodeToString(result)
            + "\"}");
  }

  @Override
  public void resumeWithoutResult(String id) {
    named("pass", "uid", id);
  }

  @Override
  public void requestGauges(String echo) {
    ask("{\"action\":\"poll\",\"echo\":\"" + echo + "\"}");
  }

  @Override
  public void startHealthCheck(String echo) {
    named("verify", "echo", echo);
  }
}
