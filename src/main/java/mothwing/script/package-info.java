/**
 * The language of the settings scripts: lexer, parser, evaluator and the limits on steps, depth and
 * size that keep a script from harming the process that reads it. It knows nothing of what a script
 * configures.
 */
package mothwing.script;
