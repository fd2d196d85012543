package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/retry"
	"baobabreach/pkg/proto"
)

// Guards against a second send of a non-idempotent request, whatever its first send ended with.
func TestNonIdempotentStops(t *testing.T) {
	is := is.New(t)
	p := retry.NewPolicy()
	for _, c := range []proto.Code{proto.CodeUpstreamFailed, proto.CodeStaleGrant, proto.CodeUpstreamShed} {
		a, _ := p.Decide(&retry.Attempts{}, false, proto.Unknown(c, ""))
		is.Equal(a, retry.ActionStop)
	}
}

// Guards against resends that multiply the load while every upstream fails.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	p := retry.NewPolicy()
	resends := 0
	for range 1000 {
		p.RecordRequest()
		var tries retry.Attempts
		for {
			a, _ := p.Decide(&tries, true, proto.Unknown(proto.CodeUpstreamFailed, ""))
			if a == retry.ActionStop {
				break
			}
			resends++
		}
	}
	is.True(resends >= 100 && resends <= 111) // 10% and the burst of 10
}
