package mothwing;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the layered architecture: each package depends only on packages in lower layers, and the
 * packages that make decisions do no I/O.
 */
class LayersTest {
  /** The layers from the top down, each with its packages. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of("cli"),
          List.of("trial"),
          List.of("server", "adapter"),
          List.of(
              "fastcgi", "ajp", "dns.server", "pool", "discovery", "dependency", "admin", "peer"),
          List.of("net"),
          List.of("membership"),
          List.of("broker", "dns.zone", "override", "overload"),
          List.of("store"),
          List.of("settings"),
          List.of("control"),
          List.of("script"));

  /** Packages without I/O: their input is events and the time, their output is actions. */
  private static final String[] DECISION_PACKAGES = {
    "mothwing.broker..",
    "mothwing.dns.zone..",
    "mothwing.membership..",
    "mothwing.override..",
    "mothwing.overload..",
    "mothwing.control.."
  };

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("mothwing");

  private static String[] packagesOf(int layer) {
    return LAYERS.get(layer).stream().map(name -> "mothwing." + name + "..").toArray(String[]::new);
  }

  @Test
  void packagesDependOnlyOnLowerLayers() {
    for (int lower = 1; lower < LAYERS.size(); lower++) {
      for (int upper = 0; upper < lower; upper++) {
        noClasses()
            .that()
            .resideInAnyPackage(packagesOf(lower))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(packagesOf(upper))
            .allowEmptyShould(true)
            .check(CLASSES);
      }
    }
    slices().matching("mothwing.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void everyPackageBelongsToALayer() {
    DescribedPredicate<JavaClass> inLayer =
        DescribedPredicate.describe(
            "in a layer",
            javaClass ->
                javaClass.getPackageName().equals("mothwing")
                    || LAYERS.stream()
                        .flatMap(List::stream)
                        .anyMatch(
                            name -> javaClass.getPackageName().startsWith("mothwing." + name)));
    noClasses()
        .that(DescribedPredicate.not(inLayer))
        .should()
        .resideInAPackage("mothwing..")
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  @Test
  void decisionPackagesDoNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISION_PACKAGES)
        .and()
        .doNotHaveSimpleName("Main")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..",
            "io.netty..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Math.class, "random")
        .check(CLASSES);
  }
}
