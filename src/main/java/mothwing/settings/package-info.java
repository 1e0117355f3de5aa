/**
 * The settings: those of the controller, as a JSON object, and those of the installation, as a
 * script.
 *
 * <p>{@link mothwing.settings.SettingsCodec} and {@link mothwing.settings.SiteScript} are the only
 * classes that know the settings' keys. What they return is immutable and may be shared between
 * threads; nothing here keeps state after a read.
 */
package mothwing.settings;
