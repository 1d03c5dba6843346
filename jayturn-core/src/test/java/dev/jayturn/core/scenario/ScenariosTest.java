package dev.jayturn.core.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios in the features folder. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
@ConfigurationParameter(key = "cucumber.glue", value = "dev.jayturn.core.scenario")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
final class ScenariosTest {}
