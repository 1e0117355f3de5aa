package mothwing.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mothwing.testing.FrontModel;
import mothwing.testing.Gateway;
import mothwing.testing.Stand;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/** A connection of many requests against the model of its states. */
class FastCgiConnectionTest {
    private static final int PLACES = 8;

    private FrontModel model;
    private Gateway.FastCgi gateway;
    private EmbeddedChannel channel;

    @BeforeTry
    void anew() {
        model = new FrontModel();
        gateway = new Gateway.FastCgi();
        channel = open();
    }

    private EmbeddedChannel open() {
        return model.stand.open(new FastCgiConnection(model.stand.broker, model.stand.lines::add,
                model.stand.counters));
    }

    private void send(byte[] bytes) {
        model.stand.send(channel, gateway, bytes);
    }

    private int status(byte[] request) {
        send(request);
        return gateway.answers.remove().status();
    }

    @Property(seed = "1764576000")
    void keepsToTheModel(@ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
        for (int step : steps) {
            int place = 1 + step / 10 % PLACES;
            switch (step % 10) {
                case 0, 1, 2, 3 -> {
                    if (!model.busy(place)) {
                        byte[] all = model.ask(gateway, place, step % 3 == 0, step % 2049, step % 400);
                        int cut = step % all.length; // in two pieces, wherever the cut falls
                        send(Arrays.copyOf(all, cut));
                        send(Arrays.copyOfRange(all, cut, all.length));
                    }
                }
                case 4 -> {
                    model.left(place);
                    send(Gateway.FastCgi.abort(place));
                    gateway.answers.removeIf(one -> one.id() == place); // one answer does no harm
                }
                case 5, 6, 7 -> model.endRun(step / 10);
                case 8 -> model.stand.pass(step * 10L);
                default -> {
                    if (step % 50 == 9) {
                        model.gone();
                        channel.close();
                        channel = open();
                    }
                }
            }
            model.stand.pass(step % 7_000);
            model.stand.read(channel, gateway);
            model.check(gateway);
        }
        model.stand.pass(6_000_000);
        model.stand.read(channel, gateway);
        model.check(gateway);
        assertEquals(0, model.stand.broker.owed());
        channel.close();
        assertEquals(0, model.stand.counters.get("faults"));
        assertEquals(0, model.stand.counters.get("controller-faults"));
    }

    @Property(seed = "1764576001")
    void anyBytesEndInAnAnswerOrAClose(@ForAll @Size(max = 300) byte[] bytes, @ForAll boolean asRecord) {
        send(Gateway.FastCgi.begin(3));
        send(asRecord ? Gateway.FastCgi.record(4, 3, bytes) : bytes);
        send(Gateway.FastCgi.record(4, 3, new byte[0]));
        send(Gateway.FastCgi.record(5, 3, new byte[0]));
        channel.close();
        assertEquals(0, model.stand.counters.get("faults"));
        assertEquals(1, model.stand.lines.stream().filter(line -> line.startsWith("end side=fastcgi")).count());
    }

    @Example
    void failsARequestThatMakesNoSenseAndKeepsTheConnection() {
        Map<String, String> good = Gateway.fields(Stand.id(1), Stand.WALL_MS);
        assertEquals(413, status(gateway.request(1, "/call/" + Stand.LOOK, "", good, new byte[2049])));
        assertEquals(500, status(gateway.request(1, "/call/nothing", "", good, new byte[0])));
        assertEquals(400, status(gateway.request(1, "/elsewhere", "", good, new byte[0])));
        for (String name : List.of("Trace-Id", "Accepted-At-Ms", "Reserve-Kb", "Standing")) {
            Map<String, String> bad = Gateway.fields(Stand.id(1), Stand.WALL_MS);
            bad.put(name, "NaN");
            assertEquals(400, status(gateway.request(1, "/call/" + Stand.LOOK, "", bad, new byte[0])), name);
        }
        good.put("Lookup-Key", "k".repeat(9000));
        assertEquals(413, status(gateway.request(1, "/call/" + Stand.LOOK, "", good, new byte[0])));
        assertEquals(200, status(gateway.request(1, "/ping", "probe=1", Map.of(), new byte[0])));
        assertTrue(channel.isOpen());
    }

    @Example
    void closesOnMoreRequestsThanMayBeOpen() {
        for (int id = 1; id <= 33; id++) {
            assertTrue(channel.isOpen());
            send(Gateway.FastCgi.begin(id));
        }
        assertFalse(channel.isOpen());
        assertTrue(model.stand.lines.get(model.stand.lines.size() - 1).contains("reason=too-many-open"));
    }

    @Example
    void answersQuestionsAboutItself() {
        byte[] name = "FCGI_MPXS_CONNS".getBytes();
        byte[] pair = new byte[2 + name.length];
        pair[0] = (byte) name.length;
        System.arraycopy(name, 0, pair, 2, name.length);
        channel.writeInbound(io.netty.buffer.Unpooled.copiedBuffer(Gateway.FastCgi.record(9, 0, pair)));
        io.netty.buffer.ByteBuf out = channel.readOutbound();
        assertEquals(10, out.getByte(1));
        assertEquals('1', out.getByte(out.writerIndex() - 1));
        out.release();
    }
}
