package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A disk that is full, slow or failing as a control file says; trials check with it that nothing is
 * acknowledged before it is durable. The file's one line is {@code full} (half of the bytes of an
 * append are written, then it fails), {@code fail} (writes succeed, forces fail), {@code slow MS}
 * (each force takes so many milliseconds longer), or empty. It is read before each operation.
 *
 * @param disk the real one
 * @param control the control file; where it is missing no fault is injected
 */
record FaultInjectingDisk(Disk disk, Path control) implements Disk {
  /** The system property that names the control file. */
  static final String PROPERTY = "mothwing.disk.control";

  private static final String FULL = "full";
  private static final String FAIL = "fail";
  private static final String SLOW = "slow ";

  private String fault() throws IOException {
    try {
      return Files.readString(control).strip();
    } catch (NoSuchFileException none) {
      return "";
    }
  }

  private void force() throws IOException {
    String fault = fault();
    if (fault.equals(FAIL)) {
      throw new IOException("the disk fails: " + control + " says so");
    } else if (fault.startsWith(SLOW)) {
      try {
        TimeUnit.MILLISECONDS.sleep(Long.parseLong(fault.substring(SLOW.length())));
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        throw new IOException("broken off while it was slow", interrupted);
      }
    }
  }

  @Override
  public List<String> list() throws IOException {
    return disk.list();
  }

  @Override
  public OpenFile open(String name) throws IOException {
    return new FaultInjectingFile(disk.open(name));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    disk.rename(from, to);
  }

  @Override
  public void delete(String name) throws IOException {
    disk.delete(name);
  }

  @Override
  public void forceDirectory() throws IOException {
    force();
    disk.forceDirectory();
  }

  private final class FaultInjectingFile implements OpenFile {
    private final OpenFile opened;

    FaultInjectingFile(OpenFile opened) {
      this.opened = opened;
    }

    @Override
    public long size() throws IOException {
      return opened.size();
    }

    @Override
    public int read(ByteBuffer into, long from) throws IOException {
      return opened.read(into, from);
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      if (fault().equals(FULL)) {
        bytes.limit(bytes.position() + bytes.remaining() / 2);
        opened.append(bytes);
        throw new IOException("no space is left: " + control + " says so");
      }
      opened.append(bytes);
    }

    @Override
    public void force() throws IOException {
      FaultInjectingDisk.this.force();
      opened.force();
    }

    @Override
    public void truncate(long size) throws IOException {
      opened.truncate(size);
    }

    @Override
    public void close() throws IOException {
      opened.close();
    }
  }
}
