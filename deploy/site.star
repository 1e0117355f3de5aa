# Our own settings, for installations that offer more than the platform: there no option names this file, and
# nothing in it is on. docs/settings.md says what may stand here; `settings check deploy/site.star` checks it.

ajp(listen = "127.0.0.1:8009")
