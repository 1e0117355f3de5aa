package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;

/**
 * One connection, of a front or of the client side: gathers bytes until a decoder can take a whole
 * piece, keeps to bounds, stops reading while the other side does not read, and leaves one line in
 * the log when it ends.
 */
public abstract class Connection extends ChannelInboundHandlerAdapter {
  /** A time that never comes. */
  protected static final long NEVER = Long.MAX_VALUE;

  /**
   * Milliseconds for which the other side may close too, after this side has sent its last byte.
   */
  static final int LINGER_MS = 250;

  /** Most bytes that are read and dropped meanwhile; over it the connection is closed as it is. */
  static final int MOST_DROPPED = 128 << 10;

  private final String side;
  private final int mostGathered;
  private final EventLog log;
  private final Counters counters;
  private ChannelHandlerContext context;
  private ByteBuf gathered;
  private CloseReason reason = CloseReason.PEER_CLOSED;
  private String detail = "";
  private boolean closing;
  private boolean onClosed;
  private boolean handledEnd;
  private boolean isLingering;
  private int dropped;
  private long bytesIn;
  private long bytesOut;
  private long pieces;
  private Scheduler clock;
  private Runnable stirred = () -> {};
  private long openedAt;
  private long pieceSince = NEVER;
  private long deafSince = NEVER;
  private boolean introduced;
  private ReadBudget turns;
  private boolean awaits;
  private boolean flushes;

  /**
   * Makes the state of a connection.
   *
   * @param side its name in the log and in counters
   * @param mostGathered most bytes that may be gathered before a whole piece is there
   * @param log takes its line
   * @param counters counts what happens
   */
  protected Connection(String side, int mostGathered, EventLog log, Counters counters) {
    this.side = side;
    this.mostGathered = mostGathered;
    this.log = log;
    this.counters = counters;
  }

  /** The connection is open. */
  protected void onOpened() {}

  /**
   * Takes a whole piece off the bytes that came.
   *
   * @param in the bytes
   * @return false where no whole piece is there, in which case nothing was taken
   * @throws Malformed where the bytes are not the protocol
   */
  protected abstract boolean decode(ByteBuf in) throws ProtocolException;

  /** The connection has ended; called once. */
  protected abstract void onClosed();

  /**
   * Whether nothing is open on it.
   *
   * @return true if it may be closed
   */
  public boolean isIdle() {
    return true;
  }

  /**
   * Since when a request on it was begun and is not read whole yet; the oldest counts, and a
   * further byte of it changes nothing, so that a drip comes to an end.
   *
   * @return a time of {@link #now}, or {@link #NEVER} where there is none
   */
  protected long halfReadSince() {
    return NEVER;
  }

  /**
   * Whether nothing is open on it, no part of a piece has come, and all that was sent is being
   * read: then it may be closed. Who does not read is not read from, so that what it asked for may
   * lie in its socket.
   */
  final boolean isQuiet() {
    return isIdle() && pieceSince == NEVER && !awaits && deafSince == NEVER;
  }

  /** Whether what came on it waits for this process to take it. */
  final boolean isAwaitingBudget() {
    return awaits;
  }

  /** Lets it take pieces in turns. */
  final void limitReads(ReadBudget all) {
    turns = all;
  }

  /** Its turn has come. */
  final void resumeReading() {
    awaits = false;
    if (isClosed()) {
      return;
    }
    takeAll();
    if (!awaits && !isClosed()) {
      context.channel().config().setAutoRead(context.channel().isWritable());
    }
  }

  /** Tells the time to a connection, and whom to tell when something came or left on it. */
  final void superviseWith(Scheduler time, Runnable watcher) {
    clock = time;
    openedAt = time.now();
    stirred = watcher;
  }

  /**
   * The clock.
   *
   * @return microseconds, or 0 where the connection is not watched
   */
  protected final long now() {
    return clock == null ? 0 : clock.now();
  }

  /** Marks it as that of a party that speaks the protocol: a whole request was read. */
  protected final void markIdentified() {
    introduced = true;
  }

  /** Whether no whole request was ever read on it. */
  final boolean isUnidentified() {
    return !introduced;
  }

  /** Why it may not stay as it is, or null where it may. */
  final CloseReason timeoutReason(long now, long patience) {
    if (now <= timeoutAt(patience)) {
      return null;
    } else if (deafSince < now - patience) {
      return CloseReason.NOT_READ;
    }
    return Math.min(pieceSince, halfReadSince()) < now - patience
        ? CloseReason.HALF_SENT
        : CloseReason.SILENT;
  }

  /** Until when it may stay as it is, or {@link #NEVER} where nothing is missing. */
  final long timeoutAt(long patience) {
    long since = deafSince;
    if (!closing && !awaits) { // what it waits for is this side
      since =
          Math.min(
              since,
              Math.min(Math.min(pieceSince, halfReadSince()), isUnidentified() ? openedAt : NEVER));
    }
    return since == NEVER ? NEVER : since + patience;
  }

  /**
   * Counts under this connection's side.
   *
   * @param name what is counted
   */
  protected final void count(String name) {
    counters.add(side + "-" + name);
  }

  /**
   * Room for bytes to be sent.
   *
   * @param size a guess of their number
   * @return an empty buffer
   */
  protected final ByteBuf allocate(int size) {
    return context.alloc().buffer(size);
  }

