package mothwing;

import mothwing.cli.Commands;

/** The program: hands its arguments to the command line. */
public final class Main {
  private Main() {}

  /**
   * Runs the named command.
   *
   * @param arguments a sub-command with its options
   * @throws Exception when a command breaks
   */
  public static void main(String[] arguments) throws Exception {
    System.exit(Commands.run(arguments, System.in, System.out, System.err));
  }
}
