package footprint_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	_ "limpethall.dev/kernel/footprint"
)

// kilobytes returns the value of a field of the status of this process, such as VmSize, its
// address space, or VmData, the part of it that can be written and is not shared.
func kilobytes(t *testing.T, field string) int {
	t.Helper()
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, field+":"); found {
			size := 0
			if _, err := fmt.Sscan(value, &size); err != nil {
				t.Fatalf("%s %q: %v", field, value, err)
			}
			return size
		}
	}
	t.Fatalf("%s: got none in the status of the process", field)
	return 0
}

// TestThreadsNeedLittleAddressSpace guards against a process that can't start its threads
// under a limit of the address space or of the data, because each of them reserves over 70 MB
// of the one and over 8 MB of the other.
func TestThreadsNeedLittleAddressSpace(t *testing.T) {
	const threads = 40
	limits := map[string]int{"VmSize": 4 << 10, "VmData": 800}
	before := make(map[string]int)
	for field := range limits {
		before[field] = kilobytes(t, field)
	}
	var started, finished sync.WaitGroup
	end := make(chan struct{})
	started.Add(threads)
	for range threads {
		finished.Go(func() {
			runtime.LockOSThread() // The goroutine has the thread for itself until it ends.
			started.Done()
			<-end
		})
	}
	started.Wait()
	for field, want := range limits {
		if got := (kilobytes(t, field) - before[field]) / threads; got > want {
			t.Errorf("%s for each thread: got %d kB, want at most %d kB", field, got, want)
		}
	}
	close(end)
	finished.Wait()
}
