/**
 * The overload controller of one server, after QGuard: it decides which requests are admitted, run,
 * retried and rejected, from the events and samples that the server delivers. {@link
 * mothwing.overload.OverloadController} is its only entry; the thread that delivers the events owns
 * all of its state. The package reads no clock, opens no file or socket and draws no random number,
 * so that the same events lead to the same actions; every admitted request is answered before it is
 * due, and neither memory nor the number of running requests exceeds its bound. Times and durations
 * are microseconds, core times are microseconds of one core.
 */
package mothwing.overload;
