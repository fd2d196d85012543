package daemon_test

import (
	"crypto/rand"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/claim"
	"baobabreach/pkg/proto"
)

func newID() string {
	var b [10]byte
	_, _ = rand.Read(b[:])
	return claim.NewID(time.Now().UnixMilli(), b[:])
}

// With one data centre cut off, guards against keyed requests that still run there, and against unkeyed requests that it
// refuses although it could serve them.
func TestOneDataCentreCutOff(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	f.network.cutBothWays("c", "a")
	f.network.cutBothWays("c", "b")

	f.eventually("the majority serves every key", func() bool { return f.allKeysServed(f.hosts("a", "b")...) })
	f.eventually("the cut-off side refuses every key as not run", func() bool {
		return f.countOutcomes("catalogue", true, "c0", "c1")[proto.OutcomeNotRun] == 2*keyCount
	})
	is.Equal(f.countOutcomes("orders", false, "c0", "c1")[proto.OutcomeDone], 2) // unkeyed reads are still served inside c
	id := newID()
	is.Equal(f.send("c0", http.MethodPost, "orders", "", id, "40 bobs").outcome, proto.OutcomeNotRun)
	is.Equal(f.send("a0", http.MethodPost, "orders", "", id, "40 bobs").outcome, proto.OutcomeDone)
	is.Equal(f.executions(id), 1)

	f.network.heal()
	f.eventually("every host serves every key again", func() bool { return f.allKeysServed(f.hosts()...) })
	is.Equal(f.send("c0", http.MethodPost, "orders", "", id, "40 bobs").outcome, proto.OutcomeDone)
	is.Equal(f.executions(id), 1)
	f.requireNoOverlap()
}

// With all data centres cut off from each other, guards against any of them acting as the majority, and against settings
// that are lost, so that some host no longer serves every key after the network has healed.
func TestAllDataCentresApart(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	f.network.cutBothWays("a", "b")
	f.network.cutBothWays("b", "c")
	f.network.cutBothWays("c", "a")

	f.eventually("every host refuses every key as not run", func() bool {
		return f.countOutcomes("catalogue", true, f.hosts()...)[proto.OutcomeNotRun] == keyCount*len(f.hosts())
	})
	f.eventually("unkeyed reads are served in each data centre", func() bool {
		return f.countOutcomes("orders", false, f.hosts()...)[proto.OutcomeDone] == len(f.hosts())
	})
	id := newID()
	is.Equal(f.send("b1", http.MethodPost, "orders", "", id, "deposit").outcome, proto.OutcomeNotRun)
	is.Equal(f.executions(id), 0)

	f.network.heal()
	f.eventually("every host serves every key again", func() bool { return f.allKeysServed(f.hosts()...) })
	f.requireNoOverlap()
}

// Guards against a leader that keeps acting although no other data centre receives its messages. Its own data centre
// still reaches it, so that it could go on serving there.
func TestOneWayCutOfEachDataCentre(t *testing.T) {
	f := startFleet(t)
	for _, dc := range dataCentres {
		for _, other := range dataCentres {
			if other != dc {
				f.network.cutOneWay(dc, other)
			}
		}
		f.eventually("some other data centre serves every key", func() bool {
			for _, other := range dataCentres {
				if other != dc && f.allKeysServed(f.hosts(other)...) {
					return true
				}
			}
			return false
		})
		f.network.heal()
		f.eventually("every host serves every key again", func() bool { return f.allKeysServed(f.hosts()...) })
	}
	f.requireNoOverlap()
}
