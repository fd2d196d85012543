package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const maxLogLineBytes = 1 << 20

// logsCmd filters the logs of several daemons.
type logsCmd struct {
	Request  string   `help:"Show the lines of a request."`
	Upstream string   `help:"Show the lines of an upstream."`
	Range    uint64   `help:"Show the lines of a range."`
	Key      int      `help:"Show the changes of the range that holds a key of an ordered service." default:"-1"`
	Files    []string `arg:"" type:"existingfile" help:"Log files in JSON."`
}

// logLine is a log line with the time that it is sorted by.
type logLine struct {
	time   string
	fields map[string]any
	text   string
}

// Run prints the matching lines of all files in order of time. It returns an error if no line matches.
func (c logsCmd) Run(out io.Writer) error {
	var matched []logLine
	badLines := 0
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		lines, n, err := c.filter(f)
		_ = f.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		matched, badLines = append(matched, lines...), badLines+n
	}
	slices.SortStableFunc(matched, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range matched {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if badLines > 0 {
		if _, err := fmt.Fprintf(out, "%d lines could not be read\n", badLines); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if len(matched) == 0 {
		return errors.New("no log line matches the filter")
	}
	return nil
}

func (c logsCmd) filter(r io.Reader) (matched []logLine, badLines int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		// Log collectors may prefix the line with a time and a host.
		text := scanner.Text()
		if i := strings.IndexByte(text, '{'); i > 0 {
			text = text[i:]
		}
		l := logLine{text: text}
		if json.Unmarshal([]byte(text), &l.fields) != nil {
			badLines++
			continue
		}
		l.time, _ = l.fields["time"].(string)
		if c.matches(l.fields) {
			matched = append(matched, l)
		}
	}
	return matched, badLines, scanner.Err()
}

// matches reports whether a line satisfies every filter that is set.
func (c logsCmd) matches(fields map[string]any) bool {
	for k, want := range map[string]string{"request": c.Request, "upstream": c.Upstream} {
		if want != "" && fmt.Sprint(fields[k]) != want {
			return false
		}
	}
	if c.Range > 0 && toInt64(fields["range"]) != int64(c.Range) {
		return false
	}
	if c.Key >= 0 {
		first, last := toInt64(fields["first"]), toInt64(fields["last"])
		if first < 0 || int64(c.Key) < first || last < int64(c.Key) {
			return false
		}
	}
	return true
}

// toInt64 converts a decoded JSON number to an integer, rounding it. It returns -1 if v is no number or out of range.
func toInt64(v any) int64 {
	f, ok := v.(float64)
	if !ok {
		return -1
	}
	n, err := strconv.ParseInt(strconv.FormatFloat(f, 'f', 0, 64), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
