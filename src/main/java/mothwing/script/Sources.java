package mothwing.script;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Gives the texts that {@code load} asks for. */
@FunctionalInterface
public interface Sources {
  /**
   * Reads a file.
   *
   * @param name its name, relative to the first script's folder
   * @param most most bytes it may have
   * @return its text
   * @throws IOException where it cannot be read, is too large, or lies outside the folder
   */
  String read(String name, int most) throws IOException;

  /**
   * Reads files below a folder and nothing else; links that lead out of it are refused.
   *
   * @param folder the folder
   * @return its texts
   */
  static Sources below(Path folder) {
    return (name, most) -> {
      Path file = inside(folder, name);
      try (var in = Files.newInputStream(file)) {
        byte[] bytes = in.readNBytes(most + 1);
        if (bytes.length > most) {
          throw new IOException(name + " has more than " + most + " bytes");
        }
        return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      } catch (CharacterCodingException notText) {
        throw new IOException(name + " is not UTF-8");
      }
    };
  }

  /**
   * A file below a folder.
   *
   * @param folder the folder
   * @param name the file's name, relative to it
   * @return the file's real path
   * @throws IOException where there is none, or it lies outside the folder
   */
  static Path inside(Path folder, String name) throws IOException {
    Path root = folder.toRealPath();
    Path file = root.resolve(name);
    if (!Files.exists(file)) {
      throw new IOException("no such file: " + name);
    }
    Path real = file.toRealPath();
    if (!real.startsWith(root)) {
      throw new IOException(name + " lies outside the settings' folder");
    }
    return real;
  }
}
