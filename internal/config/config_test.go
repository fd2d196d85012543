package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"baobabreach/internal/config"
	"baobabreach/internal/model"
)

const validSettings = `[daemon]
host = a1
data_centre = a
data_dir = /tmp/a1

[listen]
caller = 127.0.0.1:7100
control = 127.0.0.1:7101
operator = 127.0.0.1:7102

[cluster]
replicas = a1@127.0.0.1:7101, b1@127.0.0.1:7201, c1@127.0.0.1:7301

[stop]
balancer_delay = 500ms

[service.catalogue]
keyed = true

[tenant.boutique]
short_per_second = 50
`

func loadSettings(t *testing.T, text string) (config.Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a1.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return config.Load(path)
}

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	c, err := loadSettings(t, validSettings)
	is.NoErr(err)
	is.Equal(c.Host, "a1")
	is.True(c.IsReplica())
	is.Equal(len(c.Replicas), 3)
	is.Equal(c.BalancerDelay, 500*time.Millisecond)
	is.Equal(c.Services[0].Name, "catalogue")
	is.Equal(c.Services[0].Ranges, model.DefaultRanges)
	is.Equal(c.Limits[0].PerSecond, 50.0)
}

// Guards against a daemon that starts with invalid or contradictory settings.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, section, key string }{
		"unknown section":        {"[stop]", "[halt]", "halt", ""},
		"unknown key":            {"balancer_delay", "balancer_dely", "stop", "balancer_dely"},
		"duration without unit":  {"500ms", "500", "stop", "balancer_delay"},
		"address without a port": {"caller = 127.0.0.1:7100", "caller = 127.0.0.1", "listen", "caller"},
		"host name as address":   {"caller = 127.0.0.1:7100", "caller = a1:7100", "listen", "caller"},
		"overlapping addresses":  {"127.0.0.1:7102", "127.0.0.1:7100", "listen", "operator"},
		"even replicas":          {", c1@127.0.0.1:7301", "", "cluster", "replicas"},
		"replica twice":          {"c1@", "b1@", "cluster", "replicas"},
		"wrong control address":  {"a1@127.0.0.1:7101", "a1@127.0.0.1:7109", "listen", "control"},
		"replica without disk":   {"data_dir = /tmp/a1\n", "", "daemon", "data_dir"},
		"disk without replica":   {"host = a1", "host = a9", "daemon", "data_dir"},
		"not a boolean":          {"keyed = true", "keyed = yes", "service.catalogue", "keyed"},
		"ranges without keys":    {"keyed = true", "ranges = 8", "service.catalogue", "ranges"},
		"no deadline":            {"keyed = true", "deadline = 0s", "service.catalogue", "deadline"},
		"limit of zero":          {"= 50\n", "= 0\n", "tenant.boutique", "short_per_second"},
		"empty host":             {"host = a1", "host =", "daemon", "host"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := loadSettings(t, strings.Replace(validSettings, tc.old, tc.new, 1))
			var problems config.Problems
			is.True(errors.As(err, &problems))
			found := false
			for _, p := range problems {
				found = found || (p.Section == tc.section && p.Key == tc.key && p.Expected != "" && p.File != "")
			}
			is.True(found) // a problem reports the section and key of the invalid setting
		})
	}
}

// Guards against loading that stops at the first problem, so that an operator has to restart the daemon once for each
// mistake.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("host = a1", "host = a/1", "500ms", "soon", "keyed = true", "keyed = 1").Replace(validSettings)
	_, err := loadSettings(t, text)
	var problems config.Problems
	is.True(errors.As(err, &problems))
	is.True(len(problems) >= 3)
}

// Guards against a shutdown that cuts off requests although the platform would have left them more time.
func TestStopTimeoutFillsTheGracePeriod(t *testing.T) {
	is := is.New(t)
	const delay = "balancer_delay = 500ms"
	c, err := loadSettings(t, strings.Replace(validSettings, delay, "balancer_delay = 2200ms\ngrace = 10s", 1))
	is.NoErr(err)
	is.Equal(c.StopTimeout, 7200*time.Millisecond)
	_, err = loadSettings(t, strings.Replace(validSettings, delay, delay+"\ngrace = 1s", 1))
	is.True(err != nil)
}
