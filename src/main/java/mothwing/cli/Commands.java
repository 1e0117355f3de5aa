package mothwing.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import mothwing.adapter.Adapter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The sub-commands of the command line. */
public final class Commands {
    private static final int USAGE = 2;

    private Commands() {
    }

    /**
     * Runs a sub-command.
     *
     * @param arguments its name and options
     * @param in standard input
     * @param out standard output
     * @param err standard error
     * @return the exit status
     * @throws IOException when standard input or output breaks
     * @throws InterruptedException when a wait is broken off
     */
    public static int run(String[] arguments, InputStream in, PrintStream out, PrintStream err)
            throws IOException, InterruptedException {
        String name = arguments.length == 0 ? "help" : arguments[0];
        Options options = new Options();
        if (name.equals("serve")) {
            options.addOption(Option.builder("c").longOpt("config").hasArg().argName("FILE")
                    .desc("the configuration; else the file that EDGE_CONFIG names").get());
            options.addOption(Option.builder("a").longOpt("ajp").hasArg().argName("FILE")
                    .desc("also speak AJP/1.3 where this file says").get());
        }
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, Arrays.copyOfRange(arguments,
                    Math.min(1, arguments.length), arguments.length));
            if (!line.getArgList().isEmpty()) {
                throw new ParseException("unexpected: " + line.getArgList().get(0));
            }
        } catch (ParseException wrong) {
            err.println(name + ": " + wrong.getMessage());
            return USAGE;
        }
        switch (name) {
            case "serve":
                return serve(line.getOptionValue("config", System.getenv().getOrDefault("EDGE_CONFIG", "")),
                        line.getOptionValue("ajp"), out, err);
            case "adapter":
                return new Adapter(in, out, err).run();
            default:
                err.println("usage: java -jar mothwing.jar serve|adapter");
                return USAGE;
        }
    }

    private static int serve(String path, String ajp, PrintStream out, PrintStream err)
            throws InterruptedException {
        if (path.isEmpty()) {
            err.println("serve: no configuration: give --config or EDGE_CONFIG");
            return USAGE;
        }
        try {
            return Serve.run(path, ajp, out);
        } catch (NoSuchFileException missing) {
            err.println("serve: " + missing.getMessage() + ": no such file");
        } catch (IOException | IllegalArgumentException bad) {
            err.println("serve: " + bad.getMessage());
        }
        return USAGE;
    }
}
