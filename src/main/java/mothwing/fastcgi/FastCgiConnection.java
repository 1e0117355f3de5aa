package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.InboundRequest;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.FrontRequest;
import mothwing.net.Header;
import mothwing.net.Headers;
import mothwing.net.ProtocolException;
import mothwing.net.RequestBytes;
import mothwing.net.RequestFields;

/** A FastCGI connection of a gateway, with its open requests by request id. */
public final class FastCgiConnection extends Connection {
  /** The maximum number of open requests on one connection. */
  static final int MAX_OPEN_REQUESTS = 32;

  /** The maximum length of the parameters of one request. */
  static final int MAX_PARAMS_BYTES = 8 << 10;

  private static final int MAX_PADDING_BYTES = 0xFF;

  // The maximum bytes buffered of one record.
  private static final int MAX_RECORD_BYTES =
      FastCgi.HEADER_BYTES + MAX_PARAMS_BYTES + MAX_PADDING_BYTES;

  // The maximum bytes of skipped records since the last complete request.
  private static final int MAX_SKIPPED_BYTES = 128 << 10;

  private static final String HEADER_PREFIX = "HTTP_";
  private static final String PATH_NAME = "SCRIPT_NAME";
  private static final String QUERY_NAME = "QUERY_STRING";

  private final Broker broker;
  private final Map<Integer, PendingRequest> open = new HashMap<>();
  private int bytesToSkip;
  private int skippedBytes;

  /** Whether an answered request asked for the close of the connection. */
  private boolean closeRequested;

  /**
   * Creates the handler of a new connection.
   *
   * @param broker handles the requests
   * @param log receives log lines
   * @param counters counts events
   */
  public FastCgiConnection(Broker broker, EventLog log, Counters counters) {
    super("fastcgi", MAX_RECORD_BYTES, log, counters);
    this.broker = broker;
  }

  /** A request of this connection, from its first record to its response. */
  private final class PendingRequest extends FrontRequest {
    /** Estimated memory of the objects of a request, without its bytes. */
    private static final int OVERHEAD_BYTES = 256;

    private final int id;
    private final boolean keepConnection;
    private final long startedAt = now();
    private final RequestBytes params = new RequestBytes();
    private final RequestBytes body = new RequestBytes();
    private boolean paramsComplete;
    private boolean complete;

    PendingRequest(int id, boolean keepConnection) {
      super(broker);
      this.id = id;
      this.keepConnection = keepConnection;
    }

    @Override
    protected void countInvalid(String code) {
      count("rejected-" + code);
    }

    @Override
    protected void write(int status, List<Header> headers, byte[] content) {
      if (!open.remove(id, this)) {
        return;
      }
      StringBuilder head =
          new StringBuilder("Status: ")
              .append(status)
              .append(' ')
              .append(Headers.reasonPhrase(status))
              .append("\r\n");
      headers.forEach(
          header -> head.append(header.name()).append(": ").append(header.value()).append("\r\n"));
      byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
      count("answered-" + status);
      send(
          headBytes.length + content.length + 5 * FastCgi.HEADER_BYTES,
          out -> {
            FastCgi.writeStream(out, FastCgi.STDOUT, id, headBytes, content);
            FastCgi.writeEndRequest(out, id, FastCgi.REQUEST_COMPLETE);
          });
      closeRequested |= !keepConnection;
      if (closeRequested && !isAnswerPending()) {
        close(CloseReason.ASKED, "");
      }
    }

    /** Handles the request after its last record was read. */
    void handleComplete() {
      count("requests");
      markIdentified();
      skippedBytes = 0;
      if (!paramsComplete) {
        reject("params-not-ended");
        return;
      }
      RequestFields fields = new RequestFields();
      Map<String, String> variables = new HashMap<>();
      try {
        FastCgi.readPairs(
            params.take(),
            FastCgiConnection::isParameterRead,
            (name, value) -> {
              if (name.startsWith(HEADER_PREFIX)) {
                fields.set(name.substring(HEADER_PREFIX.length()).replace('_', '-'), value);
              } else {
                variables.put(name, value);
              }
            });
      } catch (ProtocolException malformed) {
        reject("bad-params");
        return;
      }
      handle(
          variables.getOrDefault(PATH_NAME, ""),
          variables.getOrDefault(QUERY_NAME, ""),
          fields,
          body.take());
    }

