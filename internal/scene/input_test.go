package scene_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"baobabreach/internal/fleet"
	"baobabreach/pkg/proto"

	"github.com/rogpeppe/go-internal/testscript"
)

// sendInvalidInput implements "input HOST caller|control|operator METHOD PATH BODY STATUS CODE [HEADER=VALUE]...": it sends
// invalid input and expects a typed error with the outcome not_run. big:N as a body or header value is replaced by N
// letters.
func (s *scenario) sendInvalidInput(ctx context.Context, _ *testscript.TestScript, args []string) error {
	i := slices.IndexFunc(s.fleet.Hosts, func(h fleet.Host) bool { return h.Name == args[0] })
	h := s.fleet.Hosts[i]
	address := map[string]string{"caller": h.CallerAddress, "control": h.ControlAddress, "operator": h.OperatorAddress}[args[1]]
	req, err := http.NewRequestWithContext(ctx, args[2], "http://"+address+args[3], strings.NewReader(expandBig(args[4])))
	if err != nil {
		return err
	}
	for _, a := range args[7:] {
		k, v, _ := strings.Cut(a, "=")
		req.Header.Set(k, expandBig(v))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var e proto.Error
	if err := json.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("status %d, body %q is not a typed error: %w", resp.StatusCode, b, err)
	}
	if strconv.Itoa(resp.StatusCode) != args[5] || e.Status != resp.StatusCode || string(e.Code) != args[6] ||
		e.Message == "" || e.Outcome != proto.OutcomeNotRun {
		return fmt.Errorf("got status %d with body %s, want status %s, code %s, outcome not_run and a message",
			resp.StatusCode, b, args[5], args[6])
	}
	return nil
}

func expandBig(v string) string {
	count, ok := strings.CutPrefix(v, "big:")
	n, err := strconv.Atoi(count)
	if !ok || err != nil {
		return v
	}
	return strings.Repeat("x", n)
}
