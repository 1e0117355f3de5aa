package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import mothwing.settings.Secret;
import mothwing.settings.Site;
import mothwing.settings.SiteScript;

/** Says what is wrong with a settings script, or what it asks for. */
final class SettingsCheck {
  private SettingsCheck() {}

  static int run(Path file, PrintStream out) throws IOException {
    Site site = SiteScript.read(file);
    out.println(
        "good: ajp "
            + (site.ajp() == null ? "off" : "on " + site.ajp())
            + ", fleet "
            + (site.fleet() == null ? "off" : site.fleet().name() + " on " + site.fleet().listen())
            + ", dns "
            + (site.dns() == null ? "off" : "on " + site.dns().listen()));
    if (site.dns() != null) {
      for (Site.Key key : site.dns().keys()) {
        out.println(
            "key "
                + key.name()
                + " "
                + key.algorithm()
                + " of "
                + Secret.read(key).length
                + " bytes");
      }
      for (Site.Zone zone : site.dns().zones()) {
        out.println("zone " + zone.name() + " with " + zone.rights().size() + " rights to update");
      }
    }
    return 0;
  }
}
