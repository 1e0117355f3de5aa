package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
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
import mothwing.net.RequestFields;

/** One connection of a gateway that speaks FastCGI, with its open requests by request id. */
public final class FastCgiConnection extends Connection {
  /** Most requests that may be open at once on one connection. */
  static final int MAX_OPEN_REQUESTS = 32;

  /** Most bytes of the parameters of one request. */
  static final int MAX_PARAMS_BYTES = 8 << 10;

  private static final int MAX_RECORD_BYTES =
      FastCgi.HEADER_BYTES + MAX_PARAMS_BYTES + 0xFF; // a larger one is not buffered
  private static final int MAX_SKIPPED_BYTES = 128 << 10; // since the last complete request
  private static final String HEADER_PREFIX = "HTTP_";
  private static final byte[] NO_BYTES = new byte[0];

  private final Broker broker;
  private final Map<Integer, PendingRequest> open = new HashMap<>();
  private int bytesToSkip;
  private int skippedBytes;

  /**
   * Makes the state of a new connection.
   *
   * @param broker takes the requests
   * @param log takes its log lines
   * @param counters counts what happens
   */
  public FastCgiConnection(Broker broker, EventLog log, Counters counters) {
    super("fastcgi", MAX_RECORD_BYTES, log, counters);
    this.broker = broker;
  }

  /** A request of this connection, from its first record to its answer. */
  private final class PendingRequest extends FrontRequest {
    private final int id;
    private final boolean keepConnection;
    private final long startedAt = now();
    private byte[] params = NO_BYTES;
    private byte[] body = NO_BYTES;
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
      byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
      ByteBuf out = allocate(first.length + content.length + 5 * FastCgi.HEADER_BYTES);
      FastCgi.stream(out, FastCgi.STDOUT, id, first, content);
      FastCgi.end(out, id, FastCgi.REQUEST_COMPLETE);
      count("answered-" + status);
      send(out);
      if (!keepConnection) {
        close(CloseReason.ASKED, "");
      }
    }

