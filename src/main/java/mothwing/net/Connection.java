package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;

/**
 * One connection, accepted or opened by this process: accumulates bytes until a decoder can take a
 * complete message, bounds what is buffered, applies back-pressure by not reading while the other
 * side does not read, and writes one log line when it ends. On its event loop's thread only.
 */
public abstract class Connection extends ChannelInboundHandlerAdapter {
  /** A time that never comes. */
  protected static final long NEVER = Long.MAX_VALUE;

  private final int maxBufferedBytes;
  private final ConnectionEvents events;
  private final ConnectionTimeouts timeouts = new ConnectionTimeouts();
  private final CloseLinger linger = new CloseLinger();
  private final CoalescingWriter writer = new CoalescingWriter();
  private ChannelHandlerContext context;
  private ByteBuf buffered;
  private CloseReason reason = CloseReason.PEER_CLOSED;
  private String detail = "";
  private boolean closing;
  private boolean inactive;
  private boolean endHandled;
  private long bytesRead;
  private long messages;
  private Scheduler clock;
  private Runnable activityListener = () -> {};
  private ReadBudget readBudget;
  private boolean awaitingBudget;

  /**
   * Makes the state of a connection.
   *
   * @param side its name in the log and in counters
   * @param maxBufferedBytes most bytes that may be buffered of an incomplete message
   * @param log takes its log line
   * @param counters counts what happens
   */
  protected Connection(String side, int maxBufferedBytes, EventLog log, Counters counters) {
    this.maxBufferedBytes = maxBufferedBytes;
    events = new ConnectionEvents(side, log, counters);
  }

  /** Called once the connection is open. */
  protected void onOpened() {}

  /**
   * Takes one complete message off the bytes received so far.
   *
   * @param in the bytes
   * @return false where no complete message is there, in which case nothing was taken
   * @throws ProtocolException where the bytes break the protocol
   */
  protected abstract boolean decode(ByteBuf in) throws ProtocolException;

  /** Called once, when the connection has ended. */
  protected abstract void onClosed();

  /**
   * Whether no request is open on it.
   *
   * @return true if it may be closed
   */
  public boolean isIdle() {
    return true;
  }

  /**
   * Since when a request on it is incomplete. The oldest one counts, and a further byte of it
   * changes nothing, so that a request sent byte by byte times out too.
   *
   * @return a time of {@link #now}, or {@link #NEVER} where there is none
   */
  protected long incompleteRequestSince() {
    return NEVER;
  }

  /**
   * Whether no request is open on it, no part of a message has come, and the other side reads what
   * is sent: then it may be closed. A peer that does not read is not read from, so that a request
   * may lie in its socket.
   */
  final boolean isQuiet() {
    return isIdle() && timeouts.isSettled() && !awaitingBudget;
  }

  /** Whether bytes received on it wait for the read budget of this process. */
  final boolean isAwaitingBudget() {
    return awaitingBudget;
  }

  /** Makes it share a read budget with other connections. */
  final void limitReads(ReadBudget budget) {
    readBudget = budget;
  }

  /** The read budget has come round to it. */
  final void resumeReading() {
    awaitingBudget = false;
    if (isClosed()) {
      return;
    }
    decodeBuffered();
    if (!awaitingBudget && !isClosed()) {
      context.channel().config().setAutoRead(context.channel().isWritable());
    }
  }

  /**
   * Gives it a clock, which starts its timeouts.
   *
   * @param scheduler the clock
   * @param listener called when bytes came or left, or its state changed
   */
  final void superviseWith(Scheduler scheduler, Runnable listener) {
    clock = scheduler;
    timeouts.opened(scheduler.now());
    activityListener = listener;
  }

  /**
   * The clock.
   *
   * @return microseconds, or 0 where the connection is not supervised
   */
  protected final long now() {
    return clock == null ? 0 : clock.now();
  }

  /** Marks the other side as one that speaks the protocol: a complete request was read. */
  protected final void markIdentified() {
    timeouts.identified();
  }

  /** Whether no complete request was ever read on it. */
  final boolean isUnidentified() {
    return !timeouts.isIdentified();
  }

  /** Why it has timed out, or null where it has not. */
  final CloseReason timeoutReason(long now, long timeout) {
    return now <= timeoutAt(timeout)
        ? null
        : timeouts.reason(now, timeout, incompleteRequestSince());
  }

  /** When it times out as things are, or {@link #NEVER} where nothing is awaited of its peer. */
  final long timeoutAt(long timeout) {
    return timeouts.expiresAt(timeout, !closing && !awaitingBudget, incompleteRequestSince());
  }

  /**
   * Counts under this connection's side.
   *
   * @param name what is counted
   */
  protected final void count(String name) {
    events.count(name);
  }

  /**
   * A buffer for bytes to be sent.
   *
   * @param size an estimate of their number
   * @return an empty buffer
   */
  protected final ByteBuf allocate(int size) {
    return context.alloc().buffer(size);
  }

