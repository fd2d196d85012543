package stage

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Route is a row of the desired state.
type Route struct {
	Name, Prefix, Type, Service string
	Timeout, Target             time.Duration
	Attempts                    int
}

// Service is a row of the desired state.
type Service struct {
	Name    string
	Sharded bool
}

// HostName is the host of all routes.
const HostName = "shop.example"

// Configure sends the first desired state until it is accepted.
func (f *Fleet) Configure(services []Service, routes []Route, maxBodyBytes int) error {
	limits := fmt.Sprintf(`,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeout":"3000ms",`+
		`"IdleTimeout":"15000ms","Version":"r1"}`, maxBodyBytes)
	return f.change("r1", services, routes, limits)
}

// AddRoutes adds services and routes to the desired state.
func (f *Fleet) AddRoutes(services []Service, routes []Route) error {
	return f.change("r2", services, routes, "")
}

// change sends items of a version until they are accepted.
func (f *Fleet) change(version string, services []Service, routes []Route, limits string) error {
	var rows, serviceRows []string
	for _, r := range routes {
		rows = append(rows, fmt.Sprintf(`[%q,%q,%q,%q,"%dms","%dms",1,null,%d,%q,%q]`, r.Name, HostName, r.Prefix, r.Type,
			r.Timeout.Milliseconds(), r.Target.Milliseconds(), r.Attempts, version, r.Service))
	}
	for _, s := range services {
		sharded := "null"
		if s.Sharded {
			sharded = "true"
		}
		serviceRows = append(serviceRows, fmt.Sprintf(`[%q,"/health",130,"h1",false,%s,%q]`, s.Name, sharded, version))
	}
	body := `{"Upsert":{"Routes":{"Columns":["Name","Host","PathPrefix","RouteType","Timeout","TargetLatency","Priority",` +
		`"TrafficSplit","MaxAttempts","Version","Service"],"Rows":[` + strings.Join(rows, ",") + `]},` +
		`"Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls","Sharded","Version"],"Rows":[` +
		strings.Join(serviceRows, ",") + `]}` + limits + `},"Remove":{"Routes":[]}}`
	c := &http.Client{Timeout: time.Second}
	i := 0
	return wait(func() bool {
		i++
		registry := f.Registries()[i%replicaCount]
		req, err := http.NewRequest(http.MethodPatch, "http://"+registry+"/baobabreach/config", bytes.NewReader([]byte(body)))
		if err != nil {
			return false
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := c.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(io.Discard, resp.Body)
		f.Record.Add("operator: desired state %s sent to %s, status %d", version, registry, resp.StatusCode)
		return resp.StatusCode == http.StatusOK
	})
}
