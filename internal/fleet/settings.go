package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

func (f *Fleet) settingsFile(host string) string { return filepath.Join(f.dir, host+".ini") }

func (f *Fleet) dataDir(host string) string { return filepath.Join(f.dir, "data-"+host) }

func (f *Fleet) recordFile(upstream string) string { return filepath.Join(f.dir, upstream+".runs") }

func (f *Fleet) writeSettings(i int) error {
	h := f.Hosts[i]
	file := ini.Empty()
	set := func(section string, pairs ...string) {
		for j := 0; j < len(pairs); j += 2 {
			file.Section(section).Key(pairs[j]).SetValue(pairs[j+1])
		}
	}
	set("daemon", "host", h.Name, "data_centre", h.DataCentre)
	if i%f.cfg.HostsPerCentre == 0 {
		dir := f.dataDir(h.Name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return errors.Wrap(err, "create data directory")
		}
		set("daemon", "data_dir", dir)
	}
	set("listen", "caller", h.CallerAddress, "control", h.ControlAddress, "operator", h.OperatorAddress)
	if f.cfg.OperatorToken != "" {
		name := f.TokenFile(h.Name)
		if err := os.WriteFile(name, []byte(f.cfg.OperatorToken), 0o600); err != nil {
			return errors.Wrap(err, "write operator token file")
		}
		set("access", "operator_token_file", name)
	}
	set("cluster", "replicas", f.replicaList())
	set("log", "level", "info")
	if f.cfg.Policy != "" {
		set("admission", "policy", f.cfg.Policy)
	}
	set("stop", "balancer_delay", f.cfg.BalancerDelay.String())
	for _, l := range f.cfg.Limits {
		set("tenant."+l.Tenant, string(l.Class)+"_per_second", fmt.Sprint(l.PerSecond))
	}
	for _, s := range f.cfg.Services {
		section := "service." + s.Name
		set(section, "keyed", fmt.Sprint(s.Keyed), "idempotent", fmt.Sprint(s.Idempotent), "class", s.Class)
		if s.Keyed {
			set(section, "ranges", fmt.Sprint(s.Ranges))
		}
		if s.Deadline > 0 {
			set(section, "deadline", s.Deadline.String())
		}
	}
	return errs.Wrap(file.SaveTo(f.settingsFile(h.Name)), "write settings")
}

func (f *Fleet) replicaList() string {
	var out []string
	for i := 0; i < len(f.Hosts); i += f.cfg.HostsPerCentre {
		out = append(out, f.Hosts[i].Name+"@"+f.Hosts[i].ControlAddress)
	}
	return strings.Join(out, ", ")
}

// CheckLoopback returns an error unless the address is a loopback IP address with a port.
func CheckLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "parse address")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Errorf("%s is not a loopback address", address)
	}
	return nil
}

// TokenFile returns the path of a host's operator token file, which exists only if Config.OperatorToken is set.
func (f *Fleet) TokenFile(host string) string { return filepath.Join(f.dir, host+".token") }
