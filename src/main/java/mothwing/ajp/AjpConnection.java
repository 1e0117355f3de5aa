package mothwing.ajp;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
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

/**
 * One connection of a gateway that speaks AJP/1.3: one request at a time, which a close by the
 * gateway cancels.
 */
public final class AjpConnection extends Connection {
  private static final byte[] NO_BYTES = new byte[0];
  private static final long LENGTH_UNKNOWN = -1;

  private final Broker broker;
  private PendingRequest open;

  /**
   * Makes the state of a new connection.
   *
   * @param broker takes the requests
   * @param log takes its log lines
   * @param counters counts what happens
   */
  public AjpConnection(Broker broker, EventLog log, Counters counters) {
    super("ajp", Ajp.MAX_PACKET_BYTES, log, counters);
    this.broker = broker;
  }

  /** The open request: the rest of its body is awaited, or its answer. */
  private final class PendingRequest extends FrontRequest {
    private final RequestFields fields = new RequestFields();
    private final long startedAt = now();
    private String path;
    private String query = "";
    private long length = LENGTH_UNKNOWN;
    private boolean chunked;
    private boolean incomplete = true;
    private byte[] body = NO_BYTES;

    PendingRequest() {
      super(broker);
    }

    @Override
    protected void countInvalid(String code) {
      count("rejected-" + code);
    }

    @Override
    protected void write(int status, List<Header> headers, byte[] content) {
      if (open != this) {
        return;
      }
      open = null;
      boolean reuse = !broker.isDraining();
      ByteBuf out = allocate(512 + content.length);
      Ajp.sendHeaders(out, status, Headers.reasonPhrase(status), headers);
      Ajp.sendBody(out, content);
      Ajp.endResponse(out, reuse);
      count("answered-" + status);
      send(out);
      if (!reuse) {
        close(CloseReason.DRAIN, "");
      }
    }

    void header(String name, String value) throws ProtocolException {
      switch (name.toLowerCase(Locale.ROOT)) {
        case "content-length" -> length = length(value);
        case "transfer-encoding" -> chunked = value.toLowerCase(Locale.ROOT).contains("chunked");
        default -> fields.set(name, value);
      }
    }

    private static long length(String value) throws ProtocolException {
      try {
        long length = Long.parseLong(value);
        if (length >= 0) {
          return length;
        }
      } catch (NumberFormatException notOne) {
        // falls through to the error
      }
      throw new ProtocolException(CloseReason.MALFORMED, "content-length");
    }

    /**
     * Takes a chunk of the body; an empty one is the last. No more is requested than a body may
     * hold.
     */
    void chunk(byte[] more) {
      int before = body.length;
      int capacity =
          InboundRequest.MAX_BODY_BYTES
              + 1
              - before; // the one byte over shows that it is too large
      int taken = Math.min(capacity, more.length);
      body = Arrays.copyOf(body, before + taken);
      System.arraycopy(more, 0, body, before, taken);
      if (body.length > InboundRequest.MAX_BODY_BYTES || length > InboundRequest.MAX_BODY_BYTES) {
        incomplete = false;
        reject("oversized-body");
      } else if (more.length == 0 && length > body.length) {
        incomplete = false;
        reject("body-cut-short");
      } else if (more.length == 0 || length == body.length) {
        submit();
      } else {
        requestChunk();
      }
    }

    void requestChunk() {
      ByteBuf out = allocate(Ajp.HEADER_BYTES + 3);
      long wanted =
          length == LENGTH_UNKNOWN
              ? InboundRequest.MAX_BODY_BYTES + 1 - body.length
              : length - body.length;
      Ajp.getBodyChunk(out, (int) wanted);
      send(out);
    }

    void submit() {
      incomplete = false;
      count("requests");
      markIdentified();
      handle(path, query, fields, body);
    }
  }

  @Override
  public boolean isIdle() {
    return open == null;
  }

