package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

// Ports of every daemon, as on a platform.
const (
	portControl  = 7540
	portRaft     = 7541
	portOperator = 7555
	portRegistry = 8544
	portCaller   = 8540
	portReady    = 8541
	portBackend  = 8080
)

const (
	coreCount = 3
	// bootWait bounds the time until a fleet serves, at the start and after the last fault.
	bootWait = 20 * time.Second
)

// Config configures a run.
type Config struct {
	// Program is the path of the daemon.
	Program string
	// Dir takes data folders, settings and logs.
	Dir string
	// Net is the second number of the loopback addresses of the run, from 2 to 250. The next one is used for proxies.
	Net int
	// Fronts is the number of entry hosts.
	Fronts int
}

// Machine is a daemon with its proxy.
type Machine struct {
	Name    string
	core    bool
	real    string
	public  string
	proxy   *Proxy
	process *exec.Cmd
	log     *os.File
	paused  bool
	// first is true until the first start.
	first bool
}

// Fleet is the daemons of a run.
type Fleet struct {
	cfg      Config
	Machines []*Machine
}

// NewFleet writes settings and opens the proxies.
func NewFleet(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg}
	for i := range coreCount + cfg.Fronts {
		m := &Machine{
			Name: fmt.Sprintf("front-%d", i-coreCount+1), core: i < coreCount, proxy: NewProxy(), first: true,
			real: fmt.Sprintf("127.%d.0.%d", cfg.Net, i+1), public: fmt.Sprintf("127.%d.0.%d", cfg.Net+1, i+1),
		}
		if m.core {
			m.Name = fmt.Sprintf("core-%d", i+1)
		}
		f.Machines = append(f.Machines, m)
		for _, port := range []int{portControl, portRaft, portRegistry, portCaller} {
			from, to := fmt.Sprintf("%s:%d", m.public, port), fmt.Sprintf("%s:%d", m.real, port)
			if err := m.proxy.Forward(from, to); err != nil {
				return nil, errors.Wrap(err, "open proxy")
			}
		}
	}
	return f, nil
}

// Registries returns the public registry addresses.
func (f *Fleet) Registries() []string {
	var out []string
	for _, m := range f.Machines[:coreCount] {
		out = append(out, fmt.Sprintf("%s:%d", m.public, portRegistry))
	}
	return out
}

// Fronts returns the entry hosts.
func (f *Fleet) Fronts() []*Machine { return f.Machines[coreCount:] }

// Caller returns the address that callers of the entry host use.
func (m *Machine) Caller() string { return fmt.Sprintf("%s:%d", m.public, portCaller) }

func (f *Fleet) settings(m *Machine) string {
	var b strings.Builder
	data, listen, ready := "", "", ""
	if m.core {
		data = filepath.Join(f.cfg.Dir, m.Name)
		ready = fmt.Sprintf("registry = %s:%d", m.real, portRegistry)
	} else {
		listen = fmt.Sprintf("caller = %s:%d", m.real, portCaller)
		ready = fmt.Sprintf("ready = %s:%d", m.real, portReady)
	}
	fmt.Fprintf(&b, "[daemon]\nhost = %s\ndata_centre = z\ndata_dir = %s\n", m.Name, data)
	fmt.Fprintf(&b, "[listen]\n%s\ncontrol = %s:%d\noperator = %s:%d\nadvertise = %s:%d\n",
		listen, m.real, portControl, m.real, portOperator, m.public, portControl)
	fmt.Fprintf(&b, "[log]\nformat = json\n[stop]\nbalancer_delay = 300ms\ntimeout = 2s\n[gateway]\n%s\n", ready)
	fmt.Fprintf(&b, "seeds = %s\nfirst_start = %v\nheartbeat = %v\ngrant_ttl = 2s\nretry_slack = 200\n",
		strings.Join(f.Registries(), ","), m.first, heartbeat)
	return b.String()
}

