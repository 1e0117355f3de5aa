package mothwing.pool;

import com.google.gson.JsonParseException;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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

/** One connection to the worker pool: sends commands and passes notices on to the broker. */
final class WorkerPoolConnection extends Connection implements WorkerPool {
  /** Bounds one line; a result of 4 KiB in base64 takes far less. */
  static final int MAX_LINE_BYTES = 64 << 10;

  /** Bounds the bytes of an overlong line that are skipped before the connection is closed. */
  static final int MAX_SKIPPED_BYTES = 1 << 20;

  private final WorkerPoolClient client;
  private final int attempt;
  private final Broker broker;
  private final PoolEvents events;
  private final long openedAt;
  private boolean accepted;
  private boolean resynchronized;
  private int skippedBytes;
  private long awaitsAnswerSince = NEVER;

  WorkerPoolConnection(
      WorkerPoolClient client, int attempt, Broker broker, EventLog log, Counters counters) {
    super("pool", MAX_LINE_BYTES, log, counters);
    this.client = client;
    this.attempt = attempt;
    this.broker = broker;
    this.events = new PoolEvents(counters, log);
    openedAt = client.now();
  }

  /** When the connection was opened, in microseconds of the monotonic clock. */
  long openedAt() {
    return openedAt;
  }

  /** Whether all notices that were missed before the connection opened have been read. */
  boolean isResynchronized() {
    return resynchronized;
  }

  /** Repeats the query for whether all missed notices have been read, unless they have been. */
  void retryResynchronization() {
    if (isReady() && !resynchronized) {
      requestGauges(PoolProtocol.RESYNC_ECHO);
    }
  }

  /**
   * Microseconds since the oldest query that no input has followed, or 0 if input has followed all.
   */
  long silentMicros(long now) {
    return awaitsAnswerSince == NEVER ? 0 : now - awaitsAnswerSince;
  }

  @Override
  protected void onOpened() {
    if (client.opened(this, attempt)) {
      query(PoolProtocol.connect(client.lastNotice()));
    } else {
      close(CloseReason.MOVED, "");
    }
  }

  @Override
  protected void onClosed() {
    accepted = false;
    client.ended(this);
  }

  /**
   * Decodes one line. A malformed line is skipped and the connection stays open, because the pool
   * would replay the same line after each reconnect, unless more than {@link #MAX_SKIPPED_BYTES}
   * are skipped.
   */
  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    awaitsAnswerSince = NEVER;
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MAX_LINE_BYTES && skippedBytes == 0) {
      return false;
    } else if (length < 0 || length > MAX_LINE_BYTES || skippedBytes > 0) {
      skip(in, length);
      return true;
    }
    String line = in.toString(in.readerIndex(), length, StandardCharsets.UTF_8);
    in.skipBytes(length + 1);
    try {
      receive(PoolProtocol.parse(line));
    } catch (IOException | IllegalStateException | JsonParseException | ProtocolException bad) {
      events.noticeMalformed(bad.getMessage());
    }
    return true;
  }

  private void skip(ByteBuf in, int length) throws ProtocolException {
    int bytes = length < 0 ? in.readableBytes() : length + 1;
    in.skipBytes(bytes);
    skippedBytes += bytes;
    if (skippedBytes > MAX_SKIPPED_BYTES) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "line longer than " + MAX_SKIPPED_BYTES + " bytes");
    } else if (length >= 0) {
      events.noticeMalformed("a line of " + skippedBytes + " bytes");
      skippedBytes = 0;
    }
  }

  private void receive(JsonFields fields) throws IOException, ProtocolException {
    PoolNotice.Kind kind = PoolProtocol.kind(fields);
    events.noticeRead(kind);
    long sequence = PoolProtocol.sequence(fields);
    if (sequence > 0 && !client.accept(this, sequence)) {
      return;
    }
    if (kind == PoolNotice.Kind.CONNECTED) {
      accepted = true;
      client.connectionAccepted();
    } else if (kind == PoolNotice.Kind.GAUGES && !resynchronized) {
      // gauges prove that all missed notices were read, because the pool sends those first
      resynchronized = true;
      client.resynchronized();
      broker.resynchronized();
    }
    apply(PoolProtocol.decode(kind, fields));
  }

  private void apply(PoolNotice notice) throws IOException, ProtocolException {
    if (notice instanceof PoolNotice.Connected connected) {
      broker.poolConnected(connected.coldStart(), connected.ageMicros());
      requestGauges(PoolProtocol.RESYNC_ECHO);
    } else if (notice instanceof PoolNotice.RunEnded run) {
      broker.runEnded(run.requestId(), run.outcome(), run.durationMicros(), run.result());
    } else if (notice instanceof PoolNotice.UnreadableRunEnd run) {
      broker.runEnded(run.requestId(), RunOutcome.FAILED, 0, null);
      events.noticeMalformed(run.cause().getMessage());
    } else if (notice instanceof PoolNotice.RunAwaitsCall run) {
      broker.runAwaitsCall(run.requestId(), run.content());
    } else if (notice instanceof PoolNotice.Gauges gauges) {
      broker.gaugesReceived(gauges.echo(), gauges.values());
    } else if (notice instanceof PoolNotice.HealthCheckEnded check) {
      broker.healthCheckEnded(check.echo(), check.succeeded());
    } else if (notice instanceof PoolNotice.CommandRefused refused) {
      events.commandRefused(refused.command(), refused.requestId().orElse(""));
      if (refused.isStart()) {
        broker.runEnded(refused.startedRequest(), RunOutcome.NOT_STARTED, 0, null);
      }
    }
  }

  /** Sends a command that the pool answers. */
  private void query(String command) {
    awaitsAnswerSince = Math.min(awaitsAnswerSince, client.now());
    command(command);
  }

  private void command(String command) {
    send(
        command.length() + 1,
        out -> {
          out.writeCharSequence(command, StandardCharsets.UTF_8);
          out.writeByte('\n');
        });
  }

  @Override
  public boolean isReady() {
    return accepted && !isClosed();
  }

  @Override
  public boolean startRun(Exchange exchange) {
    command(
        PoolProtocol.startRun(
            exchange.request().id(), exchange.request().className(), exchange.request().body()));
    return true;
  }

  @Override
  public void stopRun(String id) {
    command(PoolProtocol.stopRun(id));
  }

  @Override
  public void resumeRun(String id) {
    command(PoolProtocol.resumeRun(id));
  }

  @Override
  public void resumeWithResult(String id, byte[] result) {
    command(PoolProtocol.resumeWithResult(id, result));
  }

  @Override
  public void resumeWithoutResult(String id) {
    command(PoolProtocol.resumeWithoutResult(id));
  }

  @Override
  public void requestGauges(String echo) {
    query(PoolProtocol.requestGauges(echo));
  }

  @Override
  public void startHealthCheck(String echo) {
    command(PoolProtocol.startHealthCheck(echo));
  }
}
