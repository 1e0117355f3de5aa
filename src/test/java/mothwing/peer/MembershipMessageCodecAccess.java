package mothwing.peer;

import java.io.IOException;
import mothwing.membership.MembershipMessage;

/** Gives tests outside of this package access to the codec of messages between servers. */
public final class MembershipMessageCodecAccess {
  private MembershipMessageCodecAccess() {}

  /** Encodes a message. */
  public static byte[] encode(MembershipMessage message) {
    return MembershipMessageCodec.encode(message);
  }

  /** Decodes a message; an exception has the reason code as its message. */
  public static MembershipMessage decode(byte[] bytes) throws IOException {
    return MembershipMessageCodec.decode(bytes);
  }
}
