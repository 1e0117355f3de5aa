package mothwing.ajp;

import io.netty.buffer.ByteBuf;
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
import mothwing.net.RequestBytes;
import mothwing.net.RequestFields;

/**
 * An AJP/1.3 connection of a gateway. It carries one request at a time; a close by the gateway
 * cancels the request.
 */
public final class AjpConnection extends Connection {
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final long LENGTH_UNKNOWN = -1;
  private static final int ESTIMATED_HEAD_BYTES = 512;

  private final Broker broker;
  private PendingRequest open;

  /** Whether the gateway may send another request after the answer. */
  private boolean reusable = true;

  /**
   * Creates the handler of a new connection.
   *
   * @param broker handles the requests
   * @param log receives log lines
   * @param counters counts events
   */
  public AjpConnection(Broker broker, EventLog log, Counters counters) {
    super("ajp", Ajp.MAX_PACKET_BYTES, log, counters);
    this.broker = broker;
  }

  /** The open request, which awaits the rest of its body or its response. */
  private final class PendingRequest extends FrontRequest {
    private final RequestFields fields = new RequestFields();
    private final long startedAt = now();
    private String path;
    private String query = "";
    private long length = LENGTH_UNKNOWN;
    private boolean chunked;
    private boolean incomplete = true;
    private final RequestBytes body = new RequestBytes();
    private final int headBytes;

    PendingRequest(int headBytes) {
      super(broker);
      this.headBytes = headBytes;
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
      boolean reuse = reusable && !broker.isDraining();
      count("answered-" + status);
      send(
          ESTIMATED_HEAD_BYTES + content.length,
          out -> {
            Ajp.writeHeaders(out, status, Headers.reasonPhrase(status), headers);
            Ajp.writeBody(out, content);
            Ajp.writeEndResponse(out, reuse);
          });
      if (!reuse) {
        close(CloseReason.DRAIN, "");
      }
    }

    void setHeader(String name, String value) throws ProtocolException {
      switch (name.toLowerCase(Locale.ROOT)) {
        case "content-length" -> length = parseContentLength(value);
        case TRANSFER_ENCODING -> chunked = value.toLowerCase(Locale.ROOT).contains("chunked");
        default -> fields.set(name, value);
      }
    }

    private static long parseContentLength(String value) throws ProtocolException {
      try {
        long length = Long.parseLong(value);
        if (length >= 0) {
          return length;
        }
      } catch (NumberFormatException notANumber) {
        // Reported below.
      }
      throw new ProtocolException(CloseReason.MALFORMED, "invalid content-length");
    }

    /**
     * Appends a chunk of the body; an empty chunk is the last one. At most one byte more than the
     * maximum length of a body is requested.
     */
    void appendChunk(ByteBuf chunk) {
      boolean last = !chunk.isReadable();
      // One byte over the maximum shows that the body is too large.
      int capacity = InboundRequest.MAX_BODY_BYTES + 1 - body.size();
      body.append(chunk, Math.min(capacity, chunk.readableBytes()));
      if (body.size() > InboundRequest.MAX_BODY_BYTES || length > InboundRequest.MAX_BODY_BYTES) {
        incomplete = false;
        reject("oversized-body");
      } else if (last && length > body.size()) {
        incomplete = false;
        reject("body-cut-short");
      } else if (last || length == body.size()) {
        submit();
      } else {
        requestChunk();
      }
    }

    void requestChunk() {
      long wanted =
          length == LENGTH_UNKNOWN
              ? InboundRequest.MAX_BODY_BYTES + 1 - body.size()
              : length - body.size();
      send(Ajp.HEADER_BYTES + 3, out -> Ajp.writeGetBodyChunk(out, (int) wanted));
    }

    void rejectForMemory() {
      rejectIncomplete();
    }

    void submit() {
      incomplete = false;
      count("requests");
      markIdentified();
      handle(path, query, fields, body.take());
    }
  }

  @Override
  public boolean isIdle() {
    return open == null;
  }

  @Override
  public boolean isAnswerPending() {
    return open != null && !open.incomplete;
  }

  @Override
  public void failPendingRequests() {
    reusable = false;
    if (isAnswerPending()) {
      count("failed-at-close");
      open.failAtClose();
    }
  }

  @Override
  public long incompleteRequestSince() {
    return open != null && open.incomplete ? open.startedAt : NEVER;
  }

  @Override
  public long incompleteRequestBytes() {
    return open != null && open.incomplete ? open.headBytes + open.body.capacity() : 0;
  }

