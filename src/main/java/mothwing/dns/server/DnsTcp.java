package mothwing.dns.server;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;
import org.xbill.DNS.Rcode;

/**
 * DNS over TCP (RFC 7766): messages behind their lengths, many open at once, answers in any order.
 * More open ones than the bound are refused at once; whoever does not read, drips or says nothing
 * is closed by the listener.
 */
public final class DnsTcp extends Connection {
  private static final int LENGTH = 2;

  private final DnsEngine engine;
  private final int mostOpen;
  private final Set<DnsRequest> open = new LinkedHashSet<>();
  private int bytesToSkip;

  DnsTcp(DnsEngine engine, int mostOpen, EventLog log, Counters counters) {
    super("dns-tcp", LENGTH + AnswerWriter.TCP, log, counters);
    this.engine = engine;
    this.mostOpen = mostOpen;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    int skipped = Math.min(bytesToSkip, in.readableBytes());
    in.skipBytes(skipped);
    bytesToSkip -= skipped;
    if (in.readableBytes() < LENGTH
        || in.readableBytes() < LENGTH + in.getUnsignedShort(in.readerIndex())) {
      return false;
    }
    byte[] bytes = new byte[in.readUnsignedShort()];
    in.readBytes(bytes);
    Query query = Query.read(bytes);
    if (query == null) {
      throw new ProtocolException(
          CloseReason.MALFORMED, "a message of " + bytes.length + " bytes that is no query");
    }
    markIdentified();
    DnsRequest request = new DnsRequest(query, AnswerWriter.TCP, this::answer);
    open.add(request);
    if (open.size() > mostOpen) {
      count("over-pipelined");
      request.error(Rcode.REFUSED, AnswerWriter.OTHER, "more than " + mostOpen + " queries open");
    } else {
      engine.read(request);
    }
    return true;
  }

  @Override
  protected void skipMessage(ByteBuf in) {
    if (bytesToSkip == 0 && in.readableBytes() >= LENGTH) {
      bytesToSkip = LENGTH + in.getUnsignedShort(in.readerIndex());
    }
  }

  private void answer(DnsRequest request, byte[] answer) {
    engine.answered(request);
    if (open.remove(request) && !isClosed()) {
      send(LENGTH + answer.length, out -> out.writeShort(answer.length).writeBytes(answer));
    }
  }

  @Override
  public boolean isIdle() {
    return open.isEmpty();
  }

  @Override
  public boolean isAnswerPending() {
    return !open.isEmpty();
  }

  @Override
  protected void onClosed() {
    for (DnsRequest one : new ArrayList<>(open)) {
      engine.gone(one);
    }
    open.clear();
  }
}
