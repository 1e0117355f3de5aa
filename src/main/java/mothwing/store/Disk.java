package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * The operations of a store on a folder of files. Tests implement it to let writes, forces and
 * renames fail.
 */
public interface Disk {
  /** One open file. */
  interface OpenFile extends AutoCloseable {
    /** Its length in bytes. */
    long size() throws IOException;

    /** Reads bytes from an offset on, up to the end or the limit of the buffer. */
    int read(ByteBuffer into, long from) throws IOException;

    /** Appends all bytes. */
    void append(ByteBuffer bytes) throws IOException;

    /** Blocks until all written bytes would survive a loss of power. */
    void force() throws IOException;

    /** Reduces it to a length in bytes. */
    void truncate(long size) throws IOException;

    @Override
    void close() throws IOException;
  }

  /** The names of its files, sorted. */
  List<String> list() throws IOException;

  /** Opens a file, which is made where there is none. */
  OpenFile open(String name) throws IOException;

  /** Renames a file atomically, replacing a file of that name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file, if it exists. */
  void delete(String name) throws IOException;

  /** Blocks until created, renamed and deleted names would survive a loss of power. */
  void forceDirectory() throws IOException;

  /**
   * The files of a real folder, which is made where there is none.
   *
   * @param folder the folder
   * @return its files
   * @throws IOException where it cannot be made
   */
  static Disk of(Path folder) throws IOException {
    Files.createDirectories(folder);
    String control = System.getProperty(FaultInjectingDisk.PROPERTY);
    return control == null
        ? new Directory(folder)
        : new FaultInjectingDisk(new Directory(folder), Path.of(control));
  }

  /** A real folder. */
  record Directory(Path path) implements Disk {
    @Override
    public List<String> list() throws IOException {
      try (Stream<Path> files = Files.list(path)) {
        return files
            .filter(Files::isRegularFile)
            .map(file -> file.getFileName().toString())
            .sorted()
            .toList();
      }
    }

    @Override
    public OpenFile open(String name) throws IOException {
      return new ChannelFile(
          FileChannel.open(
              path.resolve(name),
              StandardOpenOption.CREATE,
              StandardOpenOption.READ,
              StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
      Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
      try {
        Files.delete(path.resolve(name));
      } catch (NoSuchFileException ignored) {
        // already deleted
      }
    }

    @Override
    public void forceDirectory() throws IOException {
      try (FileChannel names = FileChannel.open(path, StandardOpenOption.READ)) {
        names.force(true);
      }
    }
  }

  /** A real file. */
  record ChannelFile(FileChannel file) implements OpenFile {
    @Override
    public long size() throws IOException {
      return file.size();
    }

    @Override
    public int read(ByteBuffer into, long from) throws IOException {
      int read = 0;
      while (into.hasRemaining()) {
        int more = file.read(into, from + read);
        if (more < 0) {
          break;
        }
        read += more;
      }
      return read;
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      long offset = file.size();
      while (bytes.hasRemaining()) {
        offset += file.write(bytes, offset);
      }
    }

    @Override
    public void force() throws IOException {
      file.force(true);
    }

    @Override
    public void truncate(long size) throws IOException {
      file.truncate(size);
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
