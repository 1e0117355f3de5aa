package mothwing.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import mothwing.lab.History.Crowd;
import mothwing.lab.History.End;
import mothwing.lab.Oracles.Breach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a server puts on its machine while it hears of its runs late, in part, or not at all; real processes unless named. */
class OverloadTest {
    private static final long SECOND = 1_000_000;

    @TempDir
    private Path folder;

    private static Trial trial(String head, String faults) throws IOException {
        return TrialScript.read("test.star", (name, most) -> head + faults);
    }

    /** Resets of the link to the pool, a span apart. */
    private static String resets(double from, double until, double every) {
        StringBuilder all = new StringBuilder();
        for (double at = from; at < until; at += every) {
            all.append("at(").append(Fault.number(at)).append(", sever([\"s1\"], [\"s1.pool\"]))\n");
        }
        return all.toString();
    }

    private History processes(Trial trial) throws Exception {
        try (ProcessStage stage = new ProcessStage(folder)) {
            return stage.play(trial, line -> { });
        }
    }

    private static List<Breach> untimed(Trial trial, History history) {
        assertTrue(history.calls.stream().filter(call -> call.end() == End.SERVED).count() > 20, "it serves");
        return Oracles.judge(trial, history).breaches().stream()
                .filter(one -> !List.of("due", "drain", "closes").contains(one.rule())).toList();
    }

    private static final String HUNG = """
            trial(name = "hung", seconds = 8, seed = 3)
            fleet(servers = 1, cores = 2, work_ms = 100, deadline_ms = 1000, memory_runs = 7)
            traffic(rate = 40, orders = 0.2, gateways = 3, patience_ms = 2000)
            at(0.1, mute(["s1"], share = 0.95, seconds = 2.4))
            at(2, hang(["s1"], seconds = 5))
            """;

    /** Stops that have no effect are no proof that the runs are over, however often the link is opened anew. */
    @Test
    void runsOnCoresThatHangAreCountedOverEveryRelink() throws Exception {
        Trial trial = trial(HUNG, resets(1, 7.5, 0.4));
        assertEquals(List.of(), untimed(trial, processes(trial)));
    }

    /** The same on virtual time, where it takes milliseconds. */
    @Test
    void runsOnCoresThatHangAreCountedOnVirtualTimeToo() throws Exception {
        for (long seed = 1; seed <= 20; seed++) {
            Trial trial = trial(HUNG, resets(1, 7.5, 0.4)).withSeed(seed);
            assertEquals(List.of(), untimed(trial, new SimulationStage().play(trial, line -> { })), "seed " + seed);
        }
    }

    /** The oracle's own arithmetic, against a crowd of which the mean is known. */
    @Test
    void theWorstMeanOfACrowdIsThatOfItsWorstSpan() {
        List<Crowd> steps = List.of(new Crowd("s1", 0, 0, 0), new Crowd("s1", 5 * SECOND, 40, 40),
                new Crowd("s1", 6 * SECOND, 10, 10), new Crowd("s1", 20 * SECOND, 0, 0));
        assertEquals(25, Oracles.worstMean(steps), 0.01);
    }
}
