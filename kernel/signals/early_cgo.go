//go:build cgo && unix

package signals

/*
#include <pthread.h>
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

// setAction sets what a signal does.
static void setAction(int number, void (*handler)(int)) {
	struct sigaction action;

	memset(&action, 0, sizeof action);
	action.sa_handler = handler;
	action.sa_flags = SA_ONSTACK | SA_RESTART;
	sigaction(number, &action, NULL);
}

static void replaceDefault(int number, void (*handler)(int)) {
	struct sigaction action;

	if (sigaction(number, NULL, &action) != 0 || action.sa_handler != SIG_DFL)
		return;
	setAction(number, handler);
}

static void ignoreSignals(void (*set)(int, void (*)(int))) {
	size_t index;

#ifdef SIGRTMIN
	int number;
	for (number = SIGRTMIN; number <= SIGRTMAX; number++)
		set(number, SIG_IGN);
#endif
	for (index = 0; index < sizeof ignoredSignals / sizeof ignoredSignals[0]; index++)
		set(ignoredSignals[index], SIG_IGN);
}

static void endProcess(int number) {
	(void)number;
	_exit(0);
}

// maskTerminations blocks or unblocks SIGTERM and SIGINT in this thread.
static void maskTerminations(int how) {
	sigset_t terminations;

	sigemptyset(&terminations);
	sigaddset(&terminations, SIGTERM);
	sigaddset(&terminations, SIGINT);
	pthread_sigmask(how, &terminations, NULL);
}

// prepareExec makes the signals keep their meaning during an exec. It resets handlers, but
// neither ignored signals nor the mask of the thread.
static void prepareExec(void) {
	ignoreSignals(setAction);
	setAction(SIGTERM, endProcess);
	setAction(SIGINT, endProcess);
	maskTerminations(SIG_BLOCK);
}

#ifdef __GLIBC__
static void setSignals(int count, char **arguments, char **environment) {
	(void)environment;
	if (count > 1 && strcmp(arguments[1], "run") == 0) {
		// The Go runtime replaces the handler by its own one, which calls it as long as
		// the program does not handle the signal.
		replaceDefault(SIGTERM, endProcess);
		replaceDefault(SIGINT, endProcess);
		maskTerminations(SIG_UNBLOCK); // They are blocked after prepareExec.
	}
	ignoreSignals(replaceDefault);
}

// The functions of this section run before the constructors of the shared libraries.
__attribute__((section(".preinit_array"), used))
static void (*const setSignalsEntry)(int, char **, char **) = setSignals;
#else
__attribute__((constructor)) static void setSignals(void) { ignoreSignals(replaceDefault); }
#endif
*/
import "C"

func prepareExec() { C.prepareExec() }
