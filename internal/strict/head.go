package strict

import "net/http"

// CheckHead returns an error of type ErrInvalid if no final response has the status and the header.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return invalid("status %d", status)
	}
	for name, values := range h {
		if name == "" || !all(name, isTokenByte) {
			return invalid("field name %q", name)
		}
		for _, v := range values {
			if !all(v, isText) {
				return invalid("value %q of field %s", v, name)
			}
		}
	}
	return nil
}

// all reports whether each byte of the text is allowed.
func all(text string, allowed func(b byte) bool) bool {
	for i := range len(text) {
		if !allowed(text[i]) {
			return false
		}
	}
	return true
}
