package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(folder + "/record.txt")
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Main runs a case in its folder and exits: with 1 if run returns violations, with 0 if it returns none, and with 2 after an
// error. trouble is false if the environment has TROUBLE=0.
func Main(folder string, run func(r *Record, trouble bool) (violations []string, err error)) {
	r, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.Add("case %s, trouble %v", folder, trouble)
	violations, err := run(r, trouble)
	code := exitHeld
	switch {
	case err != nil:
		r.Add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = exitNotRun
	case len(violations) > 0:
		code = exitBroken
	}
	for _, v := range violations {
		r.Add("BROKEN %s", v)
		fmt.Println("BROKEN", v)
	}
	if code == exitHeld {
		r.Add("the rule held")
		fmt.Println("the rule held")
	}
	r.mu.Lock()
	_ = r.w.Flush()
	_ = r.file.Close()
	os.Exit(code)
}
