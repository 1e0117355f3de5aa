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
import mothwing.net.Headers;
import mothwing.net.ProtocolException;

/**
 * One connection of a gateway that speaks FastCGI: its open requests, by the numbers that the
 * gateway gave.
 */
public final class FastCgiConnection extends Connection {
  /** Most requests open at once on one connection. */
  static final int MOST_OPEN = 32;

  /** Most bytes of the parameters of one request. */
  static final int MOST_PARAMS = 8 << 10;

  private static final int MOST_RECORD =
      FastCgi.HEADER + MOST_PARAMS + 0xFF; // a larger one is not gathered
  private static final int MOST_PASSED_OVER = 128 << 10; // bytes since the last whole request
  private static final byte[] NOTHING = new byte[0];

  private final Broker broker;
  private final Map<Integer, Asked> open = new HashMap<>();
  private int skip;
  private int passedOver;

  /**
   * Makes the state of a new connection.
   *
   * @param broker takes the requests
   * @param log takes its line
   * @param counters counts what happens
   */
  public FastCgiConnection(Broker broker, EventLog log, Counters counters) {
    super("fastcgi", MOST_RECORD, log, counters);
    this.broker = broker;
  }

  /** A request of this connection, from its begin to its end. */
  private final class Asked extends FrontRequest {
    private final int id;
    private final boolean keep;
    private final long begunAt = now();
    private byte[] params = NOTHING;
    private byte[] body = NOTHING;
    private boolean paramsWhole;
    private boolean read;

    Asked(int id, boolean keep) {
      super(broker);
      this.id = id;
      this.keep = keep;
    }

    @Override
    protected void rejected(String code) {
      count("rejected-" + code);
    }

    @Override
    protected void write(int status, List<String[]> fields, byte[] content) {
      if (!open.remove(id, this)) {
        return;
      }
      StringBuilder head =
          new StringBuilder("Status: ")
              .append(status)
              .append(' ')
              .append(Headers.phrase(status))
              .append("\r\n");
      fields.forEach(one -> head.append(one[0]).append(": ").append(one[1]).append("\r\n"));
      byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
      ByteBuf out = allocate(first.length + content.length + 5 * FastCgi.HEADER);
      FastCgi.stream(out, FastCgi.STDOUT, id, first, content);
      FastCgi.end(out, id, FastCgi.REQUEST_COMPLETE);
      count("answered-" + status);
      send(out);
      if (!keep) {
        close(CloseReason.ASKED, "");
      }
    }

    /** The last byte of the request is there. */
    void whole() {
      count("requests");
      markIdentified();
      passedOver = 0;
      if (!paramsWhole) {
        reject("params-not-ended");
        return;
      }
      InboundRequest.Fields fields = new InboundRequest.Fields();
      String[] of = {"", ""};
      try {
        FastCgi.pairs(
            Unpooled.wrappedBuffer(params),
            (name, value) -> {
              if (name.equals("SCRIPT_NAME")) {
                of[0] = value;
              } else if (name.equals("QUERY_STRING")) {
                of[1] = value;
              } else if (name.startsWith("HTTP_")) {
                fields.set(name.substring("HTTP_".length()).replace('_', '-'), value);
              }
            });
      } catch (ProtocolException cut) {
        reject("bad-params");
        return;
      }
      params = NOTHING;
      handle(of[0], of[1], fields, body);
    }

    /** A part of it is larger than may be. */
    void oversized(String part) {
      reject("oversized-" + part);
    }

    /**
     * The gateway has stopped waiting. The answer that lets it use the number again does no harm.
     */
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
  protected long halfReadSince() {
    long oldest = NEVER;
    for (Asked one : open.values()) {
      oldest = one.read ? oldest : Math.min(oldest, one.begunAt);
    }
    return oldest;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    if (skip > 0) {
      int part = Math.min(skip, in.readableBytes());
      in.skipBytes(part);
      skip -= part;
    }
    if (in.readableBytes() < FastCgi.HEADER) {
      return false;
    }
    int at = in.readerIndex();
    if (in.getByte(at) != FastCgi.VERSION) {
      throw new ProtocolException(CloseReason.MALFORMED, "version " + in.getUnsignedByte(at));
    }
    int type = in.getUnsignedByte(at + 1);
    int id = in.getUnsignedShort(at + 2);
    int length = in.getUnsignedShort(at + 4);
    int whole = FastCgi.HEADER + length + in.getUnsignedByte(at + 6);
    if (passOver(type, open.get(id), length)) {
      passedOver += whole;
      if (passedOver > MOST_PASSED_OVER) {
        throw new ProtocolException(
            CloseReason.OVERSIZED, "over " + MOST_PASSED_OVER + " bytes that no request takes");
      }
      skip = whole;
      return true;
    }
    if (in.readableBytes() < whole) {
      return false;
    }
    record(type, id, in.slice(at + FastCgi.HEADER, length));
    in.skipBytes(whole);
    return true;
  }

