package config_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"baobabreach/internal/config"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func loadGatewaySettings(t *testing.T, text string) (config.Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return config.Load(path)
}

const entryHostSettings = `
[daemon]
host = front-1
data_centre = a
data_dir =
[listen]
caller = 10.0.0.1:80
control = 10.0.0.1:7000
operator = 10.0.0.1:7001
[gateway]
ready = 10.0.0.1:81
seeds = 10.0.1.1:8544,10.0.2.1:8544
first_start = true
heartbeat = 1500ms
max_grant_ttl = 10000ms
retry_ratio = 0.2
`

// Guards against gateway settings that are parsed wrongly, a wrong default of the grant TTL, and a grant TTL above
// max_grant_ttl.
func TestGatewaySettings(t *testing.T) {
	is := is.New(t)
	c, err := loadGatewaySettings(t, entryHostSettings+"retry_slack = 62\n")
	is.NoErr(err)
	g := c.Gateway
	is.Equal(g.Seeds, []string{"10.0.1.1:8544", "10.0.2.1:8544"})
	is.Equal(g.GrantTTL, 8*time.Second)
	is.Equal(g.RetrySlack, 62.0)
	is.True(g.FirstStart)
	is.True(!c.IsReplica())
	c, err = loadGatewaySettings(t, entryHostSettings+"grant_ttl = 20s\n")
	is.NoErr(err)
	is.Equal(c.Gateway.GrantTTL, 10*time.Second)
}

// Guards against a start with invalid gateway settings, and against an error that reports only the first problem.
func TestAllGatewayProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := loadGatewaySettings(t, `
[daemon]
host = front-1
data_centre = a
[listen]
caller = 10.0.0.1:80
control = here
operator = 10.0.0.1:7001
[gateway]
ready = 10.0.0.1
seeds = x
heartbeat = 1
retry_ratio = much
first_start = yes
unknown = 1
`)
	var problems config.Problems
	is.True(errors.As(err, &problems))
	is.True(len(problems) >= 7)
}
