package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * A hex dump of recorded bytes: 16 bytes per line in hexadecimal, followed by a number sign and
 * their ASCII, with "zeros N" for N zero bytes that fill two or more lines. A line that begins with
 * a number sign is a comment.
 */
final class HexFile {
  private static final int LINE_BYTES = 16;
  private static final String ZEROS = "zeros ";
  private static final Path ACTUAL_FOLDER = Path.of("target", "witness");

  private HexFile() {}

  /** Returns the bytes of a recorded file, given by its name without extension. */
  static byte[] read(String name) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (String line : text(name).split("\n")) {
      String data = line.split("#", 2)[0].strip();
      if (data.startsWith(ZEROS)) {
        bytes.write(new byte[Integer.parseInt(data.substring(ZEROS.length()))]);
      } else {
        bytes.write(HexFormat.of().parseHex(data.replace(" ", "")));
      }
    }
    return bytes.toByteArray();
  }

  /**
   * Fails if the bytes differ from the recorded ones; then their dump is written to target/witness
   * for comparison.
   */
  static void assertRecorded(String name, byte[] actual) throws IOException {
    String dump = dump(actual);
    String recorded = withoutComments(text(name));
    if (!recorded.equals(dump)) {
      Path file = ACTUAL_FOLDER.resolve(name + ".hex");
      Files.createDirectories(file.getParent());
      Files.writeString(file, dump);
    }
    assertEquals(recorded, dump, name);
  }

  private static String text(String name) throws IOException {
    try (InputStream in = HexFile.class.getResourceAsStream("/witness/" + name + ".hex")) {
      return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  private static String withoutComments(String text) {
    StringBuilder kept = new StringBuilder();
    text.lines()
        .filter(line -> !line.startsWith("#"))
        .forEach(line -> kept.append(line).append('\n'));
    return kept.toString();
  }

  /** Formats bytes as a hex dump. */
  static String dump(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    int offset = 0;
    while (offset < bytes.length) {
      int zeros = zeroLines(bytes, offset) * LINE_BYTES;
      if (zeros > LINE_BYTES) {
        text.append(ZEROS).append(zeros).append('\n');
        offset += zeros;
      } else {
        text.append(
            line(Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + LINE_BYTES))));
        offset += LINE_BYTES;
      }
    }
    return text.toString();
  }

  private static int zeroLines(byte[] bytes, int from) {
    int lines = 0;
    int offset = from;
    while (offset + LINE_BYTES <= bytes.length
        && Arrays.equals(bytes, offset, offset + LINE_BYTES, new byte[LINE_BYTES], 0, LINE_BYTES)) {
      lines++;
      offset += LINE_BYTES;
    }
    return lines;
  }

  private static String line(byte[] bytes) {
    StringBuilder ascii = new StringBuilder();
    for (byte value : bytes) {
      ascii.append(value >= ' ' && value <= '~' ? (char) value : '.');
    }
    String hex = HexFormat.ofDelimiter(" ").formatHex(bytes);
    return String.format("%-47s  #%s\n", hex, ascii);
  }
}
