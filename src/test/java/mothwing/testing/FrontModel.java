package mothwing.testing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import mothwing.OverloadControl.Outcome;

/**
 * The model that both fronts are checked against: what was read is owed one answer by its due time unless its
 * caller left; what must run once runs once and, once run, is not refused; what is served is its own result.
 */
public final class FrontModel {
    private static final long DUE = 4_500_000 + 150_000;

    /** A request as its gateway knows it. */
    private static final class Known {
        final String id;
        final boolean order;
        final long dueAt;

        Known(String id, boolean order, long dueAt) {
            this.id = id;
            this.order = order;
            this.dueAt = dueAt;
        }
    }

    /** The server under test. */
    public final Stand stand = new Stand().bound();

    private final Map<Integer, Known> owed = new HashMap<>();
    private int made;
    private int answered;

    /** Notes a request that is sent whole on a place of the connection, and gives its bytes. */
    public byte[] ask(Gateway gateway, int place, boolean order, int bodySize, int lateMs) {
        String id = Stand.id(++made);
        byte[] body = new byte[bodySize];
        owed.put(place, new Known(id, order, stand.now() - lateMs * 1000L + DUE));
        return gateway.request(place, order ? "/call/" + Stand.ORDER : "/call/" + Stand.LOOK, "",
                Gateway.fields(id, stand.wallMs() - lateMs), body);
    }

    /** Whether a place of the connection is taken. */
    public boolean busy(int place) {
        return owed.containsKey(place);
    }

    /** The gateway no longer waits for a request. */
    public void left(int place) {
        owed.remove(place);
    }

    /** The connection is gone, and all its callers with it. */
    public void gone() {
        owed.clear();
    }

    /** How many answers were checked. */
    public int answered() {
        return answered;
    }

    /** Ends some run, well or badly. */
    public void endRun(int number) {
        String id = stand.someRun(number);
        if (id != null) {
            stand.finish(id, number % 5 == 0 ? Outcome.FAILED : Outcome.GOOD);
        }
    }

    /** Checks all that the gateway has read, and that nothing is overdue. */
    public void check(Gateway gateway) {
        Answer answer;
        while ((answer = gateway.answers.poll()) != null) {
            Known known = owed.remove(answer.id());
            assertNotNull(known, "an answer that is not owed");
            answered++;
            boolean ran = stand.spawns.containsKey(known.id);
            assertNotNull(answer.fields().get("Feedback"));
            switch (answer.status()) {
                case 200 -> assertArrayEquals(Stand.result(known.id), answer.content());
                case 503 -> assertTrue(!ran || !known.order, known.id + " ran and is refused");
                default -> assertEquals(500, answer.status());
            }
        }
        for (Known known : owed.values()) {
            assertTrue(stand.now() <= known.dueAt, () -> known.id + " is overdue at " + stand.now() + "\n" + stand.counters
                    + "\n" + String.join("\n", stand.lines));
        }
        stand.spawns.forEach((id, times) -> assertEquals(1, times, id + " ran twice"));
    }
}
