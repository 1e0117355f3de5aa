package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A recorded conversation: a text resource with steps, each followed by its output. Lines that
 * begin with {@code #} are comments, lines that begin with {@code <} are recorded output, and all
 * others are steps: a command and its argument. A replay runs the steps of the file and compares
 * the output with the recorded one. If they differ, the actual conversation is written to {@code
 * target/witness}.
 */
final class GoldenFile {
  /** Runs the steps of a conversation. */
  @FunctionalInterface
  interface Steps {
    /**
     * Runs one step.
     *
     * @param argument the rest of the line after the command, or an empty string
     */
    void run(String command, String argument);
  }

  private static final String OUTPUT_PREFIX = "< ";

  private final String name;
  private final List<String> recorded;
  private final List<String> replayed = new ArrayList<>();

  /** Reads a recorded conversation. */
  GoldenFile(String name) throws IOException {
    this.name = name;
    try (InputStream in = GoldenFile.class.getResourceAsStream("/witness/" + name)) {
      assertNotNull(in, "no recorded file " + name);
      recorded = new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }

  /** Returns the recorded lines of output in order, without their prefix. */
  List<String> outputs() {
    return recorded.stream()
        .filter(line -> line.startsWith(OUTPUT_PREFIX))
        .map(line -> line.substring(OUTPUT_PREFIX.length()))
        .toList();
  }

  /** Adds a line of output of the current step. */
  void output(String line) {
    replayed.add(OUTPUT_PREFIX + line);
  }

  /** Adds all bytes written to a channel as text with its line ends escaped. */
  void outputText(String label, EmbeddedChannel channel) {
    String text = new String(written(channel), StandardCharsets.ISO_8859_1);
    if (!text.isEmpty()) {
      output(label + escaped(text));
    }
  }

  /** Adds all bytes written to a channel as hexadecimal digits. */
  void outputHex(EmbeddedChannel channel) {
    byte[] bytes = written(channel);
    if (bytes.length > 0) {
      output(HexFormat.of().formatHex(bytes));
    }
  }

  /** Runs all steps and compares the output with the recorded one. */
  void replay(Steps steps) throws IOException {
    for (String line : recorded) {
      if (line.startsWith(OUTPUT_PREFIX)) {
        continue;
      }
      replayed.add(line);
      if (!line.isBlank() && !line.startsWith("#")) {
        int space = line.indexOf(' ');
        steps.run(
            space < 0 ? line : line.substring(0, space),
            space < 0 ? "" : line.substring(space + 1));
      }
    }
    compare();
  }

  private void compare() throws IOException {
    if (!recorded.equals(replayed)) {
      Path actual = Path.of("target", "witness", name);
      Files.createDirectories(actual.getParent());
      Files.write(actual, replayed);
    }
    for (int i = 0; i < Math.min(recorded.size(), replayed.size()); i++) {
      int number = i + 1;
      assertEquals(
          recorded.get(i), replayed.get(i), () -> "first difference in " + name + ":" + number);
    }
    assertEquals(recorded.size(), replayed.size(), "number of lines of " + name);
  }

  /** Decodes a text with escapes to bytes. */
  static byte[] bytes(String escaped) {
    return escaped.translateEscapes().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Decodes hexadecimal digits, which may be separated by spaces. */
  static byte[] hex(String digits) {
    return HexFormat.of().parseHex(digits.replace(" ", ""));
  }

  /** Escapes line ends, backslashes and all characters outside printable ASCII, as in Java. */
  static String escaped(String text) {
    StringBuilder escaped = new StringBuilder();
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      switch (character) {
        case '\r' -> escaped.append("\\r");
        case '\n' -> escaped.append("\\n");
        case '\\' -> escaped.append("\\\\");
        default ->
            escaped.append(
                character < ' ' || character > '~'
                    ? String.format("\\%03o", (int) character)
                    : character);
      }
    }
    return escaped.toString();
  }

  private static byte[] written(EmbeddedChannel channel) {
    channel.runPendingTasks();
    List<byte[]> parts = new ArrayList<>();
    int length = 0;
    ByteBuf buffer;
    while ((buffer = channel.readOutbound()) != null) {
      byte[] part = new byte[buffer.readableBytes()];
      buffer.readBytes(part);
      buffer.release();
      parts.add(part);
      length += part.length;
    }
    byte[] bytes = new byte[length];
    int offset = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, bytes, offset, part.length);
      offset += part.length;
    }
    return bytes;
  }
}
