// Package stage runs the fleet of a review case on loopback: replicas and entry hosts as separate processes, and stand-ins
// for the platform, the operator, upstreams and callers.
package stage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the deployment, as the users' pages give them for their small sites.
const (
	Heartbeat    = 870 * time.Millisecond
	Drain        = 2 * time.Second
	StableWindow = 3 * time.Second
	Thaw         = 300 * time.Millisecond
	// MemoryMB is the memory of a process, above which the platform kills it.
	MemoryMB = 284
	// RestartDelay is the pause before the platform restarts a process that has ended.
	RestartDelay = 500 * time.Millisecond
)

const (
	replicaCount = 3
	startTimeout = 40 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Host is a machine with one daemon process.
type Host struct {
	Name, Zone, IP string
	replica        bool
	started        bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// Ends counts the ends of the process, Killed those by the platform for too much memory.
	Ends, Killed int
}

// Fleet holds the machines of a case.
type Fleet struct {
	Record       *Record
	Cores        []*Host
	Fronts       []*Host
	dir          string
	root         string
	octet        int
	basePort     int
	runCommand   map[bool][]string
	templateText string
	nextBackend  int
	closeOnce    sync.Once
}

// NewFleet starts three replicas and the given number of entry hosts. The working directory must be the repository root.
func NewFleet(rec *Record, fronts int) (*Fleet, error) {
	f, err := prepareFleet(rec, fronts)
	if err != nil {
		return nil, err
	}
	for _, h := range f.Hosts() {
		if err := f.Start(h); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// prepareFleet is like NewFleet but starts no process.
func prepareFleet(rec *Record, fronts int) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: rec, dir: dir, root: root, runCommand: map[bool][]string{}}
	if err := f.readDeployFile(); err != nil {
		return nil, err
	}
	for i := range replicaCount + fronts {
		h := &Host{replica: i < replicaCount, Zone: zones[i%len(zones)]}
		if h.replica {
			h.Name = fmt.Sprintf("core-%s-%d", h.Zone, i+1)
			f.Cores = append(f.Cores, h)
		} else {
			h.Name = fmt.Sprintf("front-%s-%d", h.Zone, i+1-replicaCount)
			f.Fronts = append(f.Fronts, h)
		}
	}
	f.pickAddresses()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.Close()
		os.Exit(exitNotRun)
	}()
	return f, nil
}

// Hosts returns all machines.
func (f *Fleet) Hosts() []*Host { return append(append([]*Host(nil), f.Cores...), f.Fronts...) }

var (
	runPattern      = regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s+run = "([^"]+)"`)
	templatePattern = regexp.MustCompile(`template = "([^"]+)"`)
)

func (f *Fleet) readDeployFile() error {
	b, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	for _, m := range runPattern.FindAllStringSubmatch(string(b), -1) {
		f.runCommand[m[1] == "replica"] = strings.Fields(m[2])
	}
	m := templatePattern.FindStringSubmatch(string(b))
	if len(f.runCommand) != 2 || m == nil {
		return fmt.Errorf("deploy/system.toml has no roles entry and replica with a template")
	}
	t, err := os.ReadFile(filepath.Join(f.root, m[1]))
	f.templateText = string(t)
	return err
}

// Offsets of the ports from the base port. The replicas use the one after the control port too.
const (
	offsetControl = iota
	_
	offsetOperator
	offsetRegistry
	offsetCaller
	offsetReady
	offsetBackend
	portCount
)

