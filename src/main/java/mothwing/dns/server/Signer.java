package mothwing.dns.server;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import mothwing.dns.zone.DomainName;
import mothwing.settings.Secret;
import mothwing.settings.Site;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TSIGRecord;

/** The keys in force and what they say of a message (TSIG, RFC 8945). */
final class Signer {
  /**
   * Seconds by which the clock of a signer may be off, whatever it asks for (RFC 8945 section 10).
   */
  static final int MOST_FUDGE = 300;

  /**
   * A message and who signed it.
   *
   * @param message the message
   * @param key the key's name, or null where it is not signed or not well
   * @param tsig the key, or null where its name is not known
   * @param error NOERROR where the signature is good, else BADKEY, BADSIG, BADTIME or BADTRUNC
   */
  record Signed(Message message, DomainName key, TSIG tsig, int error) {}

  private final Map<Name, TSIG> keys = new HashMap<>();

  /**
   * Reads the keys of settings.
   *
   * @param site the settings
   * @throws IOException where a secret cannot be read
   */
  Signer(Site.Dns site) throws IOException {
    for (Site.Key one : site.keys()) {
      Name name = Name.fromString(one.name() + ".");
      keys.put(name, new TSIG(TSIG.algorithmToName(one.algorithm()), name, Secret.read(one)));
    }
  }

  /**
   * Checks the signature of a message.
   *
   * @param message the message
   * @param bytes its bytes as they came
   * @param now the Unix second
   * @return who signed it
   */
  Signed check(Message message, byte[] bytes, long now) {
    TSIGRecord record = message.getTSIG();
    if (record == null) {
      return new Signed(message, null, null, Rcode.NOERROR);
    }
    TSIG tsig = keys.get(record.getName());
    if (tsig == null) {
      return new Signed(message, null, null, Rcode.BADKEY);
    }
    int error = tsig.verify(message, bytes, null);
    if (error == Rcode.NOERROR && Math.abs(now - signedAt(record)) > fudge(record)) {
      error = Rcode.BADTIME;
    }
    DomainName key = error == Rcode.NOERROR ? DomainName.of(record.getName().toWire(), 0) : null;
    return new Signed(message, key, tsig, error);
  }

  static long signedAt(TSIGRecord record) {
    return record.getTimeSigned().getEpochSecond();
  }

  static long fudge(TSIGRecord record) {
    return Math.min(MOST_FUDGE, record.getFudge().toSeconds());
  }

  /**
   * Signs the answer to a message that was checked, as far as RFC 8945 section 5.3 wants it signed.
   */
  static void sign(Message answer, Signed request) {
    TSIGRecord record = request.message().getTSIG();
    if (record == null) {
      return;
    }
    if (request.tsig() != null
        && (request.error() == Rcode.NOERROR || request.error() == Rcode.BADTIME)) {
      answer.setTSIG(request.tsig(), request.error(), record);
    } else {
      answer.addRecord(
          new TSIGRecord(
              record.getName(),
              org.xbill.DNS.DClass.ANY,
              0,
              record.getAlgorithm(),
              record.getTimeSigned(),
              record.getFudge(),
              new byte[0],
              answer.getHeader().getID(),
              request.error(),
              new byte[0]),
          org.xbill.DNS.Section.ADDITIONAL);
    }
  }
}
