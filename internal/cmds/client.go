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

	"github.com/go-faster/errors"
)

// clientTimeout is longer than the daemon's own bound on a command, so that its typed answer arrives.
const clientTimeout = 5 * time.Second

// target is the daemon that a command talks to. Any daemon will do.
type target struct {
	Operator  string `default:"127.0.0.1:7102" env:"BAOBABREACH_OPERATOR" help:"Operator IP:port of a daemon."`
	TokenFile string `env:"BAOBABREACH_TOKEN_FILE" help:"File with the operator token, mode 0600." type:"path"`
	JSON      bool   `name:"json" help:"Print JSON for programs."`
}

func (t target) token() (string, error) {
	if t.TokenFile == "" {
		return "", nil
	}
	st, err := os.Stat(t.TokenFile)
	if err != nil {
		return "", errors.Wrap(err, "stat token file")
	}
	if st.Mode().Perm()&0o077 != 0 {
		return "", errors.Errorf("%s: expected mode 0600, found %04o", t.TokenFile, st.Mode().Perm())
	}
	b, err := os.ReadFile(t.TokenFile)
	return strings.TrimSpace(string(b)), errs.Wrap(err, "read token file")
}

// call sends one request. A refusal of the daemon is returned as *intent.Refusal.
func call[R any](t target, method, path string, body any) (R, error) {
	var a R
	token, err := t.token()
	if err != nil {
		return a, err
	}
	b, err := json.Marshal(body)
	if err != nil {
		return a, errors.Wrap(err, "encode request")
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Operator+path, bytes.NewReader(b))
	if err != nil {
		return a, errors.Wrap(err, "make request")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, errors.Wrap(err, "ask daemon")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, peer.MaxRaftBytes))
	if err != nil {
		return a, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		var r intent.Refusal
		if err := json.Unmarshal(answer, &r); err != nil || r.Code == "" {
			return a, errors.Errorf("the daemon answered status %d", resp.StatusCode)
		}
		return a, &r
	}
	return a, errs.Wrap(json.Unmarshal(answer, &a), "decode answer")
}

// show prints v as JSON, or as text with the given function.
func show(out io.Writer, asJSON bool, v any, text func(w io.Writer)) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return errs.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	text(w)
	return errs.Wrap(w.Flush(), "print")
}

// refuse prints what a refusal lists, and returns it for the exit status.
func refuse(out io.Writer, asJSON bool, err error) error {
	var r *intent.Refusal
	if !errors.As(err, &r) || (!asJSON && len(r.Changes) == 0) {
		return err
	}
	if perr := show(out, asJSON, r, func(w io.Writer) {
		row(w, "REVISION", "OPERATOR", "INTENT", "CHANGES")
		for _, c := range r.Changes {
			row(w, c.Revision, c.Operator, c.IntentID, strings.Join(c.Changes, "; "))
		}
		if r.Omitted > 0 {
			row(w, fmt.Sprintf("%d earlier changes are no longer listed", r.Omitted))
		}
	}); perr != nil {
		return perr
	}
	return err
}

func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}