// pickAddresses gives each machine a loopback address and chooses ports that are free on all of them.
func (f *Fleet) pickAddresses() {
	for {
		f.octet, f.basePort = 20+rand.IntN(200), 12000+10*rand.IntN(1800)
		free := true
		for i, h := range f.Hosts() {
			h.IP = fmt.Sprintf("127.%d.0.%d", f.octet, i+1)
			for p := range portCount {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.IP, f.basePort+p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return
		}
	}
}

func (f *Fleet) address(h *Host, offset int) string {
	return fmt.Sprintf("%s:%d", h.IP, f.basePort+offset)
}

// Registry returns the address of a replica for upstreams and operators.
func (f *Fleet) Registry(h *Host) string { return f.address(h, offsetRegistry) }

// Registries returns the registry addresses of all replicas.
func (f *Fleet) Registries() []string {
	var out []string
	for _, h := range f.Cores {
		out = append(out, f.Registry(h))
	}
	return out
}

// Caller returns the address of an entry host for callers.
func (f *Fleet) Caller(h *Host) string { return f.address(h, offsetCaller) }

// CoreAt returns the replica with the registry address.
func (f *Fleet) CoreAt(registry string) *Host {
	for _, h := range f.Cores {
		if f.Registry(h) == registry {
			return h
		}
	}
	return nil
}

// BackendAddress returns an unused address for an upstream or a proxy.
func (f *Fleet) BackendAddress() string {
	f.nextBackend++
	return fmt.Sprintf("127.%d.1.%d:%d", f.octet, f.nextBackend, f.basePort+offsetBackend)
}

// settings fills in the template of the deploy file.
func (f *Fleet) settings(h *Host) string {
	v := map[string]string{
		"NodeName": h.Name, "Zone": h.Zone, "Ip": h.IP,
		"InternalPorts.0": fmt.Sprint(f.basePort + offsetControl), "InternalPorts.1": fmt.Sprint(f.basePort + offsetOperator),
		"Seeds": strings.Join(f.Registries(), ","), "Bootstrap": fmt.Sprint(!h.started), "Heartbeat": Heartbeat.String(),
		"Limits.MemoryMb": fmt.Sprint(MemoryMB), "FaultTolerance.Machines": "1",
		"Bounds.Grace": "6s", "Bounds.MaxHold": "10000ms", "Bounds.Drain": "2000ms", "Bounds.RetryBudgetRatio": "0.2",
		"Bounds.RetrySlack": "64", "Bounds.RetryWindow": "10s",
	}
	if h.replica {
		v["DataDir"] = filepath.Join(f.dir, h.Name)
		v["Listen.Control"] = f.address(h, offsetRegistry)
	} else {
		v["Listen.Front"], v["Listen.Ready"] = f.address(h, offsetCaller), f.address(h, offsetReady)
	}
	return render(f.templateText, v)
}

var placeholder = regexp.MustCompile(`\{\{[^{}]*\}\}`)

// render fills in the placeholders and the sections of a settings template.
func render(text string, values map[string]string) string {
	for {
		start := strings.Index(text, "{{#")
		if start < 0 {
			break
		}
		end := start + strings.Index(text[start:], "}}")
		name := text[start+3 : end]
		closing := "{{/" + name + "}}"
		stop := strings.Index(text, closing)
		body := text[end+2 : stop]
		if values[name] == "" {
			body = ""
		}
		text = text[:start] + body + text[stop+len(closing):]
	}
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[p[2:len(p)-2]] })
}

// Start starts the process of a machine.
func (f *Fleet) Start(h *Host) error {
	name := filepath.Join(f.dir, h.Name+".ini")
	if err := os.WriteFile(name, []byte(f.settings(h)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := f.runCommand[h.replica]
	c := exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = f.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABREACH_CONFIG=" + name}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	h.started, h.process, h.exited = true, c, make(chan struct{})
	exited := h.exited
	go func() {
		_ = c.Wait()
		h.mu.Lock()
		h.Ends++
		h.mu.Unlock()
		close(exited)
	}()
	f.Record.Add("platform: started %s, process %d", h.Name, c.Process.Pid)
	return nil
}

// Signal sends a signal to the process of a machine.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		// An error means that the process has ended.
		_ = h.process.Process.Signal(s)
	}
}

// Pid returns the ID of the process.
func (h *Host) Pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// Exited returns a channel that is closed when the present process has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// StopAndRestart ends the process with SIGTERM, as planned, and starts it again after RestartDelay.
func (f *Fleet) StopAndRestart(h *Host) error {
	f.Record.Add("platform: SIGTERM to %s", h.Name)
	h.Signal(syscall.SIGTERM)
	<-h.Exited()
	f.Record.Add("platform: %s has ended", h.Name)
	time.Sleep(RestartDelay)
	return f.Start(h)
}

// Follower returns a replica that is not the leader.
func (f *Fleet) Follower(leader *Host) *Host {
	for _, core := range f.Cores {
		if core != leader {
			return core
		}
	}
	return nil
}

// Close ends all processes and removes the data.
func (f *Fleet) Close() {
	f.closeOnce.Do(func() {
		for _, h := range f.Hosts() {
			if h.started {
				h.Signal(syscall.SIGCONT)
				h.Signal(syscall.SIGKILL)
				<-h.Exited()
			}
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(f.dir)
		} else {
			fmt.Println("kept", f.dir)
		}
	})
}

// ErrNotReady means that the time to start is over.
var ErrNotReady = errors.New("not ready in time")

// wait polls ready until it returns true or the time to start is over.
func wait(ready func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for !ready() {
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %v", ErrNotReady, startTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
