package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"baobabreach/internal/cmds"

	"github.com/matryer/is"
)

// Guards against a filter that drops matching lines, merges hosts in the wrong order, or stops at an unreadable line.
func TestLogsOfSeveralHostsAreMerged(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	a := write("a.log", `{"time":"2026-12-04T10:00:02Z","msg":"gate: request","request":"r1","upstream":"u1"}
half a line
{"time":"2026-12-04T10:00:03Z","msg":"gate: request","request":"r2","upstream":"u1"}
`)
	b := write("b.log", `  12.5 core-1 {"time":"2026-12-04T10:00:01Z","msg":"replica: assign","range":7,`+
		`"first":256,"last":511,"upstream":"u1"}
`)
	run := func(args ...string) (string, int) {
		var out, errOut bytes.Buffer
		status := cmds.Main(append([]string{"logs"}, args...), &out, &errOut)
		return out.String(), status
	}
	out, status := run("--upstream", "u1", a, b)
	is.Equal(status, 0)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 4)
	is.True(strings.Contains(lines[0], "replica: assign"))
	is.True(strings.Contains(lines[3], "1 lines could not be read"))
	out, status = run("--request", "r2", a, b)
	is.Equal(status, 0)
	is.True(strings.Contains(out, `"request":"r2"`))
	out, status = run("--key", "300", a, b)
	is.Equal(status, 0)
	is.True(strings.Contains(out, "assign"))
	_, status = run("--request", "r9", a, b)
	is.Equal(status, 1)
}
