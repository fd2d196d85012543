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
	"sync/atomic"
	"syscall"
	"time"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
)

// Ports of the daemons and upstreams, as on the platform.
const (
	portControl  = 7540
	portRaft     = 7541
	portOperator = 7555
	portRegistry = 8544
	portCaller   = 8540
	portReady    = 8541
	portUpstream = 8080
)

const (
	replicaCount = 3
	// serveTimeout limits the time until the fleet serves requests after its start and after the last fault.
	serveTimeout = 20 * time.Second
)

// Config holds the settings of a run.
type Config struct {
	// DaemonPath is the path of the daemon binary.
	DaemonPath string
	// Dir is the directory for data, settings and logs.
	Dir string
	// LoopbackOctet is the second octet of the daemons' loopback addresses, from 2 to 250. The proxies use the next one.
	LoopbackOctet int
	// EntryHosts is the number of entry hosts.
	EntryHosts int
	// MemoryMB is the memory limit in the settings of the daemons; 0 leaves it out.
	MemoryMB int
}

// Host is a daemon process and the proxy in front of it.
type Host struct {
	Name      string
	isReplica bool
	daemonIP  string
	proxyIP   string
	proxy     *Proxy
	process   *exec.Cmd
	log       *os.File
	paused    bool
	// firstStart is true until the daemon has been started once.
	firstStart bool
	// starts counts the starts of the daemon.
	starts atomic.Int64
}

// Fleet holds the daemons of a run.
type Fleet struct {
	cfg   Config
	Hosts []*Host
}

// NewFleet creates the hosts and opens their proxies. It starts no daemon.
func NewFleet(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg}
	for i := range replicaCount + cfg.EntryHosts {
		h := &Host{
			Name: fmt.Sprintf("front-%d", i-replicaCount+1), isReplica: i < replicaCount, proxy: NewProxy(), firstStart: true,
			daemonIP: fmt.Sprintf("127.%d.0.%d", cfg.LoopbackOctet, i+1),
			proxyIP:  fmt.Sprintf("127.%d.0.%d", cfg.LoopbackOctet+1, i+1),
		}
		if h.isReplica {
			h.Name = fmt.Sprintf("core-%d", i+1)
		}
		f.Hosts = append(f.Hosts, h)
		for _, port := range []int{portControl, portRaft, portRegistry, portCaller} {
			from, to := fmt.Sprintf("%s:%d", h.proxyIP, port), fmt.Sprintf("%s:%d", h.daemonIP, port)
			if err := h.proxy.Forward(from, to); err != nil {
				return nil, errors.Wrap(err, "open proxy")
			}
		}
	}
	return f, nil
}

// Registries returns the registry addresses of the replicas, through their proxies.
func (f *Fleet) Registries() []string {
	var out []string
	for _, h := range f.Hosts[:replicaCount] {
		out = append(out, fmt.Sprintf("%s:%d", h.proxyIP, portRegistry))
	}
	return out
}

// EntryHosts returns the hosts that serve callers.
func (f *Fleet) EntryHosts() []*Host { return f.Hosts[replicaCount:] }

// CallerAddress returns the address for requests of callers, through the proxy.
func (h *Host) CallerAddress() string { return fmt.Sprintf("%s:%d", h.proxyIP, portCaller) }

func (f *Fleet) settings(h *Host) string {
	var b strings.Builder
	data, listen, ready := "", "", ""
	if h.isReplica {
		data = filepath.Join(f.cfg.Dir, h.Name)
		ready = fmt.Sprintf("registry = %s:%d", h.daemonIP, portRegistry)
	} else {
		listen = fmt.Sprintf("caller = %s:%d", h.daemonIP, portCaller)
		ready = fmt.Sprintf("ready = %s:%d", h.daemonIP, portReady)
	}
	fmt.Fprintf(&b, "[daemon]\nhost = %s\ndata_centre = z\ndata_dir = %s\n", h.Name, data)
	fmt.Fprintf(&b, "[listen]\n%s\ncontrol = %s:%d\noperator = %s:%d\nadvertise = %s:%d\n",
		listen, h.daemonIP, portControl, h.daemonIP, portOperator, h.proxyIP, portControl)
	fmt.Fprintf(&b, "[log]\nformat = json\n[stop]\nbalancer_delay = 300ms\ntimeout = 2s\n[gateway]\n%s\n", ready)
	fmt.Fprintf(&b, "seeds = %s\nfirst_start = %v\nheartbeat = %v\ngrant_ttl = 2s\nretry_slack = 200\n",
		strings.Join(f.Registries(), ","), h.firstStart, heartbeatInterval)
	if f.cfg.MemoryMB > 0 {
		fmt.Fprintf(&b, "memory_mb = %d\n", f.cfg.MemoryMB)
	}
	return b.String()
}