  @Override
  protected long incompleteRequestSince() {
    return open != null && open.incomplete ? open.startedAt : NEVER;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    if (in.readableBytes() < Ajp.HEADER_BYTES) {
      return false;
    }
    int at = in.readerIndex();
    if (in.getUnsignedShort(at) != Ajp.TO_CONTAINER) {
      throw new ProtocolException(CloseReason.MALFORMED, "not the mark of a packet");
    }
    int length = in.getUnsignedShort(at + Short.BYTES);
    if (length > Ajp.MAX_PACKET_BYTES - Ajp.HEADER_BYTES) {
      throw new ProtocolException(CloseReason.OVERSIZED, "a packet of " + length + " bytes");
    }
    if (in.readableBytes() < Ajp.HEADER_BYTES + length) {
      return false;
    }
    packet(in.slice(at + Ajp.HEADER_BYTES, length));
    in.skipBytes(Ajp.HEADER_BYTES + length);
    return true;
  }

  private void packet(ByteBuf in) throws ProtocolException {
    if (open != null) {
      if (!open.incomplete) {
        throw new ProtocolException(CloseReason.TOO_MANY_OPEN, "a packet before the answer");
      }
      open.chunk(bodyChunk(in));
      return;
    }
    Ajp.need(in, 1);
    int code = in.readUnsignedByte();
    switch (code) {
      case Ajp.CPING -> {
        count("cpings");
        markIdentified();
        ByteBuf out = allocate(Ajp.HEADER_BYTES + 1);
        Ajp.cpong(out);
        send(out);
      }
      case Ajp.FORWARD_REQUEST -> forward(in);
      default -> throw new ProtocolException(CloseReason.MALFORMED, "packet of code " + code);
    }
  }

  private static byte[] bodyChunk(ByteBuf in) throws ProtocolException {
    if (!in.isReadable()) {
      return NO_BYTES; // the end of the body
    }
    Ajp.need(in, Short.BYTES);
    int length = in.readUnsignedShort();
    Ajp.need(in, length);
    byte[] chunk = new byte[length];
    in.readBytes(chunk);
    return chunk;
  }

  private void forward(ByteBuf in) throws ProtocolException {
    PendingRequest request = new PendingRequest();
    Ajp.need(in, 1);
    in.skipBytes(1); // the method: any may be used
    Ajp.string(in); // protocol
    request.path = Ajp.string(in);
    for (int i = 0; i < 3; i++) {
      Ajp.string(in); // remote address, remote host, server name
    }
    Ajp.need(in, Short.BYTES + 1 + Short.BYTES);
    in.skipBytes(Short.BYTES + 1); // port, whether by TLS
    int headers = in.readUnsignedShort();
    for (int i = 0; i < headers; i++) {
      request.header(Ajp.headerName(in), Ajp.string(in));
    }
    attributes(in, request);
    open = request;
    if (request.chunked && request.length == LENGTH_UNKNOWN) {
      request.requestChunk();
    } else if (request.length <= 0) {
      request.submit(); // no body; else its first chunk comes unrequested
    }
  }

  private static void attributes(ByteBuf in, PendingRequest request) throws ProtocolException {
    while (true) {
      Ajp.need(in, 1);
      int code = in.readUnsignedByte();
      if (code == Ajp.NO_MORE) {
        return;
      }
      if (code < Ajp.CONTEXT || code > Ajp.STORED_METHOD) {
        throw new ProtocolException(CloseReason.MALFORMED, "attribute of code " + code);
      }
      if (code == Ajp.SSL_KEY_SIZE) {
        Ajp.need(in, Short.BYTES);
        in.skipBytes(Short.BYTES);
        continue;
      }
      if (code == Ajp.REQUEST_ATTRIBUTE) {
        Ajp.string(in); // its name
      }
      String value = Ajp.string(in);
      if (code == Ajp.QUERY_STRING) {
        request.query = value;
      }
    }
  }

  @Override
  protected void onClosed() {
    PendingRequest cancelled = open;
    open = null;
    if (cancelled != null) {
      cancelled.cancel();
    }
  }
}
