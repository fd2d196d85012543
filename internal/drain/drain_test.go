package drain_test

import (
	"testing"
	"time"

	"baobabreach/internal/drain"

	"github.com/matryer/is"
)

// Guards against a request that is sent to an upstream and cut off by the end of the host, and against a host that refuses
// requests while the load balancer still sends it new connections.
func TestOnlyRequestsThatEndInTimeAreSent(t *testing.T) {
	const begun, second = time.Hour, time.Second
	for _, c := range []struct {
		name     string
		after    time.Duration
		left     time.Duration
		expected bool
	}{
		{name: "the balancer still sends connections", after: 1 * second, left: 30 * second, expected: true},
		{name: "ends in time", after: 3 * second, left: 1900 * time.Millisecond, expected: true},
		{name: "no time is left for the answer", after: 3 * second, left: 1950 * time.Millisecond},
		{name: "ends too late", after: 3 * second, left: 5 * second},
		{name: "after the end", after: 6 * second, left: second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := drain.New(drain.Config{BalancerDelay: 2 * second, Timeout: 3 * second})
			is.True(d.MaySend(begun+c.after, begun+c.after+c.left))
			is.True(!d.Stopping())
			d.Begin(begun)
			is.True(d.Stopping())
			is.Equal(d.MaySend(begun+c.after, begun+c.after+c.left), c.expected)
		})
	}
	var none *drain.Drain
	is.New(t).True(none.MaySend(begun, begun+time.Hour))
}
