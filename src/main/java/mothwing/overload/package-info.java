/**
 * The overload controller of one server, based on QGuard. From the events and samples that the
 * server delivers, it decides which requests are admitted, run, retried and rejected. {@link
 * mothwing.overload.OverloadController} is the only entry point; the thread that delivers the
 * events owns all state. The package reads no clock, opens no file or socket and draws no random
 * number, so the same events lead to the same actions. Every admitted request is answered before it
 * is due, and neither memory nor the number of running requests exceeds its bound. Times and
 * durations are microseconds, core times are microseconds of one core.
 */
package mothwing.overload;
