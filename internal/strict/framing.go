package strict

import (
	"net/http"
	"strconv"
	"strings"
)

// framing is what the fields of a response say about the length of its content.
type framing struct {
	// length is nil without a Content-Length.
	length  *int64
	chunked bool
}

// add adds a field, whose value has no white space around it.
func (f *framing) add(name, value string) error {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if f.length != nil {
			return invalid("more than one Content-Length")
		}
		n, err := parseLength(value)
		f.length = &n
		return err
	case strings.EqualFold(name, "Transfer-Encoding"):
		// No request allows other codings.
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return invalid("Transfer-Encoding %q", value)
		}
		f.chunked = true
	}
	return nil
}

func parseLength(value string) (int64, error) {
	if strings.Trim(value, "0123456789") != "" {
		return 0, invalid("Content-Length %q", value)
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, invalid("Content-Length %q", value)
	}
	return n, nil
}

// check returns an error if the fields contradict each other, the version or the status.
func (f *framing) check(minorVersion byte, status int) error {
	hasContent := f.chunked || f.length != nil && *f.length > 0
	switch {
	case status == http.StatusSwitchingProtocols:
		return invalid("switch to a protocol that no request asked for")
	case f.chunked && minorVersion == '0':
		return invalid("Transfer-Encoding in HTTP/1.0")
	case f.chunked && f.length != nil:
		return invalid("both Transfer-Encoding and Content-Length")
	case hasContent && (status < http.StatusOK || status == http.StatusNoContent):
		return invalid("content after status %d", status)
	case status == http.StatusResetContent && f.length != nil && *f.length > 0:
		return invalid("content after status %d", status)
	}
	return nil
}
