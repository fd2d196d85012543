// Package metric collects the counters, gauges and latency histograms of a daemon.
package metric

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize and reservoirAlpha configure the exponentially decaying sample of a histogram.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// maxTenants limits the number of tenant names with their own metrics. Callers choose the names freely, so an
	// unlimited number of them would exhaust the memory.
	maxTenants  = 256
	otherTenant = "other"
)

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	registry metrics.Registry

	mu      sync.Mutex
	tenants map[string]bool
}

// New returns an empty registry. Metrics are added on first use.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry(), tenants: map[string]bool{}}
}

// Observe records the latency of one completed request in the histogram of its tenant and class, in microseconds, and
// counts the request by outcome.
func (r *Registry) Observe(tenant string, class model.Class, outcome proto.Outcome, latency time.Duration) {
	tenant = r.tenantLabel(tenant)
	name := "latency_us." + tenant + "." + string(class)
	histogram := r.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	histogram.Update(latency.Microseconds())
	r.Inc("requests." + tenant + "." + string(class) + "." + string(outcome))
}

// tenantLabel returns the name, or "other" for a new name once maxTenants different names have been seen.
func (r *Registry) tenantLabel(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tenants[name] && len(r.tenants) >= maxTenants {
		return otherTenant
	}
	r.tenants[name] = true
	return name
}

// Inc increments the named counter by one.
func (r *Registry) Inc(name string) {
	r.Add(name, 1)
}

// Add increments the named counter by n.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// SetGauge sets the named gauge to v and adds the gauge if it is new.
func (r *Registry) SetGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(v)
}

// All returns the values of all metrics by name, in the format of the JSON export of go-metrics.
func (r *Registry) All() map[string]map[string]any {
	return r.registry.GetAll()
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// quantiles lists what WriteText prints for each histogram, besides its count and maximum.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteText writes all metrics as lines of name and value.
func (r *Registry) WriteText(w io.Writer) {
	r.registry.Each(func(name string, m any) {
		name = "baobabreach_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			_, _ = fmt.Fprintf(w, "%s_count %d\n%s_max %d\n", name, s.Count(), name, s.Max())
			for i, v := range s.Percentiles(quantiles) {
				_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], v)
			}
		}
	})
}