  @Override
  public void rejectIncompleteRequests() {
    if (open != null && open.incomplete) {
      reusable = false; // the rest of the body would be read as another request
      open.rejectForMemory();
    }
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    if (in.readableBytes() < Ajp.HEADER_BYTES) {
      return false;
    }
    int packetStart = in.readerIndex();
    if (in.getUnsignedShort(packetStart) != Ajp.TO_CONTAINER) {
      throw new ProtocolException(CloseReason.MALFORMED, "invalid magic number of a packet");
    }
    int length = in.getUnsignedShort(packetStart + Short.BYTES);
    if (length > Ajp.MAX_PACKET_BYTES - Ajp.HEADER_BYTES) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "oversized packet of " + length + " bytes");
    }
    if (in.readableBytes() < Ajp.HEADER_BYTES + length) {
      return false;
    }
    handlePacket(in.slice(packetStart + Ajp.HEADER_BYTES, length));
    in.skipBytes(Ajp.HEADER_BYTES + length);
    return true;
  }

  private void handlePacket(ByteBuf in) throws ProtocolException {
    if (open != null) {
      if (!open.incomplete) {
        throw new ProtocolException(CloseReason.TOO_MANY_OPEN, "a packet before the response");
      }
      open.appendChunk(readBodyChunk(in));
      return;
    }
    Ajp.requireBytes(in, 1);
    int code = in.readUnsignedByte();
    switch (code) {
      case Ajp.CPING -> {
        count("cpings");
        markIdentified();
        send(Ajp.HEADER_BYTES + 1, Ajp::writeCpong);
      }
      case Ajp.FORWARD_REQUEST -> handleForwardRequest(in);
      default ->
          throw new ProtocolException(CloseReason.MALFORMED, "unexpected packet code " + code);
    }
  }

  /** Returns a chunk of the body; the last one is empty. */
  private static ByteBuf readBodyChunk(ByteBuf in) throws ProtocolException {
    if (!in.isReadable()) {
      return in;
    }
    Ajp.requireBytes(in, Short.BYTES);
    int length = in.readUnsignedShort();
    Ajp.requireBytes(in, length);
    return in.readSlice(length);
  }

  private void handleForwardRequest(ByteBuf in) throws ProtocolException {
    PendingRequest request = new PendingRequest(in.readableBytes());
    Ajp.requireBytes(in, 1);
    // The method; any is accepted.
    in.skipBytes(1);
    // The protocol.
    Ajp.readString(in);
    request.path = Ajp.readString(in);
    // The remote address, the remote host and the server name.
    for (int i = 0; i < 3; i++) {
      Ajp.readString(in);
    }
    Ajp.requireBytes(in, Short.BYTES + 1 + Short.BYTES);
    // The port and the TLS flag.
    in.skipBytes(Short.BYTES + 1);
    int headers = in.readUnsignedShort();
    for (int i = 0; i < headers; i++) {
      String name = Ajp.readHeaderName(in);
      if (isHeaderRead(name)) {
        request.setHeader(name, Ajp.readString(in));
      } else {
        Ajp.skipString(in);
      }
    }
    readAttributes(in, request);
    open = request;
    if (request.chunked && request.length == LENGTH_UNKNOWN) {
      request.requestChunk();
    } else if (request.length <= 0) {
      // There is no body. Otherwise the gateway sends its first chunk without a request.
      request.submit();
    }
  }

  /** Returns whether a header may be one that requests are made of, by the length of its name. */
  private static boolean isHeaderRead(String name) {
    return RequestFields.isLengthOfName(name.length())
        || name.length() == TRANSFER_ENCODING.length();
  }

  private static void readAttributes(ByteBuf in, PendingRequest request) throws ProtocolException {
    while (true) {
      Ajp.requireBytes(in, 1);
      int code = in.readUnsignedByte();
      if (code == Ajp.REQUEST_TERMINATOR) {
        return;
      }
      if (code < Ajp.CONTEXT || code > Ajp.STORED_METHOD) {
        throw new ProtocolException(CloseReason.MALFORMED, "unknown attribute code " + code);
      }
      if (code == Ajp.SSL_KEY_SIZE) {
        Ajp.requireBytes(in, Short.BYTES);
        in.skipBytes(Short.BYTES);
        continue;
      }
      if (code == Ajp.REQUEST_ATTRIBUTE) {
        // The name of the attribute.
        Ajp.readString(in);
      }
      String value = Ajp.readString(in);
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
