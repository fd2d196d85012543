package stub_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/stub"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

func startUpstream(t *testing.T, f stub.Faults, record io.Writer, exit func()) string {
	t.Helper()
	startTime := time.Now()
	s := httptest.NewServer(stub.New(stub.Config{
		Name: "u", Slots: 3, Faults: f, Record: record, Exit: exit, Clock: func() time.Duration { return time.Since(startTime) },
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// send returns the status and the request ID of the response, and the error of the request or of reading the body.
func send(t *testing.T, url, body string) (int, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(proto.HeaderRequestID, "id-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(proto.HeaderRequestID), err
}

// Guards against a configured fault that is not injected, so that a scenario passes without its fault, and against
// executions missing from the record or refusals written to it.
func TestFaultsChangeResponse(t *testing.T) {
	for name, c := range map[string]struct {
		faults     stub.Faults
		status     int
		id         string
		wantErr    bool
		executions int
	}{
		"none":     {stub.Faults{}, 200, "id-1", false, 1},
		"shed":     {stub.Faults{ShedShare: 1}, 503, "id-1", false, 0},
		"fail":     {stub.Faults{FailShare: 1}, 500, "id-1", false, 1},
		"cross":    {stub.Faults{CrossShare: 1}, 200, "crossed-id-1", false, 1},
		"truncate": {stub.Faults{TruncateShare: 1}, 200, "id-1", true, 1},
		"reset":    {stub.Faults{ResetShare: 1}, 0, "", true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var record bytes.Buffer
			status, id, err := send(t, startUpstream(t, c.faults, &record, nil), "")
			is.Equal(err != nil, c.wantErr)
			if name != "reset" { // the client may see the reset before the headers
				is.Equal(status, c.status)
				is.Equal(id, c.id)
			}
			is.Equal(bytes.Count(record.Bytes(), []byte("\n")), c.executions)
			var x stub.Execution
			if c.executions > 0 {
				is.NoErr(json.Unmarshal(record.Bytes(), &x))
				is.Equal(x.RequestID, "id-1")
			}
		})
	}
}

// Guards against a crash on a body without CrashBody, and against a crash that is missing from the record.
func TestCrashOnBody(t *testing.T) {
	is := is.New(t)
	var record bytes.Buffer
	exits := 0
	url := startUpstream(t, stub.Faults{CrashBody: "poison"}, &record, func() {
		exits++
		panic(http.ErrAbortHandler)
	})
	_, _, err := send(t, url, "harmless")
	is.NoErr(err)
	is.Equal(exits, 0)
	_, _, err = send(t, url, "some poison")
	is.True(err != nil)
	is.Equal(exits, 1)
	is.Equal(bytes.Count(record.Bytes(), []byte("\n")), 2)
}

// Guards against a frozen stub that responds, or that stays frozen after its faults were replaced.
func TestFreezeDelaysResponses(t *testing.T) {
	is := is.New(t)
	url := startUpstream(t, stub.Faults{Freeze: true}, nil, nil)
	done := make(chan int, 1)
	go func() {
		status, _, _ := send(t, url, "")
		done <- status
	}()
	resp, err := http.Post(url+stub.PathFault, "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(<-done, 200)
}
