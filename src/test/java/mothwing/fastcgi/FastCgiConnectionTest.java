package mothwing.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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

    @BeforeTry
    void anew() {
        model = new FrontModel(stand -> new FastCgiConnection(stand.broker, stand.lines::add, stand.counters),
                Gateway.FastCgi::new);
    }

    private int status(byte[] request) {
        model.send(request);
        return model.gateway.answers.remove().status();
    }

    @Property(seed = "1764576000")
    void keepsToTheModel(@ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
        for (int step : steps) {
            int place = 1 + step / 10 % PLACES;
            switch (step % 10) {
                case 0, 1, 2, 3 -> model.ask(place, step);
                case 4 -> {
                    model.left(place);
                    model.send(Gateway.FastCgi.abort(place));
                    model.gateway.answers.removeIf(one -> one.id() == place); // one answer does no harm
                }
                case 5, 6, 7 -> model.endRun(step / 10);
                case 8 -> model.stand.pass(step * 10L);
                default -> {
                    if (step % 50 == 9) {
                        model.reopen();
                    }
                }
            }
            model.check(step % 7_000);
        }
        model.checkEnd();
    }

    @Property(seed = "1764576001")
    void anyBytesEndInAnAnswerOrAClose(@ForAll @Size(max = 300) byte[] bytes, @ForAll boolean asRecord) {
        model.send(Gateway.FastCgi.begin(3));
        model.send(asRecord ? Gateway.FastCgi.record(4, 3, bytes) : bytes);
        model.send(Gateway.FastCgi.record(4, 3, new byte[0]));
        model.send(Gateway.FastCgi.record(5, 3, new byte[0]));
        model.checkClosed();
    }

    @Example
    void failsARequestThatMakesNoSenseAndKeepsTheConnection() {
        Map<String, String> good = Gateway.fields(Stand.id(1), Stand.WALL_MS);
        assertEquals(413, status(model.gateway.request(1, "/call/" + Stand.LOOK, "", good, new byte[2049])));
        assertEquals(500, status(model.gateway.request(1, "/call/nothing", "", good, new byte[0])));
        assertEquals(400, status(model.gateway.request(1, "/elsewhere", "", good, new byte[0])));
        for (String name : List.of("Trace-Id", "Accepted-At-Ms", "Reserve-Kb", "Standing")) {
            Map<String, String> bad = Gateway.fields(Stand.id(1), Stand.WALL_MS);
            bad.put(name, "NaN");
            assertEquals(400, status(model.gateway.request(1, "/call/" + Stand.LOOK, "", bad, new byte[0])), name);
        }
        good.put("Lookup-Key", "k".repeat(9000));
        assertEquals(413, status(model.gateway.request(1, "/call/" + Stand.LOOK, "", good, new byte[0])));
        assertEquals(200, status(model.gateway.request(1, "/ping", "probe=1", Map.of(), new byte[0])));
        assertTrue(model.channel.isOpen());
    }

    @Example
    void closesOnMoreRequestsThanMayBeOpen() {
        for (int id = 1; id <= 33; id++) {
            assertTrue(model.channel.isOpen());
            model.send(Gateway.FastCgi.begin(id));
        }
        assertTrue(model.endedAs("too-many-open"));
    }

    @Example
    void answersQuestionsAboutItself() {
        byte[] name = "FCGI_MPXS_CONNS".getBytes();
        byte[] pair = new byte[2 + name.length];
        pair[0] = (byte) name.length;
        System.arraycopy(name, 0, pair, 2, name.length);
        model.channel.writeInbound(Unpooled.copiedBuffer(Gateway.FastCgi.record(9, 0, pair)));
        ByteBuf out = model.channel.readOutbound();
        assertEquals(10, out.getByte(1));
        assertEquals('1', out.getByte(out.writerIndex() - 1));
        out.release();
    }
}
