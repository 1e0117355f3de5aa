/**
 * Settings: those of the overload controller, read from a JSON object, and those of the
 * installation, read from a script.
 *
 * <p>{@link mothwing.settings.SettingsCodec} and {@link mothwing.settings.SiteScript} are the only
 * classes that know the keys of the settings. Their results are immutable and may be shared between
 * threads; no class keeps state after a read.
 */
package mothwing.settings;
