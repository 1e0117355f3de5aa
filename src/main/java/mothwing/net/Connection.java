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
 * One connection, accepted or opened by this process. It accumulates bytes until a complete message
 * can be decoded, bounds the buffered bytes, applies back-pressure by not reading while the peer
 * does not read, and writes one log line when it ends. Used on its event loop's thread only.
 */
public abstract class Connection extends ChannelInboundHandlerAdapter implements OpenRequests {
  private final int maxBufferedBytes;
  private final ConnectionEvents events;
  private final ConnectionTimeouts timeouts = new ConnectionTimeouts();
  private final CloseLinger linger = new CloseLinger();
  private final CoalescingWriter writer = new CoalescingWriter();
  private ChannelHandlerContext context;
  private final ReceiveBuffer buffered = new ReceiveBuffer();
  private CloseReason reason = CloseReason.PEER_CLOSED;
  private String detail = "";
  private boolean failingPending;
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
   * Creates the state of a connection.
   *
   * @param side its name in the log and in counters
   * @param maxBufferedBytes most bytes of an incomplete message that are buffered
   * @param log the event log
   * @param counters the counters to increment
   */
  protected Connection(String side, int maxBufferedBytes, EventLog log, Counters counters) {
    this.maxBufferedBytes = maxBufferedBytes;
    events = new ConnectionEvents(side, log, counters);
  }

  /** Called once the connection is open. */
  protected void onOpened() {}

  /**
   * Decodes and consumes one complete message.
   *
   * @param in the bytes received so far
   * @return false if no message is complete, in which case nothing was consumed
   * @throws ProtocolException if the bytes violate the protocol
   */
  protected abstract boolean decode(ByteBuf in) throws ProtocolException;

  /** Called once when the connection has ended or can send nothing more. */
  protected abstract void onClosed();

  /**
   * Returns whether the connection may be closed: no request is open, no part of a message has been
   * received, nothing awaits the read budget, and the peer reads what is sent to it. A peer that
   * does not read is not read from, so its socket may hold an unread request.
   */
  final boolean isClosable() {
    return isIdle() && timeouts.isSettled() && !awaitingBudget;
  }

  /** Returns whether received bytes wait for the read budget of this process. */
  final boolean isAwaitingBudget() {
    return awaitingBudget;
  }

  /** Sets the read budget, which is shared with other connections. */
  final void setReadBudget(ReadBudget budget) {
    readBudget = budget;
  }

  /** Decodes the bytes that awaited the read budget, and reads on if it is not used up again. */
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
   * Sets the clock and starts the timeouts.
   *
   * @param scheduler the clock
   * @param onActivity called when bytes were received or sent, or the connection's state changed
   */
  final void startTimeouts(Scheduler scheduler, Runnable onActivity) {
    clock = scheduler;
    timeouts.opened(scheduler.now());
    activityListener = onActivity;
  }

  /**
   * Returns the current time.
   *
   * @return monotonic microseconds, or 0 if the timeouts have not been started
   */
  protected final long now() {
    return clock == null ? 0 : clock.now();
  }

  /** Marks the peer as identified: it speaks the protocol, since a complete request was read. */
  protected final void markIdentified() {
    timeouts.identified();
  }

  /** Returns whether no complete request has been read yet. */
  final boolean isUnidentified() {
    return !timeouts.isIdentified();
  }

  /** Returns why the connection has timed out, or null if it has not. */
  final CloseReason timeoutReason(long now, long timeout) {
    return now <= timeoutAt(timeout) ? null : timeouts.reason(now, timeout, incompleteInputSince());
  }

  /** Returns when the connection times out, or {@link #NEVER} if nothing is awaited. */
  final long timeoutAt(long timeout) {
    boolean reads = !closing && !awaitingBudget && !timeouts.isWriteBlocked();
    return timeouts.timeoutAt(timeout, reads, incompleteInputSince());
  }

  /**
   * Returns when the input began that is incomplete and times out. While an answer is pending only
   * requests time out, each on its own: an incomplete message that belongs to none is kept until
   * the last answer is sent.
   */
  private long incompleteInputSince() {
    long requestSince = incompleteRequestSince();
    return isAnswerPending()
        ? requestSince
        : Math.min(requestSince, timeouts.incompleteMessageSince());
  }

