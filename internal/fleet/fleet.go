// Package fleet runs daemon processes and stand-in upstreams on loopback for the demo, the load generator and the
// scenario tests. The daemon itself never starts a process.
package fleet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"baobabreach/internal/errs"
	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

// Service describes a service and its stand-in upstreams.
type Service struct {
	Name       string
	Keyed      bool
	Idempotent bool
	// Class is short or long.
	Class  string
	Ranges int
	// Deadline is the default deadline of a request; 0 means 2 s.
	Deadline time.Duration
	// Upstreams is the number of stand-ins, distributed over the data centres round-robin.
	Upstreams   int
	Slots       int
	ServiceTime time.Duration
	// Flags are additional command-line arguments of every stand-in.
	Flags []string
}

// Config configures a fleet.
type Config struct {
	// Binaries is the directory that contains the baobabreach and standin executables.
	Binaries string
	// DataCentres are the names of the data centres. The first host of each runs a replica. Their number must be odd.
	DataCentres []string
	// HostsPerCentre is the number of daemons in each data centre; at least 1.
	HostsPerCentre int
	Services       []Service
	// Limits are the tenant rate limits written to the settings.
	Limits []model.Limit
	// Policy is the admission policy written to the settings; if it is empty, the daemon uses its default.
	Policy string
	// OperatorToken is the access token of the operator addresses; if it is empty, they accept every client.
	OperatorToken string
	// BalancerDelay is how long a stopping daemon reports that it is not ready before it refuses requests.
	BalancerDelay time.Duration
}

// Host is a daemon of the fleet.
type Host struct {
	Name           string
	DataCentre     string
	CallerAddress  string
	ControlAddress string
	// OperatorAddress is the operator address. It requires Config.OperatorToken if that is set.
	OperatorAddress string
}

// Upstream is a stand-in upstream of the fleet.
type Upstream struct {
	Name       string
	DataCentre string
	Service    string
	Address    string
}

// Fleet is a running fleet. It is safe for concurrent use.
type Fleet struct {
	// Hosts is read-only after Start. Only StartDuplicate modifies Upstreams; it must not run concurrently with any
	// other method.
	Hosts     []Host
	Upstreams []Upstream

	cfg    Config
	dir    string
	ports  *portBlock
	client *http.Client

	mu        sync.Mutex
	processes map[string]*process
}

// Start starts every process and waits until the fleet is ready. If it fails, it kills the started processes and
// removes the directory of the fleet.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "baobabreach-fleet-")
	if err != nil {
		return nil, errors.Wrap(err, "create fleet directory")
	}
	f := &Fleet{
		cfg: cfg, dir: dir, processes: map[string]*process{},
		client: &http.Client{Timeout: queryTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Wrap(err, f.closeWithLogs())
	}
	return f, nil
}

// queryTimeout limits each request that the fleet itself sends to one of its processes.
const queryTimeout = 2 * time.Second

