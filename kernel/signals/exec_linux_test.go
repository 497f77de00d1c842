//go:build cgo

package signals_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"limpethall.dev/kernel/signals"
)

// childVariable makes the test binary run itself in its place, again and again until it is
// asked to end.
const childVariable = "LIMPETHALL_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	fmt.Println("started")
	if err := signals.Exec(ctx, os.Args[0], os.Args, os.Environ()); ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// TestSignalsKeepTheirMeaningDuringExec guards against signals that end a process, or a request
// to end that gets lost, while it runs its program anew.
func TestSignalsKeepTheirMeaningDuringExec(t *testing.T) {
	for round := range 20 {
		child := exec.CommandContext(t.Context(), os.Args[0], "run")
		child.Env = append(os.Environ(), childVariable+"=1")
		child.Stderr = os.Stderr
		output, err := child.StdoutPipe()
		if err != nil {
			t.Fatalf("pipe: %v", err)
		}
		if err := child.Start(); err != nil {
			t.Fatalf("start: %v", err)
		}
		lines := bufio.NewReader(output)
		for range 3 {
			if _, err := lines.ReadString('\n'); err != nil {
				t.Fatalf("round %d: line of a start: got %v, want a process that runs on", round, err)
			}
			for sent := time.Now(); time.Since(sent) < 30*time.Millisecond; {
				for _, harmless := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGIO, 34, 58} {
					_ = child.Process.Signal(harmless) // Fails once the process has ended.
				}
			}
		}
		time.Sleep(time.Duration(round) * 2 * time.Millisecond)
		if err := child.Process.Signal(syscall.SIGTERM); err != nil {
			t.Errorf("round %d: SIGTERM: %v", round, err)
		}
		hung := time.AfterFunc(10*time.Second, func() { _ = child.Process.Kill() })
		_, _ = io.Copy(io.Discard, lines) // Until the process has ended.
		if err := child.Wait(); err != nil {
			t.Errorf("round %d: got %v, want exit code 0 after SIGTERM", round, err)
		}
		hung.Stop()
	}
}
