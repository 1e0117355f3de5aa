package mothwing.dns.server;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.net.InetSocketAddress;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;

/** DNS over UDP: one message a datagram, one answer each, limited by prefix. */
public final class DnsUdp extends SimpleChannelInboundHandler<DatagramPacket> {
  private static final int SECOND_MS = 1000;
  private static final int FLUSH =
      16; // answers: what is read in one turn of the loop goes out in a few

  private final DnsEngine engine;
  private final RateLimit limit;
  private final Cookies cookies = new Cookies();
  private final Scheduler timers;
  private final Counters counters;
  private final EventLog log;
  private ChannelHandlerContext context;
  private int unflushed;
  private boolean flushing;

  DnsUdp(DnsEngine engine, RateLimit limit, Scheduler timers, Counters counters, EventLog log) {
    this.engine = engine;
    this.limit = limit;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
    Query query = Query.read(ByteBufUtil.getBytes(packet.content()));
    if (query == null) {
      counters.add("dns-udp-dropped");
      return;
    }
    InetSocketAddress from = packet.sender();
    cookies.check(query, from.getAddress(), timers.wallClockMillis() / SECOND_MS);
    engine.read(
        new DnsRequest(
            query,
            engine.udpLimit(query),
            (request, answer) -> {
              engine.answered(request);
              send(query, answer, from);
            }));
  }

  private void send(Query query, byte[] answer, InetSocketAddress to) {
    byte[] sent = answer;
    switch (query.proven() ? RateLimit.Verdict.SEND : limit.answer(to.getAddress(), timers.now())) {
      case DROP -> {
        counters.add("dns-udp-limited");
        return;
      }
      case CUT -> sent = AnswerWriter.truncated(query);
      default -> {}
    }
    if (!context.channel().isWritable()) {
      counters.add("dns-udp-unsent"); // nobody may hold the loop up by being far away
      return;
    }
    context.write(new DatagramPacket(Unpooled.wrappedBuffer(sent), to), context.voidPromise());
    if (++unflushed >= FLUSH) {
      flush();
    } else if (!flushing) {
      flushing = true;
      context.executor().execute(this::flush);
    }
  }

  private void flush() {
    unflushed = 0;
    flushing = false;
    context.flush();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      counters.add("faults");
      StackTraceElement[] stack = cause.getStackTrace();
      log.write(
          "fault side=dns-udp what=\""
              + cause
              + "\""
              + (stack.length > 0 ? " at=" + stack[0] : ""));
    }
  }
}