  /**
   * Whether a record's content is of no use: that of a request which is answered, or which it makes
   * too large. The latter is answered now, at the head of the record: the end may never come, or 60
   * MB later.
   */
  private boolean passOver(int type, Asked asked, int length) {
    if (type != FastCgi.PARAMS && type != FastCgi.STDIN) {
      return length > MOST_PARAMS;
    }
    if (asked != null
        && !asked.read
        && type == FastCgi.PARAMS
        && asked.params.length + length > MOST_PARAMS) {
      asked.oversized("params");
    } else if (asked != null
        && !asked.read
        && type == FastCgi.STDIN
        && asked.body.length + length > InboundRequest.MAX_BODY_BYTES) {
      asked.oversized("body");
    } else if (asked != null) {
      return false;
    }
    return true;
  }

  private void record(int type, int id, ByteBuf content) throws ProtocolException {
    if (id == 0) {
      management(type, content);
      return;
    }
    Asked asked = open.get(id);
    switch (type) {
      case FastCgi.BEGIN_REQUEST -> begin(id, content);
      case FastCgi.ABORT_REQUEST -> {
        if (asked != null) { // else it crossed the answer
          asked.abort();
        }
      }
      case FastCgi.PARAMS -> params(asked, content);
      case FastCgi.STDIN -> body(asked, content);
      default -> throw new ProtocolException(CloseReason.MALFORMED, "record of type " + type);
    }
  }

  private void management(int type, ByteBuf content) throws ProtocolException {
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
      FastCgi.head(out, FastCgi.UNKNOWN_TYPE, 0, FastCgi.HEADER);
      out.writeByte(type).writeZero(7);
    }
    send(out);
  }

  private void begin(int id, ByteBuf content) throws ProtocolException {
    if (content.readableBytes() < FastCgi.HEADER || open.containsKey(id)) {
      throw new ProtocolException(CloseReason.MALFORMED, "begin of request " + id);
    }
    if (open.size() >= MOST_OPEN) {
      throw new ProtocolException(CloseReason.TOO_MANY_OPEN, "over " + MOST_OPEN + " requests");
    }
    Asked asked = new Asked(id, (content.getByte(2) & FastCgi.KEEP_CONN) != 0);
    open.put(id, asked);
    if (content.getUnsignedShort(0) != FastCgi.RESPONDER) {
      open.remove(id);
      ByteBuf out = allocate(2 * FastCgi.HEADER);
      FastCgi.end(out, id, FastCgi.UNKNOWN_ROLE);
      count("unknown-role");
      send(out);
    }
  }

  private void params(Asked asked, ByteBuf content) {
    if (asked == null || asked.paramsWhole) {
      return;
    }
    if (!content.isReadable()) {
      asked.paramsWhole = true;
    } else {
      asked.params = joined(asked.params, content);
    }
  }

  private void body(Asked asked, ByteBuf content) {
    if (asked == null || asked.read) {
      return;
    }
    if (content.isReadable()) {
      asked.body = joined(asked.body, content);
    } else {
      asked.read = true;
      asked.whole();
    }
  }

  private static byte[] joined(byte[] before, ByteBuf more) {
    byte[] all = Arrays.copyOf(before, before.length + more.readableBytes());
    more.readBytes(all, before.length, more.readableBytes());
    return all;
  }

  @Override
  protected void onClosed() {
    List<Asked> left = new ArrayList<>(open.values());
    open.clear();
    left.forEach(Asked::cancel);
  }
}