    /** Rejects the request because a part of it exceeds its limit. */
    void rejectOversized(String part) {
      reject("oversized-" + part);
    }

    /** Fails the request because its remainder, which is skipped from now on, is overdue. */
    void failIncompleteBefore(long time) {
      if (!complete && startedAt < time) {
        failIncomplete();
      }
    }

    void rejectIfIncomplete() {
      if (!complete) {
        rejectIncomplete();
      }
    }

    int heldBytes() {
      return OVERHEAD_BYTES + params.capacity() + body.capacity();
    }

    /** Cancels the request on an abort by the gateway. The response frees the request id. */
    void abort() {
      count("aborted");
      cancelWithFailure("aborted");
    }
  }

  /** Returns whether a parameter may be one that requests are made of, by its name's length. */
  private static boolean isParameterRead(int length) {
    return length == PATH_NAME.length()
        || length == QUERY_NAME.length()
        || RequestFields.isLengthOfName(length - HEADER_PREFIX.length());
  }

  @Override
  public boolean isIdle() {
    return open.isEmpty();
  }

  @Override
  public boolean isAnswerPending() {
    for (PendingRequest request : open.values()) {
      if (request.complete) {
        return true;
      }
    }
    return false;
  }

  @Override
  public void failIncompleteRequests(long time) {
    List.copyOf(open.values()).forEach(request -> request.failIncompleteBefore(time));
  }

  @Override
  public long incompleteRequestBytes() {
    long total = 0;
    for (PendingRequest request : open.values()) {
      total += request.complete ? 0 : request.heldBytes();
    }
    return total;
  }

  @Override
  public void rejectIncompleteRequests() {
    List.copyOf(open.values()).forEach(PendingRequest::rejectIfIncomplete);
  }

  @Override
  public void failPendingRequests() {
    List<PendingRequest> pending =
        open.values().stream().filter(request -> request.complete).toList();
    pending.forEach(
        request -> {
          count("failed-at-close");
          request.failAtClose();
        });
  }

