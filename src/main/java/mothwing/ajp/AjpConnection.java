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
import mothwing.net.Headers;
import mothwing.net.ProtocolException;

/**
 * One connection of a gateway that speaks AJP/1.3: one request at a time, and a close is its caller
 * leaving.
 */
public final class AjpConnection extends Connection {
  private static final byte[] NOTHING = new byte[0];
  private static final long LENGTH_UNKNOWN = -1;

  private final Broker broker;
  private PendingRequest open;

  /**
   * Makes the state of a new connection.
   *
   * @param broker takes the requests
   * @param log takes its line
   * @param counters counts what happens
   */
  public AjpConnection(Broker broker, EventLog log, Counters counters) {
    super("ajp", Ajp.MAX_PACKET_BYTES, log, counters);
    this.broker = broker;
  }

  /** The request that is open: its body is still to come, or its answer. */
  private final class PendingRequest extends FrontRequest {
    private final InboundRequest.Fields fields = new InboundRequest.Fields();
    private final long begunAt = now();
    private String path;
    private String query = "";
    private long length = LENGTH_UNKNOWN;
    private boolean chunked;
    private boolean reading = true;
    private byte[] body = NOTHING;

    PendingRequest() {
      super(broker);
    }

    @Override
    protected void rejected(String code) {
      count("rejected-" + code);
    }

    @Override
    protected void write(int status, List<String[]> answer, byte[] content) {
      if (open != this) {
        return;
      }
      open = null;
      boolean reuse = !broker.isDraining();
      ByteBuf out = allocate(512 + content.length);
      Ajp.sendHeaders(out, status, Headers.phrase(status), answer);
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
        // falls through to the complaint
      }
      throw new ProtocolException(CloseReason.MALFORMED, "content-length");
    }

    /**
     * Takes a chunk of the body; an empty one is the last. Nothing more is asked for than a body
     * may hold.
     */
    void chunk(byte[] more) {
      int before = body.length;
      int room =
          InboundRequest.MAX_BODY_BYTES
              + 1
              - before; // one byte over shows that the body is too large
      int taken = Math.min(room, more.length);
      body = Arrays.copyOf(body, before + taken);
      System.arraycopy(more, 0, body, before, taken);
      if (body.length > InboundRequest.MAX_BODY_BYTES || length > InboundRequest.MAX_BODY_BYTES) {
        reading = false;
        reject("oversized-body");
      } else if (more.length == 0 && length > body.length) {
        reading = false;
        reject("body-cut-short");
      } else if (more.length == 0 || length == body.length) {
        ready();
      } else {
        ask();
      }
    }

    void ask() {
      ByteBuf out = allocate(Ajp.HEADER_BYTES + 3);
      long wanted =
          length == LENGTH_UNKNOWN
              ? InboundRequest.MAX_BODY_BYTES + 1 - body.length
              : length - body.length;
      Ajp.getBodyChunk(out, (int) wanted);
      send(out);
    }

    void ready() {
      reading = false;
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
  protected long halfReadSince() {
    return open != null && open.reading ? open.begunAt : NEVER;
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
      if (!open.reading) {
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
      return NOTHING; // the end of the body
    }
    Ajp.need(in, Short.BYTES);
    int length = in.readUnsignedShort();
    Ajp.need(in, length);
    byte[] chunk = new byte[length];
    in.readBytes(chunk);
    return chunk;
  }

  private void forward(ByteBuf in) throws ProtocolException {
    PendingRequest asked = new PendingRequest();
    Ajp.need(in, 1);
    in.skipBytes(1); // the method: any may be used
    Ajp.string(in); // protocol
    asked.path = Ajp.string(in);
    for (int i = 0; i < 3; i++) {
      Ajp.string(in); // remote address, remote host, server name
    }
    Ajp.need(in, Short.BYTES + 1 + Short.BYTES);
    in.skipBytes(Short.BYTES + 1); // port, whether by TLS
    int headers = in.readUnsignedShort();
    for (int i = 0; i < headers; i++) {
      asked.header(Ajp.headerName(in), Ajp.string(in));
    }
    attributes(in, asked);
    open = asked;
    if (asked.chunked && asked.length == LENGTH_UNKNOWN) {
      asked.ask();
    } else if (asked.length <= 0) {
      asked.ready(); // no body; else its first chunk comes unasked
    }
  }

  private static void attributes(ByteBuf in, PendingRequest asked) throws ProtocolException {
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
        asked.query = value;
      }
    }
  }

  @Override
  protected void onClosed() {
    PendingRequest left = open;
    open = null;
    if (left != null) {
      left.cancel();
    }
  }
}
