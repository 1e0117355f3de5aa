package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Map;
import mothwing.ajp.AjpConnection;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.testing.Gateway;
import mothwing.testing.Stand;
import org.junit.jupiter.api.Test;

/** Which connections a listener closes of itself. */
class ListenerTest {
    private static final long SECOND = 1_000_000;

    private final Stand stand = new Stand().bound();
    private final Listener listener = new Listener("test", () -> null, 9, stand, stand.counters);

    private EmbeddedChannel open(Connection connection) {
        listener.watch(connection);
        return stand.open(connection);
    }

    private Connection fastCgi() {
        return new FastCgiConnection(stand.broker, stand.lines::add, stand.counters);
    }

    private Connection ajp() {
        return new AjpConnection(stand.broker, stand.lines::add, stand.counters);
    }

    private void pass(long span) {
        for (long left = span; left > 0; left -= SECOND) {
            stand.pass(SECOND);
            listener.trim(30 * SECOND, Reason.IDLE);
        }
    }

    @Test
    void closesWhatIsIdleForTheSpanInForce() {
        EmbeddedChannel channel = open(fastCgi());
        pass(29 * SECOND);
        stand.send(channel, new Gateway.FastCgi(), new Gateway.FastCgi().request(1, "/ping", "", Map.of(),
                new byte[0]));
        assertTrue(channel.isOpen());
        pass(2 * SECOND);
        assertFalse(channel.isOpen());
        assertTrue(stand.lines.get(stand.lines.size() - 1).contains("reason=idle"));
    }

    /** Guards against gateways that stop in the middle of a request: each would hold its socket for ever. */
    @Test
    void closesWhatStaysHalfRead() {
        EmbeddedChannel[] channels = {open(fastCgi()), open(fastCgi()), open(ajp()), open(ajp())};
        stand.send(channels[0], new Gateway.FastCgi(), Gateway.FastCgi.begin(1));
        stand.send(channels[1], new Gateway.FastCgi(), new byte[] {1, 1, 0});
        stand.send(channels[2], new Gateway.Ajp(), Gateway.Ajp.forward("/call/x", "", Map.of(), 50));
        stand.send(channels[3], new Gateway.Ajp(), new byte[] {0x12});
        pass(9 * SECOND);
        for (EmbeddedChannel channel : channels) {
            assertTrue(channel.isOpen());
        }
        pass(3 * SECOND);
        for (EmbeddedChannel channel : channels) {
            assertFalse(channel.isOpen());
        }
        assertEquals(4, stand.lines.stream().filter(line -> line.contains("reason=no-answer")).count());
    }
}
