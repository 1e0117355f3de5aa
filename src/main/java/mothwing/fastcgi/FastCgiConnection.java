package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothwing.broker.Arrival;
import mothwing.broker.Broker;
import mothwing.broker.Caller;
import mothwing.broker.Counters;
import mothwing.broker.Exchange;
import mothwing.broker.Log;
import mothwing.net.Connection;
import mothwing.net.Headers;
import mothwing.net.Malformed;
import mothwing.net.Reason;

/** One connection of a gateway that speaks FastCGI: its open requests, by the numbers that the gateway gave. */
public final class FastCgiConnection extends Connection {
    /** Most requests open at once on one connection. */
    static final int MOST_OPEN = 32;
    /** Most bytes of the parameters of one request. */
    static final int MOST_PARAMS = 8 << 10;

    private static final int MOST_RECORD = FastCgi.HEADER + 0xFFFF + 0xFF;
    private static final byte[] NOTHING = new byte[0];

    private final Broker broker;
    private final Map<Integer, Asked> open = new HashMap<>();

    /**
     * Makes the state of a new connection.
     *
     * @param broker takes the requests
     * @param log takes its line
     * @param counters counts what happens
     */
    public FastCgiConnection(Broker broker, Log log, Counters counters) {
        super("fastcgi", MOST_RECORD, log, counters);
        this.broker = broker;
    }

    /** A request of this connection, from its begin to its end. */
    private final class Asked implements Caller {
        private final int id;
        private final boolean keep;
        private byte[] params = NOTHING;
        private byte[] body = NOTHING;
        private boolean paramsWhole;
        private boolean read;
        private String bad;
        private Exchange exchange;

        Asked(int id, boolean keep) {
            this.id = id;
            this.keep = keep;
        }

        @Override
        public void served(byte[] result) {
            answer(FastCgi.REQUEST_COMPLETE, 200, List.of(), result);
        }

        @Override
        public void refused(boolean last, long holdOffMs) {
            answer(FastCgi.REQUEST_COMPLETE, 503, Headers.refusal(last, holdOffMs), NOTHING);
        }

        @Override
        public void failed(String code) {
            answer(FastCgi.REQUEST_COMPLETE, 500, List.of(), code.getBytes(StandardCharsets.ISO_8859_1));
        }

        void answer(int protocolStatus, int status, List<String[]> more, byte[] content) {
            if (open.remove(id, this)) {
                StringBuilder head = new StringBuilder("Status: ").append(Headers.line(status)).append("\r\n");
                List<String[]> all = new ArrayList<>(more);
                all.add(Headers.feedback(broker.feedback()));
                all.add(new String[] {"Content-Type", "application/octet-stream"});
                all.add(new String[] {"Content-Length", Integer.toString(content.length)});
                all.forEach(one -> head.append(one[0]).append(": ").append(one[1]).append("\r\n"));
                byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
                ByteBuf out = room(first.length + content.length + 5 * FastCgi.HEADER);
                FastCgi.stream(out, FastCgi.STDOUT, id, first, content);
                FastCgi.end(out, id, protocolStatus);
                count("answered-" + status);
                send(out);
                if (!keep) {
                    close(Reason.ASKED, "");
                }
            }
        }
    }

    @Override
    public boolean idle() {
        return open.isEmpty();
    }

    @Override
    protected boolean take(ByteBuf in) throws Malformed {
        if (in.readableBytes() < FastCgi.HEADER) {
            return false;
        }
        int at = in.readerIndex();
        if (in.getByte(at) != FastCgi.VERSION) {
            throw new Malformed(Reason.MALFORMED, "version " + in.getUnsignedByte(at));
        }
        int length = in.getUnsignedShort(at + 4);
        int padding = in.getUnsignedByte(at + 6);
        if (in.readableBytes() < FastCgi.HEADER + length + padding) {
            return false;
        }
        record(in.getUnsignedByte(at + 1), in.getUnsignedShort(at + 2), in.slice(at + FastCgi.HEADER, length));
        in.skipBytes(FastCgi.HEADER + length + padding);
        return true;
    }

    private void record(int type, int id, ByteBuf content) throws Malformed {
        if (id == 0) {
            management(type, content);
            return;
        }
        Asked asked = open.get(id);
        switch (type) {
            case FastCgi.BEGIN_REQUEST -> begin(id, content);
            case FastCgi.ABORT_REQUEST -> abort(asked);
            case FastCgi.PARAMS -> params(asked, content);
            case FastCgi.STDIN -> body(asked, content);
            default -> throw new Malformed(Reason.MALFORMED, "record of type " + type);
        }
    }

