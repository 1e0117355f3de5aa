package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
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
  private final ConnectionEvents events;
  private final InputDecoder input;
  private final ConnectionTimeouts timeouts = new ConnectionTimeouts();
  private final CloseLinger linger = new CloseLinger();
  private ChannelHandlerContext context;
  private CloseReason reason = CloseReason.PEER_CLOSED;
  private String detail = "";
  private boolean failingPending;
  private boolean closing;
  private boolean inactive;
  private boolean endHandled;
  private Scheduler clock;
  private Runnable activityListener = () -> {};
  private final HeldMemory memory = new HeldMemory(this);
  private final CoalescingWriter writer = new CoalescingWriter(memory::updateAndEnforceLimit);

  /**
   * Creates the state of a connection.
   *
   * @param side its name in the log and in counters
   * @param maxBufferedBytes most bytes of an incomplete message that are buffered
   * @param log the event log
   * @param counters the counters to increment
   */
  protected Connection(String side, int maxBufferedBytes, EventLog log, Counters counters) {
    input = new InputDecoder(this, maxBufferedBytes);
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
    return isIdle() && timeouts.isSettled() && !input.isAwaitingBudget();
  }

  final InputDecoder input() {
    return input;
  }

  final HeldMemory memory() {
    return memory;
  }

  /** Returns whether the connection is open, lingering or not. */
  final boolean isOpen() {
    return context != null && !inactive;
  }

  /** Returns the channel. Must not be called before the connection is open. */
  final Channel channel() {
    return context.channel();
  }

  /** Returns the bytes that the peer does not read although they were sent. */
  final long unsentBytes() {
    return writer.unsentBytes(context);
  }

  /**
   * Skips the message at the start of the bytes, including what has not been received of it, if its
   * length is known. Consumes nothing.
   *
   * @param in the bytes received so far, which hold no complete message
   */
  protected void skipMessage(ByteBuf in) {}

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
    return now <= timeoutAt(timeout)
        ? null
        : timeouts.reason(now, timeout, timeouts.incompleteInputSince(this));
  }

  /** Returns when the connection times out, or {@link #NEVER} if nothing is awaited. */
  final long timeoutAt(long timeout) {
    boolean reads = !closing && !input.isAwaitingBudget() && !timeouts.isWriteBlocked();
    return timeouts.timeoutAt(timeout, reads, timeouts.incompleteInputSince(this));
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
      if (!input.isEmpty() && !input.isAwaitingBudget()) {
        decodeBuffered(); // skips what was received of the failed requests
      }
      memory.update();
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
    linger.shutDownOutput(context, this::handleEnd);
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
   * Reads the socket at once and decodes what it held, so that the connection is not closed while a
   * request lies unread in it. Must not be called from within a read of this connection.
   */
  void readNow() {
    if (!isClosed()
        && context.channel().config().isAutoRead()
        && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
      input.finishReadAhead();
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
    input.finishReadAheadOfOthers();
    ByteBuf received = (ByteBuf) message;
    int size = received.readableBytes();
    events.bytesRead(size);
    if (linger.isActive()) {
      received.release();
      linger.countDiscarded(size, ctx);
      return;
    }
    input.append(received, ctx.alloc());
    timeouts.bytesReceived(now());
    if (!input.isAwaitingBudget() && !input.delay(ctx.executor())) {
      decodeBuffered();
    }
    if (input.isFull()) {
      input.pauseReading();
    }
  }

  /** Decodes what is buffered, unless it awaits the read budget or the peer. */
  final void decodeBuffered() {
    decode(input::decodeMessages);
  }

  /** Decodes what is buffered because its memory is needed, unless the peer has left. */
  final void decodeAtOnce() {
    if (context.channel().isActive()) {
      decode(input::decodeRegardlessOfBudget);
    }
  }

  private void decode(InputDecoder.Decoding decoding) {
    try {
      decoding.run();
    } catch (ProtocolException violation) {
      count("malformed");
      close(violation.reason(), violation.getMessage());
    } catch (RuntimeException defect) {
      fault(defect);
    }
    if (input.isEmpty() || isClosed()) {
      input.clear();
      timeouts.bufferEmptied();
    }
    activityListener.run();
    memory.updateAndEnforceLimit();
  }

  /** Records that a message was decoded, or that none is complete. */
  final void messageDecoded(boolean complete) {
    if (complete) {
      events.messageDecoded();
      timeouts.messageDecoded(now());
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
      ctx.channel().config().setAutoRead(writable && !input.isAwaitingBudget());
    }
    if (writable && !input.isEmpty()) {
      timeouts.decodingResumed(now());
      ctx.executor().execute(input::decodeReceived);
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
    if (!inactive) {
      activityListener.run();
    }
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    if (inactive) {
      return;
    }
    inactive = true;
    input.clear();
    handleEnd();
    memory.update();
    events.closed(reason, ctx.channel().remoteAddress(), writer.bytesWritten(), detail);
  }
}