  /**
   * Ends what has timed out: the connection, or only the incomplete requests if the answers to
   * others are pending.
   *
   * @param timeout why the connection has timed out
   * @param startedBefore a request that began before this time has timed out
   */
  final void endTimedOut(CloseReason timeout, long startedBefore) {
    if (timeout == CloseReason.NOT_READ) {
      closeNow(timeout);
    } else if (isAnswerPending()) {
      failIncompleteRequests(startedBefore);
      if (buffered.size() > 0 && !awaitingBudget) {
        decodeBuffered(); // skips what was received of the failed requests
      }
    } else {
      close(timeout, "");
    }
  }

  /**
   * Increments a counter of this connection's side.
   *
   * @param name the counter's name, without the side
   */
  protected final void count(String name) {
    events.count(name);
  }

  /**
   * Encodes and sends a message. Does nothing if the connection is closing.
   *
   * @param estimatedBytes an estimate of the size of the message
   * @param encoder encodes the message; what it throws is passed on, and nothing is sent
   */
  protected final void send(int estimatedBytes, MessageEncoder encoder) {
    if (closing) {
      return;
    }
    writer.write(context, MessageEncoder.encode(context.alloc(), estimatedBytes, encoder));
    activityListener.run();
  }

  /**
   * Closes the connection once everything sent has been flushed: pending requests are failed, the
   * output is shut down, and further input is discarded for a bounded time.
   *
   * @param closeReason the reason
   * @param closeDetail details of the reason, or an empty string
   */
  public final void close(CloseReason closeReason, String closeDetail) {
    if (isClosed() || failingPending) {
      return;
    }
    failingPending = true;
    try {
      failPendingRequests();
    } finally {
      shutDown(closeReason, closeDetail);
    }
  }

  private void shutDown(CloseReason closeReason, String closeDetail) {
    closing = true;
    reason = closeReason;
    detail = closeDetail;
    timeouts.writeBlocked(now());
    activityListener.run();
    linger.shutDownOutput(context, this::onOutputShutDown);
  }

  private void onOutputShutDown() {
    handleEnd();
    activityListener.run();
  }

  /** Returns whether the output is shut down and only the peer's close is awaited. */
  final boolean isLingering() {
    return linger.isActive();
  }

  /** Closes the connection without waiting for the peer's close. */
  final void endLinger() {
    context.close();
  }

  /**
   * Reads the socket at once, so that the connection is not closed while a request lies unread in
   * it. Must not be called from within a read of this connection.
   */
  void readNow() {
    if (!isClosed()
        && context.channel().config().isAutoRead()
        && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
  }

  /**
   * Returns whether this side has closed the connection, or it has ended.
   *
   * @return true if nothing more can be sent
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
      linger.countDiscarded(size, ctx);
      return;
    }
    buffered.append(received, ctx.alloc());
    timeouts.bytesReceived(now());
    if (!awaitingBudget) {
      decodeBuffered();
    }
  }

  private void decodeBuffered() {
    try {
      decodeMessages();
    } catch (ProtocolException violation) {
      count("malformed");
      close(violation.reason(), violation.getMessage());
    } catch (RuntimeException defect) {
      fault(defect);
    }
    if (buffered.size() == 0 || isClosed()) {
      buffered.clear();
      timeouts.bufferEmptied();
    }
    activityListener.run();
  }

  private void decodeMessages() throws ProtocolException {
    boolean complete = true;
    while (complete && !isClosed() && !awaitingBudget && buffered.size() > 0) {
      if (readBudget != null && !readBudget.hasBudget()) {
        awaitingBudget = true;
        readBudget.enqueue(this);
        context.channel().config().setAutoRead(false);
      } else if (decode(buffered.bytes())) {
        messages++;
        timeouts.messageDecoded(now());
      } else {
        complete = false;
      }
    }
    if (!isClosed() && !awaitingBudget && buffered.size() > maxBufferedBytes) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "incomplete message exceeds " + maxBufferedBytes + " bytes");
    }
  }

  /** Applies back-pressure: nothing is read from a peer that does not read what was sent to it. */
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

  /** Closes the connection at once; output that is not flushed is lost. */
  final void closeNow(CloseReason closeReason) {
    if (!closing) {
      closing = true;
      reason = closeReason;
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

  /** Ends the open requests once this side can send nothing more. */
  private void handleEnd() {
    if (endHandled) {
      return;
    }
    endHandled = true;
    try {
      onClosed();
    } catch (RuntimeException defect) {
      events.fault(defect);
    }
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    if (inactive) {
      return;
    }
    inactive = true;
    buffered.clear();
    handleEnd();
    events.closed(reason, trafficFields(ctx), detail);
  }

  private String trafficFields(ChannelHandlerContext ctx) {
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
