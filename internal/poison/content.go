package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// fingerprintBytes is the length of a truncated hash. Callers can't construct a request with the fingerprint of another.
const fingerprintBytes = 16

// Fingerprints returns the hashes that identify the content of a request: one of all its parts and, if the target has a
// query, one without it, for requests that differ in insignificant parameters only.
func Fingerprints(method, host, target string, body []byte) []string {
	out := []string{fingerprint(method, host, target, body)}
	if path, _, hasQuery := strings.Cut(target, "?"); hasQuery {
		out = append(out, fingerprint(method, host, path, body))
	}
	return out
}

func fingerprint(method, host, target string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{method, strings.ToLower(host), target} {
		// Writes to a hash never fail.
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
