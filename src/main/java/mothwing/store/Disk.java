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
 * The file operations of a store in one directory. Tests implement it to make writes, forces and
 * renames fail.
 */
public interface Disk {
  /** An open file. */
  interface OpenFile extends AutoCloseable {
    /** Returns the length in bytes. */
    long size() throws IOException;

    /**
     * Reads from an offset until the buffer is full or the file ends; returns the number of bytes
     * read.
     */
    int read(ByteBuffer buffer, long offset) throws IOException;

    /** Appends all remaining bytes of a buffer. */
    void append(ByteBuffer bytes) throws IOException;

    /** Blocks until all written bytes are durable, so that they survive a power loss. */
    void force() throws IOException;

    /** Truncates the file to a length in bytes. */
    void truncate(long size) throws IOException;

    @Override
    void close() throws IOException;
  }

  /** Returns the names of the files, sorted. */
  List<String> list() throws IOException;

  /** Opens a file, which is created if absent. */
  OpenFile open(String name) throws IOException;

  /** Renames a file atomically and replaces an existing file of the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file, if it exists. */
  void delete(String name) throws IOException;

  /**
   * Blocks until created, renamed and deleted names are durable, so that they survive a power loss.
   */
  void forceDirectory() throws IOException;

  /**
   * Opens a directory of the file system, which is created if absent. If the system property {@code
   * mothwing.disk.control} names a control file, the faults in it are injected.
   *
   * @param directory the directory
   * @return the disk
   * @throws IOException if the directory cannot be created
   */
  static Disk of(Path directory) throws IOException {
    Files.createDirectories(directory);
    String control = System.getProperty(FaultInjectingDisk.PROPERTY);
    return control == null
        ? new Directory(directory)
        : new FaultInjectingDisk(new Directory(directory), Path.of(control));
  }

  /** A directory of the file system. */
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
        // Already deleted.
      }
    }

    @Override
    public void forceDirectory() throws IOException {
      try (FileChannel names = FileChannel.open(path, StandardOpenOption.READ)) {
        names.force(true);
      }
    }
  }

  /** An open file of the file system. */
  record ChannelFile(FileChannel file) implements OpenFile {
    @Override
    public long size() throws IOException {
      return file.size();
    }

    @Override
    public int read(ByteBuffer buffer, long offset) throws IOException {
      int read = 0;
      while (buffer.hasRemaining()) {
        int count = file.read(buffer, offset + read);
        if (count < 0) {
          break;
        }
        read += count;
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
