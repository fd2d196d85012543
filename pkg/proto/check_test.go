package proto_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabreach/pkg/proto"
)

// Guards against announcements with unusable fields entering the replicated state.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	valid := proto.Announcement{
		Name: "cat-1", Address: "127.0.0.1:80", DataCentre: "a", Service: "catalogue", Slots: 3, Incarnation: 1,
	}
	is.New(t).NoErr(valid.Validate())
	for name, change := range map[string]func(*proto.Announcement){
		"empty name":        func(a *proto.Announcement) { a.Name = "" },
		"name with a slash": func(a *proto.Announcement) { a.Name = "a/b" },
		"inner space":       func(a *proto.Announcement) { a.Name = "a b" },
		"service":           func(a *proto.Announcement) { a.Service = "?" },
		"data centre":       func(a *proto.Announcement) { a.DataCentre = "" },
		"host name":         func(a *proto.Announcement) { a.Address = "upstream:80" },
		"no port":           func(a *proto.Announcement) { a.Address = "127.0.0.1" },
		"no slots":          func(a *proto.Announcement) { a.Slots = 0 },
		"too many slots":    func(a *proto.Announcement) { a.Slots = 10_001 },
		"no incarnation":    func(a *proto.Announcement) { a.Incarnation = 0 },
		"negative load":     func(a *proto.Announcement) { a.InFlight = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := valid
			change(&a)
			is.True(a.Validate() != nil)
		})
	}
}