  @Override
  public long incompleteRequestSince() {
    long oldest = NEVER;
    for (PendingRequest request : open.values()) {
      oldest = request.complete ? oldest : Math.min(oldest, request.startedAt);
    }
    return oldest;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    if (bytesToSkip > 0) {
      int skipped = Math.min(bytesToSkip, in.readableBytes());
      in.skipBytes(skipped);
      bytesToSkip -= skipped;
    }
    if (in.readableBytes() < FastCgi.HEADER_BYTES) {
      return false;
    }
    int recordStart = in.readerIndex();
    if (in.getByte(recordStart) != FastCgi.VERSION) {
      throw new ProtocolException(
          CloseReason.MALFORMED, "unsupported version " + in.getUnsignedByte(recordStart));
    }
    int type = in.getUnsignedByte(recordStart + 1);
    int id = in.getUnsignedShort(recordStart + 2);
    int length = in.getUnsignedShort(recordStart + 4);
    int size = recordBytes(in);
    if (isSkipped(type, open.get(id), length)) {
      skippedBytes += size;
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        throw new ProtocolException(
            CloseReason.OVERSIZED, "more than " + MAX_SKIPPED_BYTES + " bytes of skipped records");
      }
      bytesToSkip = size;
      return true;
    }
    if (in.readableBytes() < size) {
      return false;
    }
    handleRecord(type, id, in.slice(recordStart + FastCgi.HEADER_BYTES, length));
    in.skipBytes(size);
    return true;
  }

  @Override
  protected void skipMessage(ByteBuf in) {
    if (bytesToSkip == 0 && in.readableBytes() >= FastCgi.HEADER_BYTES) {
      bytesToSkip = recordBytes(in);
    }
  }

  /** Returns the length of the record whose header is at the start of the bytes. */
  private static int recordBytes(ByteBuf in) {
    int start = in.readerIndex();
    return FastCgi.HEADER_BYTES + in.getUnsignedShort(start + 4) + in.getUnsignedByte(start + 6);
  }

  /**
   * Returns whether a record is skipped: its request is not open, it makes its request too large,
   * or it is of another type and over {@link #MAX_PARAMS_BYTES}. An oversized request is rejected
   * at the header of the record, as its end may never arrive.
   */
  private boolean isSkipped(int type, PendingRequest request, int length) {
    if (type != FastCgi.PARAMS && type != FastCgi.STDIN) {
      return length > MAX_PARAMS_BYTES;
    }
    if (request != null
        && !request.complete
        && type == FastCgi.PARAMS
        && request.params.size() + length > MAX_PARAMS_BYTES) {
      request.rejectOversized("params");
    } else if (request != null
        && !request.complete
        && type == FastCgi.STDIN
        && request.body.size() + length > InboundRequest.MAX_BODY_BYTES) {
      request.rejectOversized("body");
    } else if (request != null) {
      return false;
    }
    return true;
  }

  private void handleRecord(int type, int id, ByteBuf content) throws ProtocolException {
    if (id == 0) {
      handleManagementRecord(type, content);
      return;
    }
    PendingRequest request = open.get(id);
    switch (type) {
      case FastCgi.BEGIN_REQUEST -> beginRequest(id, content);
      case FastCgi.ABORT_REQUEST -> {
        // Without a request, the abort has crossed the response.
        if (request != null) {
          request.abort();
        }
      }
      case FastCgi.PARAMS -> appendParams(request, content);
      case FastCgi.STDIN -> appendBody(request, content);
      default ->
          throw new ProtocolException(CloseReason.MALFORMED, "unexpected record type " + type);
    }
  }

  private void handleManagementRecord(int type, ByteBuf content) throws ProtocolException {
    if (type != FastCgi.GET_VALUES) {
      send(2 * FastCgi.HEADER_BYTES, out -> FastCgi.writeUnknownType(out, type));
      return;
    }
    Map<String, String> values = ServerVariables.answer(content);
    markIdentified();
    send(ServerVariables.RESULT_BYTES, out -> FastCgi.writeValuesResult(out, values));
  }

  private void beginRequest(int id, ByteBuf content) throws ProtocolException {
    if (content.readableBytes() < FastCgi.HEADER_BYTES || open.containsKey(id)) {
      throw new ProtocolException(CloseReason.MALFORMED, "invalid begin of request " + id);
    }
    if (open.size() >= MAX_OPEN_REQUESTS) {
      throw new ProtocolException(
          CloseReason.TOO_MANY_OPEN, "more than " + MAX_OPEN_REQUESTS + " open requests");
    }
    PendingRequest request = new PendingRequest(id, (content.getByte(2) & FastCgi.KEEP_CONN) != 0);
    open.put(id, request);
    if (content.getUnsignedShort(0) != FastCgi.RESPONDER) {
      open.remove(id);
      count("unknown-role");
      send(2 * FastCgi.HEADER_BYTES, out -> FastCgi.writeEndRequest(out, id, FastCgi.UNKNOWN_ROLE));
    }
  }

  private void appendParams(PendingRequest request, ByteBuf content) {
    if (request == null || request.paramsComplete) {
      return;
    }
    if (!content.isReadable()) {
      request.paramsComplete = true;
    } else {
      request.params.append(content, content.readableBytes());
    }
  }

  private void appendBody(PendingRequest request, ByteBuf content) {
    if (request == null || request.complete) {
      return;
    }
    if (content.isReadable()) {
      request.body.append(content, content.readableBytes());
    } else {
      request.complete = true;
      request.handleComplete();
    }
  }

  @Override
  protected void onClosed() {
    List<PendingRequest> cancelled = new ArrayList<>(open.values());
    open.clear();
    cancelled.forEach(PendingRequest::cancel);
  }
}
