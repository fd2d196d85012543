package strict

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid is the cause of an error about bytes that no response has by RFC 9110 and 9112.
var ErrInvalid = errors.New("invalid response")

func invalid(format string, args ...any) error {
	return errors.Wrap(ErrInvalid, fmt.Sprintf(format, args...))
}

// step checks the next byte of a response and returns the step for the byte after it.
type step func(p *parser, b byte) (step, error)

// parser checks the bytes of a response by the grammar that RFC 9112 sets for senders. What recipients may tolerate is an
// error too: a parser that reads such a response in another way finds other fields or another body.
type parser struct {
	// next is nil while no response is expected, and for content that has no form to check.
	next step
	// toHead is true if the request has the method HEAD.
	toHead bool
	// position is the number of bytes of the status line that have been checked.
	position int
	// minorVersion is a digit.
	minorVersion byte
	status       int
	// name is that of the field line; only the start of a long one is kept. value is that of a field of the framing, without
	// leading white space and with at most one byte of it in a row.
	name, value []byte
	framing     framing
	// chunkBytes is the size of the present chunk. inTrailer is true after the last one.
	chunkBytes int64
	inTrailer  bool
	// content is the number of bytes of content before the next step, or untilClose.
	content int64
}

// untilClose is the length of content that ends with the connection.
const untilClose = -1

// begin starts the check of the next response.
func (p *parser) begin(toHead bool) {
	*p = parser{next: statusLine, toHead: toHead, name: p.name, value: p.value}
}

// atStart reports whether no byte of the response has been checked.
func (p *parser) atStart() bool { return p.next != nil && p.position == 0 }

// check returns the number of bytes before the first invalid one, and the error for that one. It stops at the end of the
// response.
func (p *parser) check(b []byte) (int, error) {
	for i := 0; i < len(b); {
		switch {
		case p.content == untilClose:
			return len(b), nil
		case p.content > 0:
			n := min(int64(len(b)-i), p.content)
			p.content -= n
			i += int(n)
			continue
		case p.next == nil:
			return i, nil
		}
		var err error
		if p.next, err = p.next(p, b[i]); err != nil {
			return i, err
		}
		i++
	}
	return len(b), nil
}

// versionPrefix is the version of all responses without the minor number, which does not change how they are read.
const versionPrefix = "HTTP/1."

// Positions in a status line.
const (
	minorVersionAt    = len(versionPrefix)
	spaceBeforeStatus = minorVersionAt + 1
	firstDigitAt      = spaceBeforeStatus + 1
	lastDigitAt       = firstDigitAt + 2
	spaceAfterStatus  = lastDigitAt + 1
)

// Status codes outside of these bounds are invalid.
const (
	minStatus = 100
	maxStatus = 599
)

func statusLine(p *parser, b byte) (step, error) {
	at := p.position
	p.position++
	ok := false
	switch {
	case at < minorVersionAt:
		ok = b == versionPrefix[at]
	case at == minorVersionAt:
		p.minorVersion, ok = b, isDigit(b)
	case at == spaceBeforeStatus, at == spaceAfterStatus:
		ok = b == ' '
	case at <= lastDigitAt:
		p.status = 10*p.status + int(b-'0')
		ok = isDigit(b) && (at < lastDigitAt || p.status >= minStatus && p.status <= maxStatus)
	case b == '\r':
		return endOfStatusLine, nil
	default:
		ok = isText(b)
	}
	if !ok {
		return nil, invalid("byte %q at %d in the status line", b, at)
	}
	return statusLine, nil
}

func endOfStatusLine(_ *parser, b byte) (step, error) {
	if b != '\n' {
		return nil, invalid("status line ends with %q", b)
	}
	return fieldLine, nil
}

// Limits of what is kept of a field line. A name of maxNameBytes is longer than those of the framing.
const (
	maxNameBytes  = 32
	maxValueBytes = 1 << 10
)

// fieldLine checks the first byte of a field line, or of the empty line after the last one.
func fieldLine(p *parser, b byte) (step, error) {
	switch {
	case b == '\r':
		return endOfSection, nil
	case isTokenByte(b):
		p.name, p.value = append(p.name[:0], b), p.value[:0]
		return fieldName, nil
	}
	return nil, invalid("field line begins with %q", b)
}

func fieldName(p *parser, b byte) (step, error) {
	switch {
	case b == ':' && isFramingField(p.name):
		return framingValue, nil
	case b == ':':
		return fieldValue, nil
	case isTokenByte(b):
		if len(p.name) < maxNameBytes {
			p.name = append(p.name, b)
		}
		return fieldName, nil
	}
	return nil, invalid("byte %q in a field name", b)
}

func fieldValue(p *parser, b byte) (step, error) {
	switch {
	case b == '\r':
		return endOfField, nil
	case isText(b):
		return fieldValue, nil
	}
	return nil, invalid("byte %q in a field value", b)
}

// framingValue checks the value of a field of the framing, and keeps it.
func framingValue(p *parser, b byte) (step, error) {
	switch {
	case isSpace(b) && (len(p.value) == 0 || isSpace(p.value[len(p.value)-1])):
		return framingValue, nil
	case len(p.value) == maxValueBytes:
		return nil, invalid("%s is too long", p.name)
	case isText(b):
		p.value = append(p.value, b)
		return framingValue, nil
	}
	return fieldValue(p, b)
}

func endOfField(p *parser, b byte) (step, error) {
	if b != '\n' {
		return nil, invalid("field line ends with %q", b)
	}
	switch {
	case !isFramingField(p.name):
		return fieldLine, nil
	case p.inTrailer:
		return nil, invalid("%s in a trailer", p.name)
	}
	return fieldLine, p.framing.add(p.name, p.value)
}

func endOfSection(p *parser, b byte) (step, error) {
	switch {
	case b != '\n':
		return nil, invalid("header section ends with %q", b)
	case p.inTrailer:
		return nil, nil
	}
	if err := p.framing.check(p.minorVersion, p.status); err != nil {
		return nil, err
	}
	if p.status < http.StatusOK {
		// The final response follows.
		p.begin(p.toHead)
		return p.next, nil
	}
	if p.toHead || p.status == http.StatusNoContent || p.status == http.StatusNotModified {
		return nil, nil
	}
	return p.beginContent(), nil
}

// beginContent returns the first step after the header section of a response that has content.
func (p *parser) beginContent() step {
	switch {
	case p.framing.hasLength:
		p.content = p.framing.length
		return nil
	case p.framing.chunked:
		return chunkSize
	case p.status == http.StatusResetContent:
		return noContent
	}
	p.content = untilClose
	return nil
}

// noContent is the step in a response that ends with the connection and must not have content.
func noContent(p *parser, _ byte) (step, error) {
	return nil, invalid("content after status %d", p.status)
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isSpace(b byte) bool { return b == ' ' || b == '\t' }

// isText reports whether b may be in a field value or reason phrase.
func isText(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isTokenByte reports whether b may be in a token, such as a field name.
func isTokenByte(b byte) bool {
	return isDigit(b) || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
