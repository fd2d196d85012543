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

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// logsCmd filters the logs of several daemons.
type logsCmd struct {
	Request  string   `help:"Show the lines of a request."`
	Upstream string   `help:"Show the lines of an upstream."`
	Range    uint64   `help:"Show the lines of a range."`
	Key      int      `help:"Show the changes of the range that holds a key of an ordered service." default:"-1"`
	Files    []string `arg:"" type:"existingfile" help:"Log files in JSON."`
}

// logLine is a line with the time that it is sorted by.
type logLine struct {
	time   string
	fields map[string]any
	text   string
}

// Run prints the lines that match, in the order of their times over all files. It fails if none does.
func (c logsCmd) Run(out io.Writer) error {
	var found []logLine
	unreadable := 0
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		lines, bad, err := c.filter(f)
		_ = f.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		found, unreadable = append(found, lines...), unreadable+bad
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range found {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if unreadable > 0 {
		if _, err := fmt.Fprintf(out, "%d lines could not be read\n", unreadable); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if len(found) == 0 {
		return errors.New("no line matches")
	}
	return nil
}

func (c logsCmd) filter(r io.Reader) (found []logLine, unreadable int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		// A collector may put a time and a host before the line.
		text := s.Text()
		if i := strings.IndexByte(text, '{'); i > 0 {
			text = text[i:]
		}
		l := logLine{text: text}
		if json.Unmarshal([]byte(text), &l.fields) != nil {
			unreadable++
			continue
		}
		l.time, _ = l.fields["time"].(string)
		if c.matches(l.fields) {
			found = append(found, l)
		}
	}
	return found, unreadable, s.Err()
}

// matches tells whether a line has every value that was asked for.
func (c logsCmd) matches(fields map[string]any) bool {
	for k, want := range map[string]string{"request": c.Request, "upstream": c.Upstream} {
		if want != "" && fmt.Sprint(fields[k]) != want {
			return false
		}
	}
	if c.Range > 0 && number(fields["range"]) != int64(c.Range) {
		return false
	}
	if c.Key >= 0 {
		first, last := number(fields["first"]), number(fields["last"])
		if first < 0 || int64(c.Key) < first || last < int64(c.Key) {
			return false
		}
	}
	return true
}

// number returns a whole number of a line, or -1.
func number(v any) int64 {
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
