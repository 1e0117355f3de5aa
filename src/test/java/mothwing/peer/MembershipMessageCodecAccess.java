package mothwing.peer;

import java.io.IOException;
import mothwing.membership.MembershipMessage;

/** Lets tests outside of this package use the encoding of messages between servers. */
public final class MembershipMessageCodecAccess {
  private MembershipMessageCodecAccess() {}

  /** The bytes of a message. */
  public static byte[] encode(MembershipMessage message) {
    return MembershipMessageCodec.encode(message);
  }

  /** The message of some bytes; what is thrown has the reason's code as its message. */
  public static MembershipMessage decode(byte[] bytes) throws IOException {
    return MembershipMessageCodec.decode(bytes);
  }
}