    /** The last byte of the request has come. */
    void completed() {
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
        FastCgi.pairs(
            Unpooled.wrappedBuffer(params),
            (name, value) -> {
              if (name.startsWith(HEADER_PREFIX)) {
                fields.set(name.substring(HEADER_PREFIX.length()).replace('_', '-'), value);
              } else {
                variables.put(name, value);
              }
            });
      } catch (ProtocolException cut) {
        reject("bad-params");
        return;
      }
      params = NO_BYTES;
      handle(
          variables.getOrDefault("SCRIPT_NAME", ""),
          variables.getOrDefault("QUERY_STRING", ""),
          fields,
          body);
    }

    /** A part of it exceeds its bound. */
    void oversized(String part) {
      reject("oversized-" + part);
    }

    /** The gateway has stopped waiting. The answer frees the request id for it. */
    void abort() {
      count("aborted");
      cancel();
      sendFailure("aborted");
    }
  }

  @Override
  public boolean isIdle() {
    return open.isEmpty();
  }

  @Override
  protected long incompleteRequestSince() {
    long oldest = NEVER;
    for (PendingRequest request : open.values()) {
      oldest = request.complete ? oldest : Math.min(oldest, request.startedAt);
    }
    return oldest;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    if (bytesToSkip > 0) {
      int part = Math.min(bytesToSkip, in.readableBytes());
      in.skipBytes(part);
      bytesToSkip -= part;
    }
    if (in.readableBytes() < FastCgi.HEADER_BYTES) {
      return false;
    }
    int at = in.readerIndex();
    if (in.getByte(at) != FastCgi.VERSION) {
      throw new ProtocolException(CloseReason.MALFORMED, "version " + in.getUnsignedByte(at));
    }
    int type = in.getUnsignedByte(at + 1);
    int id = in.getUnsignedShort(at + 2);
    int length = in.getUnsignedShort(at + 4);
    int size = FastCgi.HEADER_BYTES + length + in.getUnsignedByte(at + 6);
    if (isSkipped(type, open.get(id), length)) {
      skippedBytes += size;
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        throw new ProtocolException(
            CloseReason.OVERSIZED, "over " + MAX_SKIPPED_BYTES + " bytes that no request takes");
      }
      bytesToSkip = size;
      return true;
    }
    if (in.readableBytes() < size) {
      return false;
    }
    record(type, id, in.slice(at + FastCgi.HEADER_BYTES, length));
    in.skipBytes(size);
    return true;
  }

  /**
   * Whether a record's content is to be skipped: that of a request which was answered, or which it
   * makes too large. The latter is answered now, at the header of the record, as its end may never
   * come.
   */
  private boolean isSkipped(int type, PendingRequest request, int length) {
    if (type != FastCgi.PARAMS && type != FastCgi.STDIN) {
      return length > MAX_PARAMS_BYTES;
    }
    if (request != null
        && !request.complete
        && type == FastCgi.PARAMS
        && request.params.length + length > MAX_PARAMS_BYTES) {
      request.oversized("params");
    } else if (request != null
        && !request.complete
        && type == FastCgi.STDIN
        && request.body.length + length > InboundRequest.MAX_BODY_BYTES) {
      request.oversized("body");
    } else if (request != null) {
      return false;
    }
    return true;
  }

  private void record(int type, int id, ByteBuf content) throws ProtocolException {
    if (id == 0) {
      managementRecord(type, content);
      return;
    }
    PendingRequest request = open.get(id);
    switch (type) {
      case FastCgi.BEGIN_REQUEST -> begin(id, content);
      case FastCgi.ABORT_REQUEST -> {
        if (request != null) { // else the abort crossed the answer
          request.abort();
        }
      }
      case FastCgi.PARAMS -> params(request, content);
      case FastCgi.STDIN -> body(request, content);
      default -> throw new ProtocolException(CloseReason.MALFORMED, "record of type " + type);
    }
  }

  private void managementRecord(int type, ByteBuf content) throws ProtocolException {
    ByteBuf out = allocate(128);
    if (type == FastCgi.GET_VALUES) {
      markIdentified();
      ByteBuf pairs = allocate(96);
      FastCgi.pairs(
          content,
          (name, value) -> {
            switch (name) {
              case "FCGI_MAX_REQS", "FCGI_MAX_CONNS" ->
                  FastCgi.pair(pairs, name, "" + Broker.MAX_OPEN_REQUESTS);
              case "FCGI_MPXS_CONNS" -> FastCgi.pair(pairs, name, "1");
              default -> {}
            }
          });
      FastCgi.head(out, FastCgi.GET_VALUES_RESULT, 0, pairs.readableBytes());
      out.writeBytes(pairs);
      pairs.release();
    } else {
      FastCgi.head(out, FastCgi.UNKNOWN_TYPE, 0, FastCgi.HEADER_BYTES);
      out.writeByte(type).writeZero(7);
    }
    send(out);
  }

  private void begin(int id, ByteBuf content) throws ProtocolException {
    if (content.readableBytes() < FastCgi.HEADER_BYTES || open.containsKey(id)) {
      throw new ProtocolException(CloseReason.MALFORMED, "begin of request " + id);
    }
    if (open.size() >= MAX_OPEN_REQUESTS) {
      throw new ProtocolException(
          CloseReason.TOO_MANY_OPEN, "over " + MAX_OPEN_REQUESTS + " requests");
    }
    PendingRequest request = new PendingRequest(id, (content.getByte(2) & FastCgi.KEEP_CONN) != 0);
    open.put(id, request);
    if (content.getUnsignedShort(0) != FastCgi.RESPONDER) {
      open.remove(id);
      ByteBuf out = allocate(2 * FastCgi.HEADER_BYTES);
      FastCgi.end(out, id, FastCgi.UNKNOWN_ROLE);
      count("unknown-role");
      send(out);
    }
  }

  private void params(PendingRequest request, ByteBuf content) {
    if (request == null || request.paramsComplete) {
      return;
    }
    if (!content.isReadable()) {
      request.paramsComplete = true;
    } else {
      request.params = joined(request.params, content);
    }
  }

  private void body(PendingRequest request, ByteBuf content) {
    if (request == null || request.complete) {
      return;
    }
    if (content.isReadable()) {
      request.body = joined(request.body, content);
    } else {
      request.complete = true;
      request.completed();
    }
  }

  private static byte[] joined(byte[] before, ByteBuf more) {
    byte[] all = Arrays.copyOf(before, before.length + more.readableBytes());
    more.readBytes(all, before.length, more.readableBytes());
    return all;
  }

  @Override
  protected void onClosed() {
    List<PendingRequest> cancelled = new ArrayList<>(open.values());
    open.clear();
    cancelled.forEach(PendingRequest::cancel);
  }
}
