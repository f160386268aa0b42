package signals

// Ignores SIGHUP from the program's constructors on: the Go runtime leaves an ignored SIGHUP ignored
// until it is asked to be notified of it. The settings are read after that.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
