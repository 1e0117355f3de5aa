package canvaspaddle;

import canvaspaddle.wire.Drill;
import java.io.IOException;

/** The command line: {@code drill} answers event lines on standard input with action lines. */
public final class Main {
    private Main() {
    }

    /**
     * Runs the named command.
     *
     * @param arguments exactly one word, {@code drill}
     * @throws IOException when standard input or output breaks
     */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1 || !arguments[0].equals("drill")) {
            System.err.println("usage: java -jar canvaspaddle.jar drill");
            System.exit(2);
        }
        System.exit(new Drill(System.in, System.out, System.err).run());
    }
}
