package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Route is a route of the desired state.
type Route struct {
	Name, Host, Prefix, Type, Service string
	Timeout, TargetLatency            string
	MaxAttempts                       int
}

// Service is a service of the desired state.
type Service struct {
	Name    string
	Sharded bool
}

// DesiredState returns the first call of an operator, with all items at version r7.
func DesiredState(routes []Route, services []Service) ([]byte, error) {
	return DesiredStateAt("r7", routes, services)
}

// DesiredStateAt returns a call of an operator with all items at a version.
func DesiredStateAt(version string, routes []Route, services []Service) ([]byte, error) {
	table := func(columns []string, rows [][]any) map[string]any {
		return map[string]any{"Columns": columns, "Rows": rows}
	}
	var routeRows, serviceRows [][]any
	for _, r := range routes {
		routeRows = append(routeRows, []any{
			r.Name, r.Host, r.Prefix, r.Type, r.Timeout, r.TargetLatency, 1, nil, r.MaxAttempts, version, r.Service,
		})
	}
	for _, s := range services {
		row := []any{s.Name, "/health", 130, "h1", false, nil, nil, nil, version}
		if s.Sharded {
			row[5], row[6], row[7] = true, "2s", "heartbeat"
		}
		serviceRows = append(serviceRows, row)
	}
	b, err := json.Marshal(map[string]any{
		"Upsert": map[string]any{
			"Routes": table([]string{
				"Name", "Host", "PathPrefix", "RouteType", "Timeout", "TargetLatency", "Priority", "TrafficSplit", "MaxAttempts",
				"Version", "Service",
			}, routeRows),
			"Services": table([]string{
				"Name", "HealthPath", "MaxConnections", "Protocol", "Tls", "Sharded", "Warm", "Grants", "Version",
			}, serviceRows),
			"Limits": map[string]any{
				"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
				"Version": version,
			},
		},
		"Remove": map[string]any{"Routes": []any{}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode desired state: %w", err)
	}
	return b, nil
}

// Apply sends a desired state to one daemon after another until it is acknowledged.
func (f *Fleet) Apply(rec *Record, body []byte, d time.Duration) error {
	addresses := f.ControlAddresses()
	last := ""
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		status, err := call(http.MethodPatch, addresses[i%len(addresses)], "/baobabreach/config", body)
		if err == nil && status == http.StatusOK {
			rec.Printf("operator: desired state acknowledged")
			return nil
		}
		last = fmt.Sprint(status, " ", err)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("desired state not acknowledged within %v: %s", d, last)
}

func call(method, address, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("create call: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, nil
}
