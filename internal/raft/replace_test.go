package raft_test

import (
	"strings"
	"testing"

	"baobabreach/internal/raft"

	"github.com/matryer/is"
)

func member(id string) raft.Member { return raft.Member{ID: id, Host: id, Address: id} }

func names(ms []raft.Member) []string {
	out := []string{}
	for _, m := range ms {
		out = append(out, m.ID)
	}
	return out
}

// Guards against a group that stays one loss away from its end after a replica is gone for good, that counts a spare
// as a voter while nobody is lost, and that removes a voter it can't commit without.
func TestReplacementOfLostVoters(t *testing.T) {
	for _, c := range []struct {
		name string
		// voters, learners, lost, gone and want hold one letter for each member.
		voters, learners, lost, gone string
		ready                        bool
		want                         string
		change                       bool
	}{
		{"nobody is lost", "abc", "d", "", "", true, "abc", false},
		{"a spare is promoted first", "abc", "d", "c", "", true, "abcd", true},
		{"a spare that lags is not promoted", "abc", "d", "c", "", false, "abc", false},
		{"then the lost one is removed", "abcd", "", "c", "", true, "abd", true},
		{"no spare", "abc", "", "c", "", true, "abc", false},
		{"too few are live", "abcd", "", "bcd", "", true, "abcd", false},
		{"a silent learner is forgotten", "abc", "d", "", "d", true, "abc", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ms raft.Members
			for _, id := range c.voters {
				ms.Voters = append(ms.Voters, member(string(id)))
			}
			for _, id := range c.learners {
				ms.Learners = append(ms.Learners, member(string(id)))
			}
			lost := func(id string) bool { return strings.Contains(c.lost, id) }
			next, change := ms.NextReplacement(raft.Replacement{
				TargetVoters: 3, HasSynced: func(string) bool { return c.ready }, IsLost: lost,
				IsLive: func(id string) bool { return !lost(id) },
				IsGone: func(id string) bool { return strings.Contains(c.gone, id) },
			})
			is.Equal(change, c.change)
			is.Equal(strings.Join(names(next.Voters), ""), c.want)
		})
	}
}

// Guards against a host with an emptied disk that votes under two identities.
func TestReplacementOfAWipedDisk(t *testing.T) {
	is := is.New(t)
	never := func(string) bool { return false }
	always := func(string) bool { return true }
	wiped := raft.Member{ID: "c2", Host: "c", Address: "c"}
	ms := raft.Members{Voters: []raft.Member{member("a"), member("b"), member("c")}, Learners: []raft.Member{wiped}}
	r := raft.Replacement{TargetVoters: 3, HasSynced: always, IsLive: always, IsLost: never, IsGone: never}
	ms, ok := ms.NextReplacement(r)
	is.True(ok)
	is.Equal(names(ms.Voters), []string{"a", "b", "c", "c2"})
	ms, ok = ms.NextReplacement(r)
	is.True(ok)
	is.Equal(names(ms.Voters), []string{"a", "b", "c2"})
}
