// Package metric keeps the daemon's counters and latency histograms.
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
	sampleSize  = 1028
	sampleAlpha = 0.015
	// maxTenants bounds the tenant names with metrics of their own; callers choose the names.
	maxTenants  = 256
	otherTenant = "other"
)

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	r metrics.Registry

	mu      sync.Mutex
	tenants map[string]bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{r: metrics.NewRegistry(), tenants: map[string]bool{}}
}

// Observe records one answered request in the histogram of its tenant and class, in microseconds.
func (r *Registry) Observe(tenant string, class model.Class, outcome proto.Outcome, d time.Duration) {
	tenant = r.tenant(tenant)
	name := "latency_us." + tenant + "." + string(class)
	h := r.r.GetOrRegister(name, newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
	r.Inc("requests." + tenant + "." + string(class) + "." + string(outcome))
}

// tenant returns the name, or "other" once maxTenants different ones were seen.
func (r *Registry) tenant(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tenants[name] && len(r.tenants) >= maxTenants {
		return otherTenant
	}
	r.tenants[name] = true
	return name
}

// Inc adds one to the named counter.
func (r *Registry) Inc(name string) {
	r.Add(name, 1)
}

// Add adds n to the named counter.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.r).Inc(n)
}

// SetGauge sets the named gauge.
func (r *Registry) SetGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, r.r).Update(v)
}

// All returns every metric in the form of go-metrics' JSON export.
func (r *Registry) All() map[string]map[string]any {
	return r.r.GetAll()
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// percentiles of the histograms that WriteText prints.
var percentiles = []float64{0.5, 0.9, 0.99}

// WriteText writes every metric as a line of name and value.
func (r *Registry) WriteText(w io.Writer) {
	r.r.Each(func(name string, m any) {
		name = "baobabreach_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			_, _ = fmt.Fprintf(w, "%s_count %d\n%s_max %d\n", name, s.Count(), name, s.Max())
			for i, v := range s.Percentiles(percentiles) {
				_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, percentiles[i], v)
			}
		}
	})
}