  /**
   * Sends bytes.
   *
   * @param bytes what to send; released by this call or after it
   */
  protected final void send(ByteBuf bytes) {
    if (closing) {
      bytes.release();
      return;
    }
    writer.write(context, bytes);
    activityListener.run();
  }

  /**
   * Closes the connection once all that was sent has left: this side is shut first, and what still
   * comes is discarded for a bounded time.
   *
   * @param why the reason
   * @param what more on it, or an empty text
   */
  public final void close(CloseReason why, String what) {
    if (isClosed()) {
      return;
    }
    closing = true;
    reason = why;
    detail = what;
    timeouts.writeBlocked(now());
    activityListener.run();
    linger.shutOutput(context, this::onOutputShut);
  }

  private void onOutputShut() {
    handleEnd();
    activityListener.run();
  }

  /** Whether this side is shut, and only the other side's close is awaited. */
  final boolean isLingering() {
    return linger.isActive();
  }

  /** Closes it without waiting for the other side. */
  final void endLinger() {
    context.close();
  }

  /**
   * Reads what lies in the socket, so that a connection is not closed over a request that has
   * arrived. Not to be called from within a read of this connection.
   */
  void readNow() {
    if (!isClosed()
        && context.channel().config().isAutoRead()
        && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
  }

  /**
   * Whether it was closed from this side, or has ended.
   *
   * @return true if nothing can be sent
   */
  protected final boolean isClosed() {
    return closing || inactive;
  }

  @Override
  public final void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    count("opened");
    onOpened();
  }

  @Override
  public final void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf received = (ByteBuf) message;
    int size = received.readableBytes();
    bytesRead += size;
    if (linger.isActive()) {
      received.release();
      linger.discarded(size, ctx);
      return;
    }
    buffered = buffered == null ? received : joined(ctx, buffered, received);
    timeouts.bytesReceived(now());
    if (!awaitingBudget) {
      decodeBuffered();
    }
  }

  private void decodeBuffered() {
    try {
      decodeMessages();
    } catch (ProtocolException bad) {
      count("malformed");
      close(bad.reason(), bad.getMessage());
    } catch (RuntimeException broken) {
      fault(broken);
    }
    if (buffered != null && (!buffered.isReadable() || isClosed())) {
      releaseBuffered();
    }
    if (buffered == null) {
      timeouts.bufferEmptied();
    }
    activityListener.run();
  }

  private void decodeMessages() throws ProtocolException {
    boolean complete = true;
    while (complete && !isClosed() && !awaitingBudget && buffered.isReadable()) {
      if (readBudget != null && !readBudget.hasBudget()) {
        awaitingBudget = true;
        readBudget.enqueue(this);
        context.channel().config().setAutoRead(false);
      } else if (decode(buffered)) {
        messages++;
        timeouts.messageDecoded(now());
      } else {
        complete = false;
      }
    }
    if (!isClosed() && !awaitingBudget && buffered.readableBytes() > maxBufferedBytes) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "over " + maxBufferedBytes + " bytes without an end");
    }
  }

  private static ByteBuf joined(ChannelHandlerContext ctx, ByteBuf before, ByteBuf received) {
    ByteBuf both = ctx.alloc().buffer(before.readableBytes() + received.readableBytes());
    both.writeBytes(before).writeBytes(received);
    before.release();
    received.release();
    return both;
  }

  private void releaseBuffered() {
    buffered.release();
    buffered = null;
  }

  /** Back-pressure: nothing is read from a peer that does not read what was sent to it. */
  @Override
  public final void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean writable = ctx.channel().isWritable();
    if (writable) {
      timeouts.writeResumed();
    } else {
      timeouts.writeBlocked(now());
    }
    activityListener.run();
    if (!closing) {
      ctx.channel().config().setAutoRead(writable && !awaitingBudget);
    }
  }

  /** Closes it without waiting for what was sent to leave. */
  final void closeNow(CloseReason why) {
    if (!closing) {
      closing = true;
      reason = why;
    }
    context.close();
  }

  private void fault(Throwable cause) {
    events.fault(cause);
    close(CloseReason.FAULT, "");
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      reason = closing ? reason : CloseReason.PEER_RESET;
      closing = true;
      ctx.close();
    } else {
      fault(cause);
    }
  }

  /** Ends what was open on it, once this side can send nothing more. */
  private void handleEnd() {
    if (endHandled) {
      return;
    }
    endHandled = true;
    try {
      onClosed();
    } catch (RuntimeException broken) {
      events.fault(broken);
    }
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    if (inactive) {
      return;
    }
    inactive = true;
    if (buffered != null) {
      releaseBuffered();
    }
    handleEnd();
    events.ended(reason, traffic(ctx), detail);
  }

  private String traffic(ChannelHandlerContext ctx) {
    return "peer="
        + ctx.channel().remoteAddress()
        + " in="
        + bytesRead
        + " out="
        + writer.bytesWritten()
        + " messages="
        + messages;
  }
}
