package cmds_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/cmds"
)

// Guards against exit statuses that scripts can't tell apart, and against a token that is not sent to the daemon.
func TestExitStatuses(t *testing.T) {
	is := is.New(t)
	token := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(token, []byte("secret\n"), 0o600))
	var status int
	var body, authorization string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization = r.Header.Get("Authorization")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	run := func(args ...string) (int, string) {
		var stdout, stderr bytes.Buffer
		code := cmds.Main(append(args, "--operator", server.Listener.Addr().String(), "--token-file", token), &stdout, &stderr)
		return code, stdout.String()
	}
	confirm := []string{"confirm", "01a24048-b3bb-73b3-816c-4f4ddc34a6bd", "--as", "ann"}
	for _, tc := range []struct {
		status int
		body   string
		code   int
	}{
		{200, `{"revision":7,"intent_id":"i","operator":"ann","changes":["c"],"version":9}`, 0},
		{404, `{"code":"not_found","status":404}`, 1},
		{502, `<html>`, 1},
		{409, `{"code":"conflict","status":409,"winner":{"operator":"bob"},"changes":[{"operator":"bob"}]}`, 3},
		{409, `{"code":"stale_plan","status":409}`, 3},
	} {
		status, body = tc.status, tc.body
		code, _ := run(confirm...)
		is.Equal(code, tc.code)
		is.Equal(authorization, "Bearer secret")
	}
	status, body = 409, `{"code":"conflict","status":409,"winner":{"operator":"bob"},"changes":[{"operator":"bob"}]}`
	code, out := run(append(confirm, "--json")...)
	is.Equal(code, 3)
	is.True(strings.Contains(out, `"code": "conflict"`) && strings.Contains(out, `"bob"`))
	code, _ = run("plan", "drain")
	is.Equal(code, 2)
	code, _ = run("plan", "limit", "t", "medium", "4")
	is.Equal(code, 2)
	is.NoErr(os.Chmod(token, 0o644))
	code, _ = run(confirm...)
	is.Equal(code, 1)
}
