package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import java.util.concurrent.Executor;

/**
 * Collects the received bytes of one connection and has complete messages decoded, as far as the
 * read budget of the process permits. Used on the connection's event loop only.
 */
final class InputDecoder {
  /** Decodes buffered bytes. */
  @FunctionalInterface
  interface Decoding {
    void run() throws ProtocolException;
  }

  /** Most bytes that are read ahead; no more is read until some of them are decoded. */
  private static final int MAX_READ_AHEAD_BYTES = 112 << 10;

  private final Connection connection;
  private final int maxBufferedBytes;
  private final ReceiveBuffer buffered = new ReceiveBuffer();
  private ReadBudget budget;
  private ReadAhead readAhead;
  private boolean awaitingBudget;
  private long backloggedUntil = Long.MIN_VALUE;

  /**
   * Creates a decoder without input.
   *
   * @param connection decodes the messages
   * @param maxBufferedBytes most bytes of an incomplete message that are buffered
   */
  InputDecoder(Connection connection, int maxBufferedBytes) {
    this.connection = connection;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /** Sets the read budget, which is shared with other connections. */
  void setBudget(ReadBudget shared) {
    budget = shared;
  }

  /** Sets the delay of decoding, which is shared with other connections. */
  void setReadAhead(ReadAhead shared) {
    readAhead = shared;
  }

  /** Ends the delay of the input of other connections, before this one's is appended. */
  void finishReadAheadOfOthers() {
    if (readAhead != null) {
      readAhead.finishOthers(connection);
    }
  }

  /** Ends the delay of any input, this connection's included. */
  void finishReadAhead() {
    if (readAhead != null) {
      readAhead.finish();
    }
  }

  /**
   * Delays the received input until the socket has been read.
   *
   * @param eventLoop the event loop of the connection
   * @return false if it is to be decoded now: nothing is read ahead once the read budget is used
   *     up, or while the connections hold much
   */
  boolean delay(Executor eventLoop) {
    if (readAhead == null || !connection.memory().permitsReadAhead() || !budget.hasBudget()) {
      return false;
    }
    readAhead.delay(connection, eventLoop);
    return true;
  }

  /** Returns whether received bytes may hold complete messages that are not decoded yet. */
  boolean isUndecoded() {
    return awaitingBudget || (readAhead != null && readAhead.isDelayed(connection));
  }

  /** Returns whether this connection has lately had more input than fits a slice of the budget. */
  boolean isBacklogged(long now) {
    return now < backloggedUntil;
  }

  /** Sets until when this connection counts as one with more input than fits a slice. */
  void setBackloggedUntil(long time) {
    backloggedUntil = time;
  }

  /** Returns whether received bytes wait for the read budget of this process. */
  boolean isAwaitingBudget() {
    return awaitingBudget;
  }

  /**
   * Ends the wait for the read budget: reads on, and decodes the buffered bytes unless the peer has
   * left in the meantime.
   */
  void resumeReading() {
    awaitingBudget = false;
    if (connection.isClosed()) {
      return;
    }
    boolean readsFirst = isEmpty() || connection.memory().permitsReadAhead();
    if (readsFirst && !isFull()) {
      channelConfig().setAutoRead(channel().isWritable());
      connection.readNow();
    }
    decodeReceived();
  }

  /**
   * Decodes the received bytes unless the peer has left or they await the read budget, and reads
   * on.
   */
  void decodeReceived() {
    if (!awaitingBudget && channel().isActive()) {
      connection.decodeBuffered();
    }
    if (!awaitingBudget && !connection.isClosed()) {
      channelConfig().setAutoRead(channel().isWritable());
    }
  }

  /** Stops reading from the socket until {@link #resumeReading} or {@link #decodeReceived}. */
  void pauseReading() {
    channelConfig().setAutoRead(false);
  }

  private Channel channel() {
    return connection.channel();
  }

  private ChannelConfig channelConfig() {
    return channel().config();
  }

  /** Returns whether nothing more is to be read until buffered bytes are decoded. */
  boolean isFull() {
    return buffered.size() >= MAX_READ_AHEAD_BYTES;
  }

  /** Appends received bytes, and releases them. */
  void append(ByteBuf received, ByteBufAllocator allocator) {
    buffered.append(received, allocator);
  }

  /** Returns whether no byte is buffered. */
  boolean isEmpty() {
    return buffered.size() == 0;
  }

  /** Returns the buffered bytes. Must not be called while there are none. */
  ByteBuf bytes() {
    return buffered.bytes();
  }

  /** Returns the memory that the buffered bytes occupy. */
  int heldBytes() {
    return buffered.capacity();
  }

  /** Releases the buffered bytes. */
  void clear() {
    buffered.clear();
  }

  /**
   * Decodes messages until the buffered bytes hold no complete one, the connection is closed, the
   * read budget is used up, or the peer has to read answers first.
   *
   * @throws ProtocolException if the bytes violate the protocol, or an incomplete message exceeds
   *     its bound
   */
  void decodeMessages() throws ProtocolException {
    if (budget != null) {
      budget.beginSlice(connection);
    }
    boolean complete = true;
    while (complete && mayDecode()) {
      if (budget == null || budget.hasSlice()) {
        complete = decodeOne();
      } else {
        awaitingBudget = true;
        budget.enqueue(connection);
        pauseReading();
      }
    }
    afterDecoding(complete);
  }

  /**
   * Decodes what is buffered even if the read budget is used up, because its memory is needed. The
   * connection reads on in its turn.
   *
   * @throws ProtocolException as {@link #decodeMessages}
   */
  void decodeRegardlessOfBudget() throws ProtocolException {
    awaitingBudget = false;
    boolean complete = true;
    while (complete && mayDecode()) {
      complete = decodeOne();
    }
    afterDecoding(complete);
  }

  private boolean decodeOne() throws ProtocolException {
    boolean complete = connection.decode(buffered.bytes());
    connection.messageDecoded(complete);
    return complete;
  }

  private boolean mayDecode() {
    boolean awaitsPeer = readAhead != null && !channel().isWritable();
    return !connection.isClosed() && !awaitingBudget && !awaitsPeer && !isEmpty();
  }

  private void afterDecoding(boolean complete) throws ProtocolException {
    buffered.compact(channel().alloc());
    if (!complete && !connection.isClosed() && buffered.size() > maxBufferedBytes) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "incomplete message exceeds " + maxBufferedBytes + " bytes");
    }
  }
}
