package scene_test

import (
	"path/filepath"
	"testing"

	"baobabreach/internal/config"

	"github.com/matryer/is"
)

// Guards against example settings that the daemon rejects, or that lack a service of the deployment.
func TestExampleSettings(t *testing.T) {
	is := is.New(t)
	names, err := filepath.Glob("../../docs/examples/*.ini")
	is.NoErr(err)
	is.Equal(len(names), 2)
	for _, n := range names {
		c, err := config.Load(n)
		is.NoErr(err)
		is.Equal(len(c.Replicas), 3)
		is.Equal(len(c.Services), 3)
		is.True(c.Services[0].Keyed)
		is.True(!c.Services[1].Idempotent)
	}
}
