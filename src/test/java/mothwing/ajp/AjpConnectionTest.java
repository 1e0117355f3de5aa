package mothwing.ajp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mothwing.OverloadControl.Outcome;
import mothwing.testing.Answer;
import mothwing.testing.FrontModel;
import mothwing.testing.Gateway;
import mothwing.testing.Stand;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/** A connection of one request at a time against the model of its states. */
class AjpConnectionTest {
    private static final int PLACE = 0;

    private FrontModel model;
    private Gateway.Ajp gateway;
    private EmbeddedChannel channel;

    @BeforeTry
    void anew() {
        model = new FrontModel();
        gateway = new Gateway.Ajp();
        channel = open();
    }

    private EmbeddedChannel open() {
        return model.stand.open(new AjpConnection(model.stand.broker, model.stand.lines::add,
                model.stand.counters));
    }

    private void send(byte[] bytes) {
        model.stand.send(channel, gateway, bytes);
    }

    private Map<String, String> fields() {
        return Gateway.fields(Stand.id(1), model.stand.wallMs());
    }

    private Answer ask(String path, int length, byte[] chunk) {
        send(Gateway.Ajp.forward(path, "probe=1", fields(), length));
        if (length != 0) {
            send(Gateway.Ajp.chunk(chunk, 0, chunk.length));
        }
        model.stand.pass(3_000);
        model.stand.read(channel, gateway);
        return gateway.answers.poll();
    }

    @Property(seed = "1764576002")
    void keepsToTheModel(@ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
        for (int step : steps) {
            switch (step % 8) {
                case 0, 1, 2 -> {
                    if (!model.busy(PLACE)) {
                        byte[] all = model.ask(gateway, PLACE, step % 3 == 0, step % 2049, step % 400);
                        int cut = step % all.length; // in two pieces, wherever the cut falls
                        send(Arrays.copyOf(all, cut));
                        send(Arrays.copyOfRange(all, cut, all.length));
                    }
                }
                case 3, 4 -> model.endRun(step / 8);
                case 5 -> model.stand.pass(step * 10L);
                case 6 -> {
                    if (!model.busy(PLACE)) {
                        int before = gateway.pongs;
                        send(Gateway.Ajp.cping());
                        assertEquals(before + 1, gateway.pongs);
                    }
                }
                default -> {
                    if (step % 40 == 7) { // a closed connection is the caller leaving
                        model.gone();
                        channel.close();
                        gateway = new Gateway.Ajp();
                        channel = open();
                    }
                }
            }
            model.stand.pass(step % 7_000);
            model.stand.read(channel, gateway);
            model.check(gateway);
            assertTrue(channel.isOpen() && !gateway.refusesReuse, () -> String.join("\n", model.stand.lines));
        }
        model.stand.pass(6_000_000);
        model.stand.read(channel, gateway);
        model.check(gateway);
        assertEquals(0, model.stand.broker.owed());
        channel.close();
        assertEquals(0, model.stand.counters.get("faults"));
        assertEquals(0, model.stand.counters.get("controller-faults"));
    }

    @Property(seed = "1764576003")
    void anyBytesEndInAnAnswerOrAClose(@ForAll @Size(max = 300) byte[] bytes, @ForAll boolean asPacket) {
        send(asPacket ? Gateway.Ajp.packet(bytes) : bytes);
        channel.close();
        assertEquals(0, model.stand.counters.get("faults"));
        assertEquals(1, model.stand.lines.stream().filter(line -> line.startsWith("end side=ajp")).count());
    }

    @Property(seed = "1764576004", tries = 60)
    void aForwardCutShortInItsPacketClosesTheConnection(@ForAll @IntRange(min = 1, max = 150) int less) {
        byte[] whole = Gateway.Ajp.forward("/call/" + Stand.LOOK, "", fields(), 0);
        byte[] payload = Arrays.copyOfRange(whole, 4, Math.max(5, whole.length - less));
        send(Gateway.Ajp.packet(payload));
        assertFalse(channel.isOpen());
        assertTrue(model.stand.lines.get(model.stand.lines.size() - 1).contains("reason=malformed"));
    }

    @Example
    void asksForTheBodyWhereItsLengthIsNotTold() {
        byte[] body = new byte[1500];
        send(Gateway.Ajp.forward("/call/" + Stand.LOOK, "", fields(), -1));
        assertTrue(gateway.asked >= body.length);
        send(Gateway.Ajp.chunk(body, 0, 1000));
        assertEquals(0, model.stand.counters.get("read"));
        send(Gateway.Ajp.chunk(body, 1000, 1500));
        send(Gateway.Ajp.chunk(body, 0, 0));
        assertEquals(1, model.stand.counters.get("read"));
        model.stand.pass(3_000);
        model.stand.finish(Stand.id(1), Outcome.GOOD);
        model.stand.read(channel, gateway);
        assertEquals(200, gateway.answers.remove().status());
    }

    @Example
    void asksForTheRestOfABodyThatComesInChunks() {
        byte[] body = new byte[2000];
        send(Gateway.Ajp.forward("/call/" + Stand.LOOK, "", fields(), body.length));
        assertEquals(0, gateway.asked, "the first chunk comes unasked");
        send(Gateway.Ajp.chunk(body, 0, 1200));
        assertEquals(800, gateway.asked);
        send(Gateway.Ajp.chunk(body, 1200, 2000));
        assertEquals(1, model.stand.counters.get("read"));
    }

    @Example
    void failsARequestThatMakesNoSenseAndKeepsTheConnection() {
        assertEquals(413, ask("/call/" + Stand.LOOK, 9000, new byte[8000]).status());
        assertEquals(400, ask("/call/" + Stand.LOOK, 50, new byte[0]).status());
        assertEquals(400, ask("/elsewhere", 0, null).status());
        assertEquals(500, ask("/call/nothing", 0, null).status());
        assertEquals(200, ask("/ping", 0, null).status());
        assertTrue(channel.isOpen());
    }

    @Example
    void aPacketBeforeTheAnswerClosesTheConnection() {
        send(Gateway.Ajp.forward("/call/" + Stand.LOOK, "", fields(), 0));
        send(Gateway.Ajp.cping());
        assertFalse(channel.isOpen());
        assertTrue(model.stand.lines.get(model.stand.lines.size() - 1).contains("reason=too-many-open"));
        assertEquals(0, model.stand.broker.owed(), "its caller has left");
    }

    @Example
    void refusesWithAdviceAndWithoutReuseOnceTheServerLeaves() {
        model.stand.broker.drain(3_000_000);
        model.stand.pass(5_000);
        Answer answer = ask("/call/" + Stand.ORDER, 0, null);
        assertEquals(503, answer.status());
        assertTrue(Long.parseLong(answer.fields().get("Hold-Off-Ms")) > 0);
        assertTrue(gateway.refusesReuse);
        assertFalse(channel.isOpen());
    }
}