  /**
   * Sends bytes.
   *
   * @param bytes what to send; given away
   */
  protected final void send(ByteBuf bytes) {
    if (closing) {
      bytes.release();
      return;
    }
    bytesOut += bytes.readableBytes();
    context.write(bytes, context.voidPromise());
    if (!flushes) { // what one batch answers leaves in one go
      flushes = true;
      context
          .executor()
          .execute(
              () -> {
                flushes = false;
                context.flush();
              });
    }
    stirred.run();
  }

  /**
   * Closes the connection once all that was sent has left: this side is shut first, and what still
   * comes is read and dropped until the other side closes too, for {@link #LINGER_MS} at most. A
   * close over unread bytes would reset the connection, and an answer on its way could go with
   * that.
   *
   * @param why the reason
   * @param what more on it, or an empty text
   */
  public final void close(CloseReason why, String what) {
    if (closing || onClosed) {
      return;
    }
    closing = true;
    reason = why;
    detail = what;
    deafSince = Math.min(deafSince, now());
    stirred.run();
    context.channel().config().setAutoRead(false);
    context
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            left -> {
              if (left.isSuccess()
                  && context.channel() instanceof DuplexChannel duplex
                  && duplex.isActive()) {
                duplex.shutdownOutput().addListener(shut -> linger((ChannelFuture) shut));
              } else {
                context.close();
              }
            });
  }

  private void linger(ChannelFuture shut) {
    if (!shut.isSuccess() || !context.channel().isActive()) {
      context.close();
      return;
    }
    isLingering = true;
    handleEnd();
    stirred.run();
    if (context.channel().isOpen()) {
      context.channel().config().setAutoRead(true);
      context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether this side is shut, and only the other one's close is waited for. */
  final boolean isLingering() {
    return isLingering;
  }

  /** Closes it now. */
  final void endLinger() {
    context.close();
  }

  /**
   * Reads what lies in the socket, as is done before a connection is closed for having nothing open
   * on it. Not from within a read of this connection.
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
    return closing || onClosed;
  }

  @Override
  public final void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    count("opened");
    onOpened();
  }

  @Override
  public final void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf came = (ByteBuf) message;
    bytesIn += came.readableBytes();
    if (isLingering) {
      dropped += came.readableBytes();
      came.release();
      if (dropped > MOST_DROPPED) {
        ctx.close();
      }
      return;
    }
    if (gathered == null) {
      gathered = came;
    } else {
      gathered = joined(ctx, gathered, came);
    }
    pieceSince = Math.min(pieceSince, now());
    if (!awaits) {
      takeAll();
    }
  }

  private void takeAll() {
    try {
      boolean whole = true;
      while (whole && !isClosed() && !awaits && gathered.isReadable()) {
        if (turns != null && !turns.hasBudget()) {
          awaits = true;
          turns.enqueue(this);
          context.channel().config().setAutoRead(false);
        } else if (decode(gathered)) {
          pieces++;
          pieceSince = now();
        } else {
          whole = false;
        }
      }
      if (!isClosed() && !awaits && gathered.readableBytes() > mostGathered) {
        throw new ProtocolException(
            CloseReason.OVERSIZED, "over " + mostGathered + " bytes without an end");
      }
    } catch (ProtocolException bad) {
      count("malformed");
      close(bad.reason(), bad.getMessage());
    } catch (RuntimeException broken) {
      fault(broken);
    }
    if (gathered != null && (!gathered.isReadable() || isClosed())) {
      drop();
    }
    if (gathered == null) {
      pieceSince = NEVER;
    }
    stirred.run();
  }

  private static ByteBuf joined(ChannelHandlerContext ctx, ByteBuf before, ByteBuf came) {
    ByteBuf both = ctx.alloc().buffer(before.readableBytes() + came.readableBytes());
    both.writeBytes(before).writeBytes(came);
    before.release();
    came.release();
    return both;
  }

  private void drop() {
    gathered.release();
    gathered = null;
  }

  /**
   * Answers that the other side does not read stay bounded: nothing more is read from it until it
   * does.
   */
  @Override
  public final void channelWritabilityChanged(ChannelHandlerContext ctx) {
    boolean reads = ctx.channel().isWritable();
    deafSince = reads ? NEVER : Math.min(deafSince, now());
    stirred.run();
    if (!closing) {
      ctx.channel().config().setAutoRead(reads && !awaits);
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

  private void fault(Throwable broken) {
    counters.add("faults");
    StackTraceElement[] stack = broken.getStackTrace();
    log.write(
        "fault side="
            + side
            + " what=\""
            + broken
            + "\""
            + (stack.length > 0 ? " at=" + stack[0] : ""));
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

  /** Whatever was open on it is over, once this side can send nothing more. */
  private void handleEnd() {
    if (handledEnd) {
      return;
    }
    handledEnd = true;
    try {
      onClosed();
    } catch (RuntimeException broken) {
      counters.add("faults");
      log.write("fault side=" + side + " what=\"" + broken + "\"");
    }
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    if (onClosed) {
      return;
    }
    onClosed = true;
    if (gathered != null) {
      drop();
    }
    handleEnd();
    count("ended-" + reason.code());
    log.write(
        "end side="
            + side
            + " reason="
            + reason.code()
            + " peer="
            + ctx.channel().remoteAddress()
            + " in="
            + bytesIn
            + " out="
            + bytesOut
            + " pieces="
            + pieces
            + (detail.isEmpty() ? "" : " detail=\"" + detail + "\""));
  }
}
