package mothwing.broker;

/**
 * Whether operators have taken the server out of rotation. The state belongs to the server, which
 * may consist of two processes during an upgrade.
 */
public interface Rotation {
  /**
   * Returns whether the server is out of rotation.
   *
   * @return true from the time that it was taken out until it is put back
   */
  boolean isOutOfRotation();

  /**
   * Takes the server out of rotation or puts it back.
   *
   * @param outOfRotation whether it is to be out of rotation
   */
  void setOutOfRotation(boolean outOfRotation);
}
