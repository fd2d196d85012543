package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a machine, as in the example of the platform's pages.
const (
	portFront    = 8548
	portReady    = 8542
	portControl  = 8544
	portInternal = 7540
	lastInternal = 7555
)

// FleetConfig describes a small deployment.
type FleetConfig struct {
	// Root is the root of the repository.
	Root string
	// Cores and Fronts are the numbers of machines of each class. They are spread over three zones.
	Cores, Fronts int
}

// Machine is a machine of the system with one process.
type Machine struct {
	Name, Zone, IP string
	isCore         bool
	dir            string
	started        bool
	process        *exec.Cmd
	exited         chan struct{}
	log            *os.File
}

// FrontAddress returns the address for clients.
func (m *Machine) FrontAddress() string { return fmt.Sprintf("%s:%d", m.IP, portFront) }

// ControlAddress returns the address for backends and the operator.
func (m *Machine) ControlAddress() string { return fmt.Sprintf("%s:%d", m.IP, portControl) }

// Fleet holds the machines of a deployment. Only one goroutine may use it.
type Fleet struct {
	cfg           FleetConfig
	Dir           string
	Cores, Fronts []*Machine
	template      string
	subnet        string
}

// NewFleet creates a temporary folder and picks loopback addresses that are free.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	template, err := os.ReadFile(filepath.Join(cfg.Root, "deploy", "daemon.ini"))
	if err != nil {
		return nil, fmt.Errorf("read settings template: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f := &Fleet{cfg: cfg, Dir: dir, template: string(template)}
	if f.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	for i := range cfg.Cores {
		f.Cores = append(f.Cores, f.machine(fmt.Sprintf("core-%s-1", zoneName(i)), i, 1+i, true))
	}
	for i := range cfg.Fronts {
		f.Fronts = append(f.Fronts, f.machine(fmt.Sprintf("front-%s-%d", zoneName(i), i/3+1), i, 51+i, false))
	}
	return f, nil
}

func (f *Fleet) machine(name string, zone, host int, isCore bool) *Machine {
	return &Machine{
		Name: name, Zone: zoneName(zone), IP: fmt.Sprintf("%s.%d", f.subnet, host), isCore: isCore,
		dir: filepath.Join(f.Dir, name),
	}
}

func zoneName(i int) string { return "si-central-" + string(rune('a'+i%3)) }

// Zone returns the name of a zone.
func Zone(i int) string { return zoneName(i) }

// freeSubnet returns the first three octets of loopback addresses that no process listens on.
func freeSubnet() (string, error) {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, portControl))
		if err != nil {
			continue
		}
		_ = l.Close()
		return subnet, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// BackendAddress returns the n-th address for backends.
func (f *Fleet) BackendAddress(n int) string { return fmt.Sprintf("%s.%d:8080", f.subnet, 101+n) }

// ControlAddresses returns the addresses of all machines that serve control.
func (f *Fleet) ControlAddresses() []string {
	var out []string
	for _, m := range f.Cores {
		out = append(out, m.ControlAddress())
	}
	return out
}

func (f *Fleet) settings(m *Machine) settings {
	s := settings{
		"NodeName": m.Name, "Zone": m.Zone, "Ip": m.IP, "InternalPorts.0": fmt.Sprint(portInternal),
		"InternalPorts.1": fmt.Sprint(lastInternal), "Seeds": strings.Join(f.ControlAddresses(), ","),
		"Bootstrap": fmt.Sprint(!m.started), "Heartbeat": Heartbeat.String(), "Bounds.Grace": "6s",
		"Bounds.MaxHold": "10000ms", "Bounds.RetryBudgetRatio": "0.2", "Bounds.RetrySlack": "64",
		"Bounds.RetryWindow": "10s", "Bounds.Drain": "2000ms", "Limits.MemoryMb": "284", "FaultTolerance.Machines": "1",
	}
	if m.isCore {
		s["DataDir"], s["Listen.Control"] = filepath.Join(m.dir, "data"), m.ControlAddress()
	} else {
		s["Listen.Front"] = m.FrontAddress()
		s["Listen.Ready"] = fmt.Sprintf("%s:%d", m.IP, portReady)
	}
	return s
}

// Start starts the process of a machine with the command of the deploy file.
func (f *Fleet) Start(m *Machine) error {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return fmt.Errorf("create folder of %s: %w", m.Name, err)
	}
	text, err := f.settings(m).render(f.template)
	if err != nil {
		return fmt.Errorf("render settings of %s: %w", m.Name, err)
	}
	file := filepath.Join(m.dir, "node.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", m.Name, err)
	}
	if m.log, err = os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return fmt.Errorf("open log of %s: %w", m.Name, err)
	}
	m.started = true
	p := exec.Command("target/baobabreach", "gateway")
	p.Dir, p.Stdout, p.Stderr = f.cfg.Root, m.log, m.log
	p.Env = append(os.Environ(), "BAOBABREACH_CONFIG="+file)
	// A process that outlives the test would keep its ports.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.Name, err)
	}
	exited := make(chan struct{})
	m.process, m.exited = p, exited
	go func() {
		// The exit status of a killed process is of no interest.
		_ = p.Wait()
		close(exited)
	}()
	return nil
}

// StartAll starts all machines.
func (f *Fleet) StartAll() error {
	for _, m := range append(append([]*Machine{}, f.Cores...), f.Fronts...) {
		if err := f.Start(m); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to the process of a machine.
func (m *Machine) Signal(s syscall.Signal) {
	if m.process != nil {
		// An error means that the process has ended.
		_ = m.process.Process.Signal(s)
	}
}

// Kill ends the process of a machine and waits for it.
func (m *Machine) Kill() {
	if m.process == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-m.exited
	_ = m.log.Close()
	m.process = nil
}

// Ready reports whether a front answers the readiness check of the platform with 200.
func (m *Machine) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		fmt.Sprintf("http://%s:%d/baobabreach/readiness", m.IP, portReady), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all fronts are ready.
func (f *Fleet) AwaitReady(d time.Duration) error {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.Fronts {
			if m.Ready() {
				ready++
			}
		}
		if ready == len(f.Fronts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d fronts are ready after %v", ready, len(f.Fronts), d)
		}
	}
}

// Close kills all processes and removes the folder, unless KEEP is set in the environment.
func (f *Fleet) Close() {
	for _, m := range append(append([]*Machine{}, f.Cores...), f.Fronts...) {
		m.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	} else {
		fmt.Println("kept", f.Dir)
	}
}
