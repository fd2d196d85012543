package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"baobabreach/internal/fleet"

	"github.com/matryer/is"
)

// Guards against processes, directories or ports that outlive a fleet, and against a Start that returns before the
// fleet is ready.
func TestFleetLeavesNothingBehind(t *testing.T) {
	is := is.New(t)
	t.Setenv("TMPDIR", t.TempDir())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{
		Binaries: "../../bin", DataCentres: []string{"a", "b", "c"}, HostsPerCentre: 1,
		Services: []fleet.Service{
			{Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: 6, Upstreams: 3, Slots: 3},
		},
	})
	is.NoErr(err)
	is.NoErr(f.CheckRangesOwned(ctx))
	is.NoErr(f.Pause("a1"))
	is.NoErr(f.Pause("catalogue-a1"))
	is.NoErr(f.Close())
	for _, n := range []string{"a1", "b1", "c1", "catalogue-a1", "catalogue-b1", "catalogue-c1"} {
		is.True(!f.Running(n)) // Close kills paused processes as well
	}
	leftover, err := filepath.Glob(filepath.Join(os.TempDir(), "*"))
	is.NoErr(err)
	is.Equal(len(leftover), 0)
}

// Guards against the load generator sending to another machine.
func TestCheckLoopback(t *testing.T) {
	is := is.New(t)
	is.NoErr(fleet.CheckLoopback("127.0.0.1:20000"))
	for _, a := range []string{"10.0.0.1:80", "example.org:80", "localhost", "0.0.0.0:80"} {
		is.True(fleet.CheckLoopback(a) != nil) // an address that is not on loopback is refused
	}
}