func (f *Fleet) start(ctx context.Context) error {
	portCount := len(f.cfg.DataCentres) * f.cfg.HostsPerCentre * portsPerHost
	for _, s := range f.cfg.Services {
		portCount += s.Upstreams
	}
	portCount += sparePorts
	ports, err := claimPortBlock(portCount)
	if err != nil {
		return err
	}
	f.ports = ports
	f.assignAddresses()
	for i := range f.Hosts {
		if err := f.writeSettings(i); err != nil {
			return err
		}
		if err := f.Restart(f.Hosts[i].Name); err != nil {
			return err
		}
	}
	for _, u := range f.Upstreams {
		if err := f.Restart(u.Name); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// assignAddresses assigns a data centre and loopback addresses to every process.
func (f *Fleet) assignAddresses() {
	for _, c := range f.cfg.DataCentres {
		for i := range f.cfg.HostsPerCentre {
			f.Hosts = append(f.Hosts, Host{
				Name: fmt.Sprintf("%s%d", c, i+1), DataCentre: c, CallerAddress: f.ports.next(), ControlAddress: f.ports.next(),
				OperatorAddress: f.ports.next(),
			})
		}
	}
	for _, s := range f.cfg.Services {
		for i := range s.Upstreams {
			c := f.cfg.DataCentres[i%len(f.cfg.DataCentres)]
			f.Upstreams = append(f.Upstreams, Upstream{
				Name: fmt.Sprintf("%s-%s%d", s.Name, c, i/len(f.cfg.DataCentres)+1), DataCentre: c, Service: s.Name,
				Address: f.ports.next(),
			})
		}
	}
}

// Restart starts a process that is not running.
func (f *Fleet) Restart(name string) error {
	program, args, err := f.commandLine(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil && !p.exited() {
		return errors.Errorf("%s is already running", name)
	}
	p, err := startProcess(filepath.Join(f.cfg.Binaries, program), args, filepath.Join(f.dir, name+".log"))
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	f.processes[name] = p
	return nil
}

func (f *Fleet) commandLine(name string) (string, []string, error) {
	if slices.ContainsFunc(f.Hosts, func(h Host) bool { return h.Name == name }) {
		return "baobabreach", []string{"serve", f.settingsFile(name)}, nil
	}
	i := slices.IndexFunc(f.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return "", nil, errors.Errorf("no process is named %s", name)
	}
	u := f.Upstreams[i]
	s := f.service(u.Service)
	args := []string{
		"--name", strings.TrimSuffix(u.Name, duplicateSuffix), "--listen", u.Address, "--data-centre", u.DataCentre,
		"--service", u.Service, "--slots", fmt.Sprint(s.Slots), "--service-time", s.ServiceTime.String(),
		"--record", f.recordFile(name),
	}
	if s.Keyed {
		args = append(args, "--keyed")
	}
	for _, a := range f.controlAddresses(u.DataCentre) {
		args = append(args, "--entry", a)
	}
	return "standin", append(args, s.Flags...), nil
}

// duplicateSuffix is appended to the process name of an upstream that announces the name of another one.
const duplicateSuffix = "-twin"

// StartDuplicate starts a second process that announces the name of the given upstream from its own address, and
// returns the name of the process.
func (f *Fleet) StartDuplicate(name string) (string, error) {
	i := slices.IndexFunc(f.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return "", errors.Errorf("no upstream is named %s", name)
	}
	u := f.Upstreams[i]
	u.Name, u.Address = name+duplicateSuffix, f.ports.next()
	f.Upstreams = append(f.Upstreams, u)
	return u.Name, f.Restart(u.Name)
}

// KillAndWipe simulates the loss of a disk: it kills a host that has a replica and empties its data directory.
func (f *Fleet) KillAndWipe(host string) error {
	if err := f.Kill(host); err != nil {
		return err
	}
	return f.Wipe(host)
}

// controlAddresses returns the control addresses of all hosts, those in the given data centre first.
func (f *Fleet) controlAddresses(dataCentre string) []string {
	var local, remote []string
	for _, h := range f.Hosts {
		if h.DataCentre == dataCentre {
			local = append(local, h.ControlAddress)
			continue
		}
		remote = append(remote, h.ControlAddress)
	}
	return append(local, remote...)
}

func (f *Fleet) service(name string) Service {
	i := slices.IndexFunc(f.cfg.Services, func(s Service) bool { return s.Name == name })
	return f.cfg.Services[i]
}

// Close kills every process, waits until all have exited and removes the directory of the fleet.
func (f *Fleet) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.kill()
	}
	for _, p := range f.processes {
		<-p.done
	}
	if f.ports != nil {
		f.ports.release()
	}
	f.client.CloseIdleConnections()
	return errs.Wrap(os.RemoveAll(f.dir), "remove fleet directory")
}

// closeWithLogs closes the fleet and returns the log tails of the processes that had already exited by themselves.
func (f *Fleet) closeWithLogs() string {
	f.mu.Lock()
	message := "start fleet"
	for _, name := range slices.Sorted(maps.Keys(f.processes)) {
		if f.processes[name].exited() {
			message += fmt.Sprintf("; %s exited: %s", name, logTail(filepath.Join(f.dir, name+".log")))
		}
	}
	f.mu.Unlock()
	_ = f.Close()
	return message
}

// CopyLogs copies the logs of all processes to a new temporary directory, which the caller removes.
func (f *Fleet) CopyLogs() (string, error) {
	names, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		return "", errors.Wrap(err, "list logs")
	}
	to, err := os.MkdirTemp("", "fleet-logs")
	if err != nil {
		return "", errors.Wrap(err, "create directory for logs")
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return to, errors.Wrap(err, "read log")
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(name)), b, 0o600); err != nil {
			return to, errors.Wrap(err, "copy log")
		}
	}
	return to, nil
}

func logTail(name string) string {
	const maxBytes = 400
	b, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxBytes):])
}

// Ports of a fleet. A fleet claims a block of ports by listening on its first port until it is closed, so that fleets
// of several processes on one machine never share a block. The range is below the kernel's ephemeral ports.
const (
	firstPort = 20000
	lastPort  = 24999
	// portsPerBlock is enough for 48 daemons and a few stand-ins.
	portsPerBlock = 200
	// sparePorts are reserved for StartDuplicate.
	sparePorts   = 2
	portsPerHost = 3
)

type portBlock struct {
	lock     net.Listener
	lastUsed int
	maxPort  int
}

func claimPortBlock(n int) (*portBlock, error) {
	if n >= portsPerBlock {
		return nil, errors.Errorf("the fleet needs %d ports, but a block has %d", n, portsPerBlock-1)
	}
	count := (lastPort - firstPort + 1) / portsPerBlock
	for i := range count {
		first := firstPort + (os.Getpid()+i)%count*portsPerBlock
		l, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue
		}
		if portsFree(first+1, n) {
			return &portBlock{lock: l, lastUsed: first, maxPort: first + n}, nil
		}
		_ = l.Close()
	}
	return nil, errors.Errorf("no free block of ports between %d and %d", firstPort, lastPort)
}

func portsFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		l, err := net.Listen("tcp", loopbackAddress(p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (b *portBlock) next() string {
	b.lastUsed++
	return loopbackAddress(b.lastUsed)
}

func (b *portBlock) release() { _ = b.lock.Close() }

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
