//go:build cgo && unix

package signals

/*
#include <signal.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

// SIGHUP is the last one: where it is ignored, the others are set.
static const int ignoredSignals[] = {
	SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM, SIGVTALRM, SIGPROF, SIGXCPU, SIGXFSZ, SIGIO,
#ifdef SIGSTKFLT
	SIGSTKFLT,
#endif
#ifdef SIGPWR
	SIGPWR,
#endif
	SIGHUP,
};

static void replaceDefault(int number, void (*handler)(int)) {
	struct sigaction action;

	if (sigaction(number, NULL, &action) != 0 || action.sa_handler != SIG_DFL)
		return;
	memset(&action, 0, sizeof action);
	action.sa_handler = handler;
	action.sa_flags = SA_ONSTACK | SA_RESTART;
	sigaction(number, &action, NULL);
}

static void ignoreSignals(void) {
	size_t index;

#ifdef SIGRTMIN
	int number;
	for (number = SIGRTMIN; number <= SIGRTMAX; number++)
		replaceDefault(number, SIG_IGN);
#endif
	for (index = 0; index < sizeof ignoredSignals / sizeof ignoredSignals[0]; index++)
		replaceDefault(ignoredSignals[index], SIG_IGN);
}

#ifdef __GLIBC__
static void endProcess(int number) {
	(void)number;
	_exit(0);
}

static void setSignals(int count, char **arguments, char **environment) {
	(void)environment;
	if (count > 1 && strcmp(arguments[1], "run") == 0) {
		// The Go runtime replaces the handler by its own one, which calls it as long as
		// the program does not handle the signal.
		replaceDefault(SIGTERM, endProcess);
		replaceDefault(SIGINT, endProcess);
	}
	ignoreSignals();
}

// The functions of this section run before the constructors of the shared libraries.
__attribute__((section(".preinit_array"), used))
static void (*const setSignalsEntry)(int, char **, char **) = setSignals;
#else
__attribute__((constructor)) static void setSignals(void) { ignoreSignals(); }
#endif
*/
import "C"
