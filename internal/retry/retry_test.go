package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/retry"
	"baobabreach/pkg/proto"
)

// Guards against retries of a non-idempotent request after any kind of error.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	p := retry.NewPolicy()
	for _, c := range []proto.Code{proto.CodeUpstreamFailed, proto.CodeStaleGrant, proto.CodeUpstreamShed} {
		a, _ := p.Decide(&retry.Attempts{}, false, proto.Unknown(c, ""))
		is.Equal(a, retry.ActionStop)
	}
}

// Guards against retries that multiply the load while every upstream fails.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	p := retry.NewPolicy()
	resends := 0
	for range 1000 {
		p.RecordRequest()
		var attempts retry.Attempts
		for {
			a, _ := p.Decide(&attempts, true, proto.Unknown(proto.CodeUpstreamFailed, ""))
			if a == retry.ActionStop {
				break
			}
			resends++
		}
	}
	is.True(resends >= 100 && resends <= 111) // 10% of the requests plus a burst of 10
}
