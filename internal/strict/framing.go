package strict

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// framing is what the fields of a response say about the length of its content.
type framing struct {
	// length is 0 unless hasLength is true.
	length    int64
	hasLength bool
	chunked   bool
}

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// isField reports whether the name is the wanted one. It allocates no memory for most other names.
func isField(name []byte, wanted string) bool {
	return len(name) == len(wanted) && strings.EqualFold(string(name), wanted)
}

func isFramingField(name []byte) bool {
	return isField(name, contentLength) || isField(name, transferEncoding)
}

// add adds a field of the framing.
func (f *framing) add(name, value []byte) error {
	if isField(name, contentLength) {
		return f.addLength(value)
	}
	return f.addCoding(value)
}

func (f *framing) addLength(value []byte) error {
	text := string(bytes.TrimRight(value, " \t"))
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case f.hasLength:
		return invalid("more than one %s", contentLength)
	case err != nil, strings.Trim(text, "0123456789") != "":
		return invalid("%s %q", contentLength, value)
	}
	f.length, f.hasLength = n, true
	return nil
}

// addCoding accepts one coding only, since no request allows others.
func (f *framing) addCoding(value []byte) error {
	if f.chunked || !strings.EqualFold(string(bytes.TrimRight(value, " \t")), "chunked") {
		return invalid("%s %q", transferEncoding, value)
	}
	f.chunked = true
	return nil
}

// check returns an error if the fields contradict each other, the version or the status.
func (f *framing) check(minorVersion byte, status int) error {
	switch {
	case status == http.StatusSwitchingProtocols:
		return invalid("switch to a protocol that no request asked for")
	case f.chunked && minorVersion == '0':
		return invalid("%s in HTTP/1.0", transferEncoding)
	case f.chunked && f.hasLength:
		return invalid("both %s and %s", transferEncoding, contentLength)
	case f.chunked && (status < http.StatusOK || status == http.StatusNoContent), f.length > 0 && !mayHaveContent(status):
		return invalid("content after status %d", status)
	}
	return nil
}

// mayHaveContent reports whether a response with the status may announce content.
func mayHaveContent(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusResetContent
}
