package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"baobabreach/internal/errs"
	"baobabreach/internal/intent"
	"baobabreach/internal/peer"
	"baobabreach/internal/strict"

	"github.com/go-faster/errors"
)

// clientTimeout exceeds the daemon's own time limit for a command, so that its typed response arrives in time.
const clientTimeout = 5 * time.Second

// target is the daemon that a command is sent to. Every daemon of the fleet can serve it.
type target struct {
	Operator  string `default:"127.0.0.1:7102" env:"BAOBABREACH_OPERATOR" help:"Operator IP:port of a daemon."`
	TokenFile string `env:"BAOBABREACH_TOKEN_FILE" help:"File with the operator token, mode 0600." type:"path"`
	JSON      bool   `name:"json" help:"Print JSON for programs."`
}

func (t target) token() (string, error) {
	if t.TokenFile == "" {
		return "", nil
	}
	info, err := os.Stat(t.TokenFile)
	if err != nil {
		return "", errors.Wrap(err, "stat token file")
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", errors.Errorf("%s: expected mode 0600, found %04o", t.TokenFile, info.Mode().Perm())
	}
	content, err := os.ReadFile(t.TokenFile)
	return strings.TrimSpace(string(content)), errs.Wrap(err, "read token file")
}

// callDaemon sends one request and decodes the response. A refusal by the daemon is returned as *intent.Refusal.
func callDaemon[R any](t target, method, path string, body any) (R, error) {
	var result R
	token, err := t.token()
	if err != nil {
		return result, err
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return result, errors.Wrap(err, "encode request")
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Operator+path, bytes.NewReader(encoded))
	if err != nil {
		return result, errors.Wrap(err, "create request")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	client := http.Client{Transport: strict.NewTransport(&http.Transport{
		Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true,
	})}
	resp, err := client.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "send request to daemon")
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, peer.MaxRaftBytes))
	if err != nil {
		return result, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		var refusal intent.Refusal
		if err := json.Unmarshal(respBody, &refusal); err != nil || refusal.Code == "" {
			return result, errors.Errorf("daemon responded with status %d and no error code", resp.StatusCode)
		}
		return result, &refusal
	}
	return result, errs.Wrap(json.Unmarshal(respBody, &result), "decode answer")
}

// printResult prints v as JSON, or as text by the given function.
func printResult(out io.Writer, asJSON bool, v any, text func(w io.Writer)) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return errs.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	text(w)
	return errs.Wrap(w.Flush(), "print")
}

// printRefusal prints the changes that a refusal lists, if any, and returns err for the exit status.
func printRefusal(out io.Writer, asJSON bool, err error) error {
	var refusal *intent.Refusal
	if !errors.As(err, &refusal) || (!asJSON && len(refusal.Changes) == 0) {
		return err
	}
	if printErr := printResult(out, asJSON, refusal, func(w io.Writer) {
		writeRow(w, "REVISION", "OPERATOR", "INTENT", "CHANGES")
		for _, c := range refusal.Changes {
			writeRow(w, c.Revision, c.Operator, c.IntentID, strings.Join(c.Changes, "; "))
		}
		if refusal.Omitted > 0 {
			writeRow(w, fmt.Sprintf("%d earlier changes are no longer listed", refusal.Omitted))
		}
	}); printErr != nil {
		return printErr
	}
	return err
}

func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}