// Start starts the process of a machine.
func (f *Fleet) Start(m *Machine) error {
	if m.process != nil {
		return nil
	}
	name := filepath.Join(f.cfg.Dir, m.Name+".ini")
	if err := os.WriteFile(name, []byte(f.settings(m)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	m.first = false
	log, err := os.OpenFile(filepath.Join(f.cfg.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	m.log = log
	m.process = exec.Command(f.cfg.Program, "gateway", name)
	m.process.Stdout, m.process.Stderr = log, log
	return errs.Wrap(m.process.Start(), "start daemon")
}

// Signal sends a signal to the process of a machine, if it runs.
func (m *Machine) Signal(s syscall.Signal) {
	if m.process != nil {
		// A process that has ended needs no signal.
		_ = m.process.Process.Signal(s)
	}
	m.paused = s == syscall.SIGSTOP || m.paused && s != syscall.SIGCONT
}

// Kill ends the process and waits for it.
func (m *Machine) Kill() {
	if m.process == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	m.wait()
}

// Stop asks the process to end and waits for it.
func (m *Machine) Stop() {
	if m.process == nil {
		return
	}
	m.Signal(syscall.SIGCONT)
	m.Signal(syscall.SIGTERM)
	m.wait()
}

func (m *Machine) wait() {
	// A process that was killed ends with an error.
	_ = m.process.Wait()
	_ = m.log.Close()
	m.process, m.paused = nil, false
}

// Wipe removes the disk of a stopped replica.
func (f *Fleet) Wipe(m *Machine) error {
	return errs.Wrap(os.RemoveAll(filepath.Join(f.cfg.Dir, m.Name)), "wipe disk")
}

// Heal brings every link up and every process back.
func (f *Fleet) Heal() error {
	for _, m := range f.Machines {
		m.proxy.Set(LinkUp)
		m.Signal(syscall.SIGCONT)
		if err := f.Start(m); err != nil {
			return err
		}
	}
	return nil
}

// Close ends every process and proxy.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		m.Kill()
		m.proxy.Close()
	}
}

// Operator changes the configuration and remembers what was acknowledged.
type Operator struct {
	registries []string
	ledger     *Ledger
	version    int
	// acked is the highest acknowledged version of the item that changes, and its prefix.
	acked int
}

const itemsText = `{"Upsert":{"Routes":{"Columns":["Name","Host","PathPrefix","RouteType","Timeout","TargetLatency",` +
	`"Priority","TrafficSplit","MaxAttempts","Version","Service"],"Rows":[` +
	`["styles","a.example","/s/","safe","1500ms","400ms",1,null,2,"r1","styles"],` +
	`["orders","a.example","/o/","unsafe","1500ms","400ms",1,null,2,"r1","orders"],` +
	`["moving","b.example","/v%d/","safe","1000ms","400ms",1,null,2,"r%d","orders"]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConnections","Sharded","Version"],` +
	`"Rows":[["styles","/health",130,true,"r1"],["orders","/health",130,null,"r1"]]}}}`

// Change sends the next version to the registry, and again to the others until one of them answers.
func (o *Operator) Change(ctx context.Context) {
	o.version++
	body := fmt.Sprintf(itemsText, o.version, o.version)
	for try := 0; ctx.Err() == nil && try < 60; try++ {
		status, _ := o.call(ctx, http.MethodPatch, o.registries[try%len(o.registries)], body)
		switch status {
		case http.StatusOK:
			o.acked = o.version
			return
		case http.StatusBadRequest:
			o.ledger.Violate("version %d of the configuration was refused", o.version)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Check reads the configuration and compares it with what was acknowledged.
func (o *Operator) Check(ctx context.Context) bool {
	for _, r := range o.registries {
		status, body := o.call(ctx, http.MethodGet, r, "")
		if status != http.StatusOK {
			continue
		}
		var m struct {
			Routes struct {
				Columns []string
				Rows    [][]any
			}
		}
		if err := json.Unmarshal(body, &m); err != nil {
			o.ledger.Violate("the configuration can't be read: %v", err)
			return true
		}
		o.compare(m.Routes.Columns, m.Routes.Rows)
		return true
	}
	return false
}

func (o *Operator) compare(columns []string, rows [][]any) {
	at := map[string]int{}
	for i, c := range columns {
		at[c] = i
	}
	for _, r := range rows {
		if r[at["Name"]] != "moving" {
			continue
		}
		var version int
		if _, err := fmt.Sscanf(fmt.Sprint(r[at["Version"]]), "r%d", &version); err != nil || version < o.acked {
			o.ledger.Violate("version %v is read back after version %d was acknowledged", r[at["Version"]], o.acked)
		}
		if r[at["PathPrefix"]] != fmt.Sprintf("/v%d/", version) {
			o.ledger.Violate("version %d is read back with the prefix %v", version, r[at["PathPrefix"]])
		}
		return
	}
	if o.acked > 0 {
		o.ledger.Violate("the item of version %d is missing", o.acked)
	}
}

func (o *Operator) call(ctx context.Context, method, address, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/baobabreach/config", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
