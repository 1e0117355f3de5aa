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
 * The layers of the house: each package depends only on those below it, and what decides does no
 * I/O.
 */
class LayersTest {
  /** From the top down; what stands together stands in one layer. */
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

  /** Pure: events and the clock go in, actions come out. */
  private static final String[] PURE = {
    "mothwing.broker..",
    "mothwing.dns.zone..",
    "mothwing.membership..",
    "mothwing.override..",
    "mothwing.overload..",
    "mothwing.control.."
  };

  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("mothwing");

  private static String[] named(int layer) {
    return LAYERS.get(layer).stream().map(one -> "mothwing." + one + "..").toArray(String[]::new);
  }

  @Test
  void dependenciesPointDown() {
    for (int low = 1; low < LAYERS.size(); low++) {
      for (int high = 0; high < low; high++) {
        noClasses()
            .that()
            .resideInAnyPackage(named(low))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(named(high))
            .allowEmptyShould(true)
            .check(ALL);
      }
    }
    slices().matching("mothwing.(*)..").should().beFreeOfCycles().check(ALL);
  }

  @Test
  void everyPackageHasItsLayer() {
    DescribedPredicate<JavaClass> placed =
        DescribedPredicate.describe(
            "in a layer",
            one ->
                one.getPackageName().equals("mothwing")
                    || LAYERS.stream()
                        .flatMap(List::stream)
                        .anyMatch(name -> one.getPackageName().startsWith("mothwing." + name)));
    noClasses()
        .that(DescribedPredicate.not(placed))
        .should()
        .resideInAPackage("mothwing..")
        .allowEmptyShould(true)
        .check(ALL);
  }

  @Test
  void whatDecidesDoesNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(PURE)
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
        .check(ALL);
  }
}
