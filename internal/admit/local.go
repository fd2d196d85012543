// Package admit decides when a request may use a slot of an upstream.
package admit

import (
	"context"
	"net/http"
	"sync"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// Local limits the requests in flight by the host's own counts alone. It is safe for concurrent use.
type Local struct {
	mu       sync.Mutex
	inFlight map[string]int
	// freed is closed and replaced whenever a slot is given back.
	freed chan struct{}
}

// NewLocal returns a limiter without requests in flight.
func NewLocal() *Local {
	return &Local{inFlight: map[string]int{}, freed: make(chan struct{})}
}

// Acquire waits for a slot of one of the upstreams. The returned function gives it back.
func (l *Local) Acquire(ctx context.Context, us []model.Upstream) (model.Upstream, func(), *proto.Error) {
	for {
		u, freed, ok := l.try(us)
		if ok {
			return u, func() { l.release(u.Name) }, nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return u, nil, proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable, "no slot was free before the deadline")
		}
	}
}

func (l *Local) try(us []model.Upstream) (model.Upstream, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := -1
	for i, u := range us {
		free := u.Slots - l.inFlight[u.Name]
		if free > 0 && (best < 0 || free > us[best].Slots-l.inFlight[us[best].Name]) {
			best = i
		}
	}
	if best < 0 {
		return model.Upstream{}, l.freed, false
	}
	l.inFlight[us[best].Name]++
	return us[best], nil, true
}

func (l *Local) release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[name]--
	close(l.freed)
	l.freed = make(chan struct{})
}
