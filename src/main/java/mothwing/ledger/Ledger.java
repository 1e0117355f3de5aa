package mothwing.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mothwing.OverloadControl.Outcome;
import mothwing.broker.Broker;
import mothwing.broker.Calls;
import mothwing.broker.Counters;
import mothwing.broker.Log;
import mothwing.net.Connection;
import mothwing.net.Dial;
import mothwing.net.Reason;

/**
 * The tier below, over one link that carries all calls. It is opened for the first call, and again for the next one after it
 * ended. A request that calls again while an answer to an earlier call of its own may still be on the link gets a new link: the
 * old one takes no further calls and is closed once the last of its own is over.
 */
public final class Ledger implements Calls {
    private record Asked(long limitMs, byte[] content) { }

    private final Counters counters;
    private final Log log;
    private final Map<String, Asked> waiting = new LinkedHashMap<>();
    private Dial dialer;
    private Broker broker;
    private LedgerLink link;
    private boolean dialing;
    private int dials;

    /**
     * Makes one that is not linked.
     *
     * @param dialer opens links to its address
     * @param counters counts what happens
     * @param log takes lines of the log
     */
    public Ledger(Dial dialer, Counters counters, Log log) {
        this.dialer = dialer;
        this.counters = counters;
        this.log = log;
    }

    /**
     * Makes calls for this broker.
     *
     * @param to takes how they end
     */
    public void serve(Broker to) {
        broker = to;
        to.callWith(this);
    }

    /**
     * It is reached elsewhere from now on. Calls that are out end where they are.
     *
     * @param elsewhere opens links to the new address
     */
    public void moved(Dial elsewhere) {
        dialer = elsewhere;
        retire();
        if (dialing) {
            dial();
        }
    }

    @Override
    public boolean make(String id, long limitMs, byte[] content) {
        if (link != null && link.mayStillAnswer(id)) {
            counters.add("ledger-new-link");
            retire();
        }
        if (link != null) {
            link.post(id, limitMs, content);
            return true;
        }
        waiting.put(id, new Asked(limitMs, content));
        if (!dialing) {
            dial();
        }
        return true;
    }

    @Override
    public void abandon(String id) {
        if (waiting.remove(id) == null && link != null) {
            link.abandon(id);
        }
    }

    private void retire() {
        if (link != null) {
            link.retire();
            link = null;
        }
    }

    private void dial() {
        dialing = true;
        int mine = ++dials;
        Supplier<Connection> maker = () -> new LedgerLink(this, mine, log, counters);
        dialer.dial(maker, () -> failed(mine));
    }

    private void failed(int dial) {
        if (dial != dials) {
            return;
        }
        dialing = false;
        List<String> all = new ArrayList<>(waiting.keySet());
        waiting.clear();
        all.forEach(id -> broker.callOver(id, Outcome.UNREACHED, null));
    }

    /** A link is open; one of a dial that a later one has overtaken is not wanted. */
    void opened(LedgerLink opened, int dial) {
        if (dial != dials) {
            opened.close(Reason.MOVED, "");
            return;
        }
        dialing = false;
        link = opened;
        waiting.forEach((id, asked) -> opened.post(id, asked.limitMs(), asked.content()));
        waiting.clear();
    }

    void over(String id, Outcome outcome, byte[] result) {
        broker.callOver(id, outcome, result);
    }

    /** A link has ended, with these calls out on it. */
    void ended(LedgerLink which, List<String> out) {
        if (link == which) {
            link = null;
        }
        out.forEach(id -> broker.callOver(id, Outcome.CUT, null));
    }
}
