package dev.jayturn.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

final class ArchitectureTest {
    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("dev.jayturn.core");

    @Test
    void coreUsesNoNetworkFilesOrThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "io.grpc..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.net.http..",
                        "java.util.concurrent..",
                        "java.time..",
                        "com.fasterxml..")
                .check(CORE);
        noClasses()
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.io.File.class)
                .check(CORE);
    }

    @Test
    void coreReadsNoSystemClock() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(CORE);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("dev.jayturn.core.(*)..").should().beFreeOfCycles().check(CORE);
    }
}