    private void management(int type, ByteBuf content) throws Malformed {
        ByteBuf out = room(128);
        if (type == FastCgi.GET_VALUES) {
            ByteBuf pairs = room(96);
            FastCgi.pairs(content, (name, value) -> {
                switch (name) {
                    case "FCGI_MAX_REQS", "FCGI_MAX_CONNS" -> FastCgi.pair(pairs, name, "" + Broker.MOST_OPEN);
                    case "FCGI_MPXS_CONNS" -> FastCgi.pair(pairs, name, "1");
                    default -> { }
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

    private void begin(int id, ByteBuf content) throws Malformed {
        if (content.readableBytes() < FastCgi.HEADER || open.containsKey(id)) {
            throw new Malformed(Reason.MALFORMED, "begin of request " + id);
        }
        if (open.size() >= MOST_OPEN) {
            throw new Malformed(Reason.TOO_MANY_OPEN, "over " + MOST_OPEN + " requests");
        }
        Asked asked = new Asked(id, (content.getByte(2) & FastCgi.KEEP_CONN) != 0);
        open.put(id, asked);
        if (content.getUnsignedShort(0) != FastCgi.RESPONDER) {
            asked.answer(FastCgi.UNKNOWN_ROLE, 501, List.of(), NOTHING);
        }
    }

    /** The gateway has stopped waiting. The answer that lets it use the number again does no harm. */
    private void abort(Asked asked) {
        if (asked == null) {
            return; // it crossed the answer
        }
        count("aborted");
        if (asked.exchange != null) {
            broker.gone(asked.exchange);
        }
        asked.failed("aborted");
    }

    private void params(Asked asked, ByteBuf content) {
        if (asked == null || asked.paramsWhole) {
            return;
        }
        if (!content.isReadable()) {
            asked.paramsWhole = true;
        } else if (asked.params.length + content.readableBytes() > MOST_PARAMS) {
            asked.bad = "oversized-params";
        } else {
            asked.params = joined(asked.params, content);
        }
    }

    private void body(Asked asked, ByteBuf content) {
        if (asked == null || asked.read) {
            return;
        }
        if (content.isReadable()) {
            if (asked.body.length + content.readableBytes() > Arrival.MOST_BODY) {
                asked.bad = "oversized-body";
            } else {
                asked.body = joined(asked.body, content);
            }
        } else {
            asked.read = true;
            whole(asked);
        }
    }

    private static byte[] joined(byte[] before, ByteBuf more) {
        byte[] all = Arrays.copyOf(before, before.length + more.readableBytes());
        more.readBytes(all, before.length, more.readableBytes());
        return all;
    }

    /** The last byte of a request is there. */
    private void whole(Asked asked) {
        count("requests");
        if (asked.bad != null || !asked.paramsWhole) {
            reject(asked, asked.bad != null ? asked.bad : "params-not-ended");
            return;
        }
        Arrival.Fields fields = new Arrival.Fields();
        String[] of = {"", ""};
        try {
            FastCgi.pairs(Unpooled.wrappedBuffer(asked.params), (name, value) -> {
                if (name.equals("SCRIPT_NAME")) {
                    of[0] = value;
                } else if (name.equals("QUERY_STRING")) {
                    of[1] = value;
                } else if (name.startsWith("HTTP_")) {
                    fields.set(name.substring(5).replace('_', '-'), value);
                }
            });
        } catch (Malformed bad) {
            reject(asked, "bad-params");
            return;
        }
        asked.params = NOTHING;
        if (of[0].equals("/ping")) {
            broker.check(Headers.probes(of[1]), good ->
                    asked.answer(FastCgi.REQUEST_COMPLETE, good ? 200 : 503, List.of(), NOTHING));
            return;
        }
        try {
            Arrival arrival = fields.at(of[0], asked.body);
            asked.exchange = broker.read(arrival, asked);
        } catch (Arrival.Bad bad) {
            reject(asked, bad.getMessage());
        }
    }

    private void reject(Asked asked, String code) {
        count("rejected-" + code);
        asked.answer(FastCgi.REQUEST_COMPLETE, 400, List.of(), code.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    protected void ended() {
        List<Asked> left = new ArrayList<>(open.values());
        open.clear();
        for (Asked asked : left) {
            if (asked.exchange != null) {
                broker.gone(asked.exchange);
            }
        }
    }
}
