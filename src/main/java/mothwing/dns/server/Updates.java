package mothwing.dns.server;

import java.util.ArrayList;
import java.util.List;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.Rr;
import mothwing.dns.zone.Update;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Between messages of dnsjava and updates of the zone. */
final class Updates {
  private static final int UDP_PAYLOAD = 1232;

  private Updates() {}

  /**
   * The update that a message asks for, or null where its zone section is none (RFC 2136 section
   * 3.1.1).
   */
  static Update of(Message message) {
    List<Record> zone = message.getSection(Section.ZONE);
    if (zone.size() != 1 || zone.get(0).getType() != Type.SOA) {
      return null;
    }
    return new Update(lines(message, Section.PREREQ), lines(message, Section.UPDATE));
  }

  private static List<Update.Line> lines(Message message, int section) {
    List<Update.Line> all = new ArrayList<>();
    for (Record one : message.getSection(section)) {
      boolean bare = one.getDClass() == DClass.ANY;
      all.add(
          new Update.Line(
              DomainName.of(one.getName().toWire(), 0),
              one.getType(),
              one.getDClass(),
              one.getTTL(),
              bare && one.rdataToString().isEmpty() ? new byte[0] : Rr.data(one)));
    }
    return all;
  }

  /** An answer to an update, to be signed. */
  static Message answer(Message request, int rcode, int ede, String text) {
    Message answer = new Message(request.getHeader().getID());
    answer.getHeader().setOpcode(request.getHeader().getOpcode());
    answer.getHeader().setFlag(Flags.QR);
    answer.getHeader().setRcode(rcode & 15);
    for (Record one : request.getSection(Section.ZONE)) {
      answer.addRecord(one, Section.ZONE);
    }
    if (request.getOPT() != null) {
      EDNSOption[] options =
          text.isEmpty()
              ? new EDNSOption[0]
              : new EDNSOption[] {new ExtendedErrorCodeOption(ede, text)};
      answer.addRecord(new OPTRecord(UDP_PAYLOAD, rcode >> 4, 0, 0, options), Section.ADDITIONAL);
    }
    return answer;
  }
}
