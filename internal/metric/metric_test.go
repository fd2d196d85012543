package metric_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// Guards against callers that exhaust the memory by sending arbitrary tenant names.
func TestTenantNamesAreBounded(t *testing.T) {
	is := is.New(t)
	r := metric.New()
	for i := range 5000 {
		r.Observe(fmt.Sprint("t", i), model.ClassShort, proto.OutcomeDone, 0)
	}
	all := r.All()
	is.True(len(all) < 600)
	is.Equal(all["requests.other.short.done"]["count"], int64(5000-256))
}
