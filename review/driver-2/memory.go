package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// residentKilobytes returns a line of the status of a process, such as VmRSS, zero once it has
// ended.
func residentKilobytes(pid int, name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			kilobytes := int64(0)
			_, _ = fmt.Sscan(value, &kilobytes)
			return kilobytes
		}
	}
	return 0
}

// randomText returns text that a disk can't compress much.
func randomText(length int) string {
	random := rand.New(rand.NewPCG(48, uint64(length)))
	text := make([]byte, length)
	for index := range text {
		text[index] = byte('!' + random.IntN(94))
	}
	return string(text)
}

// largeBodies plays programs that begin and go on at once, some of them with bodies as
// long as the configuration allows. As the platform does, it kills a process that uses more
// memory than its settings state, and starts it again.
func largeBodies(s *site, trouble bool) ([]string, error) {
	const (
		length        = 55 * time.Second
		smallPrograms = 30
		turns         = 11
		largePrograms = 24
		largeBytes    = 4_000_000
		largeTurns    = 3
		// largestDisk is what keepers may hold when a program with large bodies begins. The disks
		// of the site have 440 MB; turns are kept for 5 s, so that this suffices.
		largestDisk = 150_000_000
	)
	if err := configure(s, []any{route("/walk/", "stream", "agent-models", map[string]any{"TimeoutMs": 4000, "MaxAttempts": 2, "Retained": true, "RetentionS": 5.0, "Resumable": false, "Sticky": true, "GapAimMs": 400})},
		[]any{service("agent-models", 32, true)}); err != nil {
		return nil, err
	}
	for index := range 4 {
		e, err := newEngine(s, fmt.Sprintf("i-7f3a91c%d", index), "agent-models", zones[index], 32, 96)
		if err != nil {
			return nil, err
		}
		e.work, e.events, e.forget = 20*time.Millisecond, 4, true
		s.register(e)
	}
	if err := s.start(4, 4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	s.record.printf("%d programs with bodies of 17 kB begin; with bodies of 4 MB: %d", smallPrograms, map[bool]int{true: largePrograms}[trouble])
	end := time.Now().Add(length)
	var statuses [600]atomic.Int64
	var clients sync.WaitGroup
	program := func(number int, body string, turns int) {
		clients.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				for len(body) == largeBytes && s.isDiskUsed(largestDisk) && time.Now().Before(end) {
					time.Sleep(100 * time.Millisecond)
				}
				playProgram(s, number, round, body, turns, end, &statuses)
			}
		})
	}
	small, large := randomText(17_000), randomText(largeBytes)
	for number := range smallPrograms {
		program(number, small, turns)
	}
	if trouble {
		for number := range largePrograms {
			program(number, large, largeTurns)
		}
	}
	ends := make(map[string]int)
	var mutex sync.Mutex
	var watchers sync.WaitGroup
	for index, m := range append(append([]*machine{}, s.halls...), s.keepers...) {
		watchers.Go(func() {
			count := s.enforceMemory(m, zones[index%len(zones)], end)
			mutex.Lock()
			defer mutex.Unlock()
			ends[m.name] = count
		})
	}
	clients.Wait()
	watchers.Wait()
	for status := range statuses {
		if count := statuses[status].Load(); count > 0 {
			s.record.printf("answers with status %d: %d", status, count)
		}
	}
	for _, m := range s.keepers {
		s.record.printf("%s: its disk holds %d kB", m.name, s.diskBytes(m)>>10)
	}
	often := 0
	for name, count := range ends {
		s.record.printf("%s: its process was ended %d times for its memory", name, count)
		if count >= 3 {
			often++
		}
	}
	if often >= 2 {
		return []string{fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves three times or more, as they used more than their memory", often, len(ends))}, nil
	}
	return nil, nil
}

// playProgram plays one program, whose turns continue each other.
func playProgram(s *site, number, round int, body string, turns int, end time.Time, statuses *[600]atomic.Int64) {
	headers := map[string]string{"X-Program-Id": fmt.Sprintf("p-%d-%d-%d", len(body), number, round), "X-Program-Deadline-Ms": "20000", "X-Token-Budget": "460800", "X-Token-Usage": "1840,576"}
	for turn := 0; turn < turns && time.Now().Before(end); {
		got := send(s.halls[(number+turn)%len(s.halls)].address(frontPort), attempt{method: http.MethodPost, target: "/walk/turn", body: body, headers: headers, deadline: 4 * time.Second})
		statuses[got.status].Add(1)
		if got.status == http.StatusOK && got.complete {
			headers["X-Previous-Turn"] = got.id
			turn++
			time.Sleep(toolPause)
			continue
		}
		if got.status == http.StatusNotFound {
			s.record.printf("turn %s that goes on from %s: %s", got.id, headers["X-Previous-Turn"], got)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// diskBytes returns what the keeper of a machine has stored.
func (s *site) diskBytes(m *machine) int64 {
	size := int64(0)
	_ = filepath.WalkDir(filepath.Join(s.dir, "data-"+m.name), func(_ string, entry os.DirEntry, err error) error {
		if err != nil {
			return nil // Files come and go.
		}
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			size += info.Size()
		}
		return nil
	})
	return size
}

// isDiskUsed reports whether a keeper has stored as many bytes.
func (s *site) isDiskUsed(bytes int64) bool {
	for _, m := range s.keepers {
		if s.diskBytes(m) >= bytes {
			return true
		}
	}
	return false
}

const (
	// toolPause is the time between two turns of a program.
	toolPause = 100 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// kilobytesPerMb is the larger reading of the unit of MemoryMb.
	kilobytesPerMb = 1024
)

// enforceMemory kills the process of a machine, and starts it again, when its resident memory
// exceeds MemoryMb. It returns how often it did.
func (s *site) enforceMemory(m *machine, zone string, end time.Time) (ends int) {
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		pid := m.command.Process.Pid
		resident, anonymous := residentKilobytes(pid, "VmRSS"), residentKilobytes(pid, "RssAnon")
		if resident <= int64(m.memoryMb)*kilobytesPerMb {
			continue
		}
		ends++
		s.record.printf("%s uses %d kB, %d kB of it not of files, of %d MB; its disk holds %d kB; it is killed", m.name, resident, anonymous, m.memoryMb, s.diskBytes(m)>>10)
		m.kill()
		time.Sleep(restartDelay)
		if err := s.launch(m, zone, false); err != nil {
			s.record.printf("%s does not start: %v", m.name, err)
			return ends
		}
	}
	return ends
}