// Start starts the daemon of a host unless it is running.
func (f *Fleet) Start(h *Host) error {
	if h.process != nil {
		return nil
	}
	name := filepath.Join(f.cfg.Dir, h.Name+".ini")
	if err := os.WriteFile(name, []byte(f.settings(h)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	h.firstStart = false
	h.starts.Add(1)
	log, err := os.OpenFile(filepath.Join(f.cfg.Dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	h.log = log
	h.process = exec.Command(f.cfg.DaemonPath, "gateway", name)
	h.process.Stdout, h.process.Stderr = log, log
	return errs.Wrap(h.process.Start(), "start daemon")
}

// Signal sends a signal to the daemon if it is running.
func (h *Host) Signal(s syscall.Signal) {
	if h.process != nil {
		// An error means that the process has exited and needs no signal.
		_ = h.process.Process.Signal(s)
	}
	h.paused = s == syscall.SIGSTOP || h.paused && s != syscall.SIGCONT
}

// Kill sends SIGKILL and waits for the process to exit.
func (h *Host) Kill() {
	if h.process == nil {
		return
	}
	h.Signal(syscall.SIGKILL)
	h.wait()
}

// Stop sends SIGTERM, after SIGCONT in case the process is paused, and waits for it to exit.
func (h *Host) Stop() {
	if h.process == nil {
		return
	}
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGTERM)
	h.wait()
}

func (h *Host) wait() {
	// Wait returns an error for a killed process.
	_ = h.process.Wait()
	_ = h.log.Close()
	h.process, h.paused = nil, false
}

// WipeDisk removes the data directory of a stopped replica.
func (f *Fleet) WipeDisk(h *Host) error {
	return errs.Wrap(os.RemoveAll(filepath.Join(f.cfg.Dir, h.Name)), "wipe disk")
}

// RestoreAll sets every link to LinkUp, resumes paused processes and starts stopped ones.
func (f *Fleet) RestoreAll() error {
	for _, h := range f.Hosts {
		h.proxy.SetLink(LinkUp)
		h.Signal(syscall.SIGCONT)
		if err := f.Start(h); err != nil {
			return err
		}
	}
	return nil
}

// Close kills every process and closes every proxy.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Kill()
		h.proxy.Close()
	}
}

// Operator changes the configuration and checks that acknowledged changes are not lost.
type Operator struct {
	registries []string
	checker    *Checker
	version    int
	// ackedVersion is the highest acknowledged version of the changing route; its path prefix contains the version.
	ackedVersion int
}

const configTemplate = `{"Upsert":{"Routes":{"Columns":["Name","Host","PathPrefix","RouteType","Timeout","TargetLatency",` +
	`"Priority","TrafficSplit","MaxAttempts","Version","Service"],"Rows":[` +
	`["styles","a.example","/s/","safe","1500ms","400ms",1,null,2,"r1","styles"],` +
	`["orders","a.example","/o/","unsafe","1500ms","400ms",1,null,2,"r1","orders"],` +
	`["late","a.example","` + latePath + `","unsafe","5000ms","400ms",1,null,2,"r1","orders"],` +
	`["moving","b.example","/v%d/","safe","1000ms","400ms",1,null,2,"r%d","orders"]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConnections","Sharded","Version"],` +
	`"Rows":[["styles","/health",130,true,"r1"],["orders","/health",130,null,"r1"]]}}}`

// Change sends the next version to one registry after another until one accepts or refuses it, in at most 60 attempts.
func (o *Operator) Change(ctx context.Context) {
	o.version++
	body := fmt.Sprintf(configTemplate, o.version, o.version)
	for attempt := 0; ctx.Err() == nil && attempt < 60; attempt++ {
		status, _ := o.callRegistry(ctx, http.MethodPatch, o.registries[attempt%len(o.registries)], body)
		switch status {
		case http.StatusOK:
			o.ackedVersion = o.version
			return
		case http.StatusBadRequest:
			o.checker.ReportViolation("version %d of the configuration was refused", o.version)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Check reads the configuration from the first registry that responds and compares it with the acknowledged version.
// It returns false if no registry responds.
func (o *Operator) Check(ctx context.Context) bool {
	for _, r := range o.registries {
		status, body := o.callRegistry(ctx, http.MethodGet, r, "")
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
			o.checker.ReportViolation("the configuration cannot be decoded: %v", err)
			return true
		}
		o.checkRoutes(m.Routes.Columns, m.Routes.Rows)
		return true
	}
	return false
}

func (o *Operator) checkRoutes(columns []string, rows [][]any) {
	columnIndex := map[string]int{}
	for i, c := range columns {
		columnIndex[c] = i
	}
	for _, r := range rows {
		if r[columnIndex["Name"]] != "moving" {
			continue
		}
		var version int
		if _, err := fmt.Sscanf(fmt.Sprint(r[columnIndex["Version"]]), "r%d", &version); err != nil || version < o.ackedVersion {
			o.checker.ReportViolation("read configuration version %v after version %d was acknowledged",
				r[columnIndex["Version"]], o.ackedVersion)
		}
		if r[columnIndex["PathPrefix"]] != fmt.Sprintf("/v%d/", version) {
			o.checker.ReportViolation("configuration version %d has path prefix %v", version, r[columnIndex["PathPrefix"]])
		}
		return
	}
	if o.ackedVersion > 0 {
		o.checker.ReportViolation("the route of acknowledged configuration version %d is missing", o.ackedVersion)
	}
}

func (o *Operator) callRegistry(ctx context.Context, method, address, body string) (int, []byte) {
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
