package poison_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/poison"
)

// Guards against different requests that share a fingerprint, and against a repeated request that gets a new one.
func TestFingerprintsIdentifyContent(t *testing.T) {
	is := is.New(t)
	same := poison.Fingerprints("POST", "a.example", "/o/1", []byte("body"))
	is.Equal(poison.Fingerprints("POST", "A.example", "/o/1", []byte("body")), same)
	for _, other := range [][]string{
		poison.Fingerprints("GET", "a.example", "/o/1", []byte("body")),
		poison.Fingerprints("POST", "b.example", "/o/1", []byte("body")),
		poison.Fingerprints("POST", "a.example", "/o/1b", []byte("ody")),
		poison.Fingerprints("POST", "a.example", "/o/1", nil),
	} {
		is.True(!slices.Equal(other, same))
	}
	first, second := poison.Fingerprints("GET", "a", "/s?q=1", nil), poison.Fingerprints("GET", "a", "/s?q=2", nil)
	is.True(first[0] != second[0])
	is.Equal(first[1], second[1])
}
