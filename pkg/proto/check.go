package proto

import (
	"net/http"
	"net/netip"
	"strings"
)

const (
	maxSlots     = 10_000
	maxNameBytes = 64
	nameChars    = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// IsName reports whether s is a valid name of an upstream, service, host or data centre.
func IsName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.Trim(s, nameChars) == ""
}

// Validate returns an error of type *Error with CodeBadRequest if a field is out of range.
func (a Announcement) Validate() error {
	switch {
	case !IsName(a.Name):
		return invalidAnnouncement("a name of letters, digits, '-' and '_'")
	case !IsName(a.Service):
		return invalidAnnouncement("a service of letters, digits, '-' and '_'")
	case !IsName(a.DataCentre):
		return invalidAnnouncement("a data_centre of letters, digits, '-' and '_'")
	case !isUnicast(a.Address):
		return invalidAnnouncement("an address such as 10.0.0.1:8080")
	case a.Slots < 1 || a.Slots > maxSlots:
		return invalidAnnouncement("slots from 1 to 10000")
	case a.Incarnation == 0:
		return invalidAnnouncement("an incarnation above 0")
	case a.InFlight < 0:
		return invalidAnnouncement("in_flight of at least 0")
	}
	return nil
}

// isUnicast reports whether an address can be that of a single process.
func isUnicast(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func invalidAnnouncement(expected string) *Error {
	return NotRun(CodeBadRequest, http.StatusBadRequest, "announcement: expected %s", expected)
}
