package slots

import (
	"context"
	"net"
	"net/http"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/config"
	"baobabreach/internal/entry"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"

	"github.com/gorilla/mux"
)

// TestHost is the Slots of one host with its control handler.
type TestHost struct {
	slots   *Slots
	Control http.Handler
}

// NewTestHost returns a host whose clients connect with dial.
func NewTestHost(
	name string, policy config.Policy, v *route.View, clock func() time.Duration,
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) *TestHost {
	s := New(Config{
		Host: name, DataCentre: "a", Policy: policy, View: v, Clock: clock, MaxResponseBytes: 1000,
		Client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}},
	})
	c := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	s.SetServer(entry.New(entry.Config{
		Host: name, View: v, Clock: clock, Client: c, Metrics: metric.New(), Retry: retry.NewPolicy(), MaxResponseBytes: 1000,
	}))
	m := mux.NewRouter()
	s.Mount(m)
	return &TestHost{slots: s, Control: m}
}

// Acquire acquires a slot for a request that this host received.
func (h *TestHost) Acquire(
	ctx context.Context, slotReq entry.SlotRequest,
) (model.Upstream, func(admit.Result), *proto.Error) {
	return h.slots.Acquire(ctx, slotReq)
}

// Relay relays a request of a service that is not keyed, and so has no target.
func (h *TestHost) Relay(ctx context.Context, slotReq entry.SlotRequest) (*entry.Response, *proto.Error) {
	return h.slots.Relay(ctx, slotReq, route.Target{})
}

// Run runs the periodic tasks of the host until ctx ends.
func (h *TestHost) Run(ctx context.Context) { h.slots.Run(ctx) }

// Close closes idle connections to other hosts.
func (h *TestHost) Close() { h.slots.client.CloseIdleConnections() }

// FirstDispatcher returns the control address of the pool's first dispatcher.
func (h *TestHost) FirstDispatcher(service string) string {
	return h.slots.dispatchers(poolID{Service: service, DataCentre: "a"})[0].Control
}
