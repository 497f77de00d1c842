package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/platform/standin"
)

const (
	routeHost = "desk.example"
	apiKey    = "3fexd9dnn2ctnfzs989a"
	tenant    = "workshop"
	// The ports of a machine. Each machine has a loopback address of its own.
	controlPort, frontPort, readyPort   = 8367, 8368, 8369
	firstInternalPort, lastInternalPort = 7780, 7795
	// heartbeat is the interval at which engines write their entries.
	heartbeat = 1200 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// site is a small deployment: halls and keepers as processes, the store and engines as
// stand-ins of this process.
type site struct {
	record  *record
	dir     string
	network string // The first three numbers of all addresses.
	lastIP  int
	memory  *memory.Store
	store   *standin.Store
	halls   []*machine
	keepers []*machine
	cancel  context.CancelFunc
	ctx     context.Context
	storeAt string
}

// machine runs one process.
type machine struct {
	name, program, settings, ip string
	memoryMb                    int
	command                     *exec.Cmd
	ended                       chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// newSite picks an unused loopback network and starts the store.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, memory: memory.New(time.Now)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for attempt := range 200 {
		number := os.Getpid() + attempt*7
		s.network = fmt.Sprintf("127.%d.%d", 20+number/250%200, 1+number%250)
		if s.isFree() {
			break
		}
		if attempt == 199 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
	}
	s.store = standin.NewStore(s.memory)
	address, err := s.listen(s.store)
	s.storeAt = address
	go func() {
		for s.ctx.Err() == nil {
			s.memory.ExpireLeases()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return s, err
}

// isFree reports whether the ports of the machines are free.
func (s *site) isFree() bool {
	for last := 1; last <= 16; last++ {
		for _, port := range []int{controlPort, frontPort, readyPort, firstInternalPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.network, last, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (s *site) nextIP() string {
	s.lastIP++
	return fmt.Sprintf("%s.%d", s.network, s.lastIP)
}

// listen serves a stand-in at an address of its own.
func (s *site) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", s.nextIP()+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *site) put(key string, document any) error { return s.store.Put(s.ctx, key, document) }

// register writes the entry of an engine every heartbeat.
func (s *site) register(e *engine) {
	write := func(number int) {
		document := map[string]any{
			"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": "ready",
			"ColdRemainingMs": 0, "Seq": number, "born": e.born,
		}
		if err := s.put("servers/"+e.id, document); err != nil {
			s.record.printf("cannot write the entry of %s: %v", e.id, err)
		}
	}
	write(1)
	go func() {
		for number := 2; s.ctx.Err() == nil; number++ {
			time.Sleep(heartbeat)
			write(number)
		}
	}()
}

// start starts the halls and keepers, and waits until all halls are ready.
func (s *site) start(hallCount, keeperCount int) error {
	for index := range hallCount {
		s.halls = append(s.halls, &machine{name: fmt.Sprintf("front-%s-1", zones[index%len(zones)]), program: "target/hall", ip: s.nextIP()})
	}
	for index := range keeperCount {
		s.keepers = append(s.keepers, &machine{name: fmt.Sprintf("store-%s-1", zones[index%len(zones)]), program: "target/keeper", ip: s.nextIP()})
	}
	for index, m := range s.keepers {
		if err := s.launch(m, zones[index%len(zones)], true); err != nil {
			return err
		}
	}
	for index, m := range s.halls {
		if err := s.launch(m, zones[index%len(zones)], true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range s.halls {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 20 s", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(readyPort) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// launch writes the settings of a machine and starts its process.
func (s *site) launch(m *machine, zone string, bootstrap bool) error {
	var seeds []string
	for _, hall := range s.halls[:min(3, len(s.halls))] {
		seeds = append(seeds, fmt.Sprintf("%q", hall.address(controlPort)))
	}
	var text strings.Builder
	isHall := m.program == "target/hall"
	m.memoryMb = 154
	if isHall {
		m.memoryMb = 134
	}
	class, serves, disk, cpu := "store", `"store"`, 440, 0.8
	if isHall {
		class, serves, disk, cpu = "front", `"front","control"`, 0, 0.304
	}
	fmt.Fprintf(&text, "Node = %q\nRole = %q\nMachineClass = %q\nServes = [%s]\nIp = %q\nZone = %q\nRegion = \"region\"\nInternalPorts = [%d,%d]\nSeeds = [%s]\nBootstrap = %t\nFaultCounted = %t\n",
		m.name, filepath.Base(m.program), class, serves, m.ip, zone, firstInternalPort, lastInternalPort, strings.Join(seeds, ","), bootstrap, !isHall)
	if !isHall {
		fmt.Fprintf(&text, "DataDir = %q\n", filepath.Join(s.dir, "data-"+m.name))
	}
	text.WriteString("Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"tenants\",\"quota\",\"places\",\"platform\"]\n[Zones]\n")
	for _, name := range zones {
		fmt.Fprintf(&text, "%s = \"region\"\n", name)
	}
	text.WriteString("[Listen]\n")
	if isHall {
		fmt.Fprintf(&text, "Front = %q\nReady = %q\nControl = %q\n", m.address(frontPort), m.address(readyPort), m.address(controlPort))
	}
	fmt.Fprintf(&text, "[Limits]\nCpuShare = %g\nCores = 1\nMemoryMb = %d\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = %d\n", cpu, m.memoryMb, disk)
	text.WriteString(`[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4.6
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
StrictRevoke = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaOver = 0.1
QuotaSlack = 20
ColdOver = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
DeadlineS = 10
SettleMs = 1000
`)
	fmt.Fprintf(&text, "[Platform]\nAddress = %q\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n", s.storeAt)
	m.settings = filepath.Join(s.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(text.String()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(m.program, "run")
	// The machines of the deployment have one core.
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LIMPETHALL_CONFIG=" + m.settings, "GOMAXPROCS=1"}
	m.command.Stdout, m.command.Stderr = output, output
	// A process must not outlive this one.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.ended = ended
	command := m.command
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// kill ends the process of a machine with SIGKILL.
func (m *machine) kill() {
	_ = m.command.Process.Kill()
	<-m.ended
}

// stop ends all processes, each by its ID, and removes the temporary folder.
func (s *site) stop() {
	s.cancel()
	var group sync.WaitGroup
	for _, m := range append(append([]*machine{}, s.halls...), s.keepers...) {
		if m.command != nil && m.command.Process != nil && m.ended != nil {
			group.Go(m.kill)
		}
	}
	group.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}
