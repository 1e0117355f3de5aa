package mothwing.dns.zone;

/**
 * Something wrong in a zone file.
 *
 * @param file the file's name
 * @param line the line on which the record or directive begins, counted from 1
 * @param reason what is wrong
 * @param refused whether it cost a record; else it is a remark
 */
public record Fault(String file, int line, String reason, boolean refused) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + (refused ? "" : "remark: ") + reason;
  }
}
