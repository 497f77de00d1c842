//go:build cgo && linux

package footprint

/*
#define _GNU_SOURCE
#include <features.h>

#ifdef __GLIBC__
#include <malloc.h>
#include <pthread.h>

// Runs before the Go runtime starts its threads. If a call fails, its default stays.
__attribute__((constructor)) static void reduceFootprint(void) {
	pthread_attr_t attributes;

	mallopt(M_ARENA_MAX, 1);
	if (pthread_attr_init(&attributes) != 0)
		return;
	if (pthread_attr_setstacksize(&attributes, 256 << 10) == 0)
		pthread_setattr_default_np(&attributes);
	pthread_attr_destroy(&attributes);
}
#endif
*/
import "C"
