package mothwing.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Injects the fault that a control file selects into the operations of a disk. Trials use it to
 * check that nothing is acknowledged before it is durable. The control file holds one line: {@code
 * full} (half of the bytes of an append are written, then it fails), {@code fail} (writes succeed,
 * forces fail), {@code slow MS} (each force takes that many milliseconds longer), or nothing. It is
 * read before each append and force.
 *
 * @param disk the disk that performs the operations
 * @param control the control file; if it is missing no fault is injected
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
    } catch (NoSuchFileException absent) {
      return "";
    }
  }

  private void injectForceFault() throws IOException {
    String fault = fault();
    if (fault.equals(FAIL)) {
      throw new IOException("injected fault: force fails, as selected by " + control);
    } else if (fault.startsWith(SLOW)) {
      try {
        TimeUnit.MILLISECONDS.sleep(Long.parseLong(fault.substring(SLOW.length())));
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted during an injected delay", interrupted);
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
    injectForceFault();
    disk.forceDirectory();
  }

  private final class FaultInjectingFile implements OpenFile {
    private final OpenFile file;

    FaultInjectingFile(OpenFile file) {
      this.file = file;
    }

    @Override
    public long size() throws IOException {
      return file.size();
    }

    @Override
    public int read(ByteBuffer buffer, long offset) throws IOException {
      return file.read(buffer, offset);
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      if (fault().equals(FULL)) {
        bytes.limit(bytes.position() + bytes.remaining() / 2);
        file.append(bytes);
        throw new IOException("injected fault: no space left, as selected by " + control);
      }
      file.append(bytes);
    }

    @Override
    public void force() throws IOException {
      injectForceFault();
      file.force();
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
