package raft_test

import (
	"strings"
	"testing"

	"baobabreach/internal/raft"

	"github.com/matryer/is"
)

func newMember(id string) raft.Member { return raft.Member{ID: id, Host: id, Address: id} }

func memberIDs(ms []raft.Member) []string {
	out := []string{}
	for _, m := range ms {
		out = append(out, m.ID)
	}
	return out
}

// Guards against a group that does not replace a permanently lost voter, so that one more loss would stop it. Also
// guards against promoting a learner while no voter is lost, and removing a voter without which there is no majority.
func TestReplacementOfLostVoters(t *testing.T) {
	for _, c := range []struct {
		name string
		// The strings contain one letter per member. lost lists voters that are lost, gone learners that are to be removed,
		// and want the voters after the change.
		voters, learners, lost, gone string
		hasSynced                    bool
		want                         string
		wantChange                   bool
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
				ms.Voters = append(ms.Voters, newMember(string(id)))
			}
			for _, id := range c.learners {
				ms.Learners = append(ms.Learners, newMember(string(id)))
			}
			lost := func(id string) bool { return strings.Contains(c.lost, id) }
			next, change := ms.NextReplacement(raft.Replacement{
				TargetVoters: 3, HasSynced: func(string) bool { return c.hasSynced }, IsLost: lost,
				IsLive: func(id string) bool { return !lost(id) },
				IsGone: func(id string) bool { return strings.Contains(c.gone, id) },
			})
			is.Equal(change, c.wantChange)
			is.Equal(strings.Join(memberIDs(next.Voters), ""), c.want)
		})
	}
}

// Guards against a host that votes under two IDs after its disk was wiped.
func TestReplacementOfAWipedDisk(t *testing.T) {
	is := is.New(t)
	never := func(string) bool { return false }
	always := func(string) bool { return true }
	wiped := raft.Member{ID: "c2", Host: "c", Address: "c"}
	ms := raft.Members{Voters: []raft.Member{newMember("a"), newMember("b"), newMember("c")}, Learners: []raft.Member{wiped}}
	r := raft.Replacement{TargetVoters: 3, HasSynced: always, IsLive: always, IsLost: never, IsGone: never}
	ms, ok := ms.NextReplacement(r)
	is.True(ok)
	is.Equal(memberIDs(ms.Voters), []string{"a", "b", "c", "c2"})
	ms, ok = ms.NextReplacement(r)
	is.True(ok)
	is.Equal(memberIDs(ms.Voters), []string{"a", "b", "c2"})
}

// Guards against voters that are concentrated in one data centre, whose loss would stop the group, and against a group of
// five that stays at three voters and loses committed entries with two disks.
func TestVotersAreSpreadOverDataCentres(t *testing.T) {
	for _, c := range []struct {
		name string
		// A member is written as its data centre and a number. The leader is a1.
		voters, learners, want string
		wantChange             bool
	}{
		{"grows towards the target", "a1 b1 c1", "a2 d1", "a1 b1 c1 d1", true},
		{"prefers the emptiest data centre", "a1 a2 b1 c1", "a3 b2 e1", "a1 a2 b1 c1 e1", true},
		{"promotes before it removes", "a1 a2 b1 c1 d1", "e1", "a1 a2 b1 c1 d1 e1", true},
		{"removes from the fullest, never the leader", "a1 a2 b1 c1 d1 e1", "", "a1 b1 c1 d1 e1", true},
		{"is even", "a1 b1 c1 d1 e1", "a2 b2 e2", "a1 b1 c1 d1 e1", false},
		{"is as even as two data centres allow", "a1 a2 a3 b1 b2", "a4 b3", "a1 a2 a3 b1 b2", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			members := func(names string) []raft.Member {
				var out []raft.Member
				for _, name := range strings.Fields(names) {
					out = append(out, raft.Member{ID: name, Host: name, Address: name, DataCentre: name[:1]})
				}
				return out
			}
			always := func(string) bool { return true }
			never := func(string) bool { return false }
			next, change := raft.Members{Voters: members(c.voters), Learners: members(c.learners)}.NextReplacement(
				raft.Replacement{TargetVoters: 5, Leader: "a1", HasSynced: always, IsLive: always, IsLost: never, IsGone: never})
			is.Equal(change, c.wantChange)
			is.Equal(strings.Join(memberIDs(next.Voters), " "), c.want)
		})
	}
}
