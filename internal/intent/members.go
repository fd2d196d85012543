package intent

import (
	"fmt"
	"net/http"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// validateMembers checks a change of replicas against the leader's view of the group.
func validateMembers(c Members, s *model.State) *proto.Error {
	host := c.Add + c.Remove
	if other := otherChangingHost(s, host); other != "" {
		return proto.NotRun(CodeMembersChanging, http.StatusConflict, "the replica of host %s is still joining or leaving", other)
	}
	role := roleOf(s, host)
	switch {
	case c.Add != "" && role == "":
		return notSupported("host " + host + " is not one of the replicas in the settings; replicas on other hosts can't join yet")
	case c.Add != "" && role != model.RoleNone && s.RemovedReplicas[host]:
		return proto.NotRun(CodeMembersChanging, http.StatusConflict, "the replica of host %s is still leaving", host)
	case c.Add != "":
		return nil
	case role == "" || (role == model.RoleNone && s.RemovedReplicas[host]):
		return requireFound(false, "replica", host)
	}
	voters, live := remainingVoters(s, host)
	if voters == 0 || live < voters/2+1 {
		return proto.NotRun(CodeMembersUnsafe, http.StatusConflict,
			"without host %s, %d of %d replicas can be reached: no majority is left", host, live, voters)
	}
	return nil
}

// otherChangingHost returns a host other than the given one whose replica is joining, leaving or replacing its disk, or "".
func otherChangingHost(s *model.State, host string) string {
	voters := map[string]int{}
	for _, m := range s.Members {
		if m.Role == model.RoleVoter {
			voters[m.Host]++
		}
		changing := m.Role == model.RoleLearner || voters[m.Host] > 1 || (m.Role == model.RoleVoter && s.RemovedReplicas[m.Host])
		if changing && m.Host != host {
			return m.Host
		}
	}
	return ""
}

// roleOf returns the role of the host's replica, or "" if the host is neither a member nor in the settings.
func roleOf(s *model.State, host string) model.MemberRole {
	role := model.MemberRole("")
	for _, m := range s.Members {
		if m.Host == host && role != model.RoleVoter {
			role = m.Role
		}
	}
	return role
}

// remainingVoters counts the voters on hosts other than the excluded one, and how many of them the leader can reach.
func remainingVoters(s *model.State, excluded string) (voters, live int) {
	for _, m := range s.Members {
		if m.Role != model.RoleVoter || m.Host == excluded {
			continue
		}
		voters++
		if m.Live {
			live++
		}
	}
	return voters, live
}

func describeMembers(c Members, before, after *model.State) []string {
	host := c.Add + c.Remove
	if before.RemovedReplicas[host] == after.RemovedReplicas[host] {
		return []string{}
	}
	if c.Add != "" {
		return []string{fmt.Sprintf("replica %s: removed -> may join", host)}
	}
	return []string{fmt.Sprintf("replica %s: %s -> removed", host, roleOf(before, host))}
}

func memberWarnings(c Members, s *model.State) []string {
	host := c.Add + c.Remove
	if c.Add != "" {
		return []string{"the replica joins once its daemon is started with an empty data folder"}
	}
	out := []string{}
	voters, live := remainingVoters(s, host)
	switch toleratedLosses := (voters - 1) / 2; {
	case voters == 1:
		out = append(out, "this leaves one replica of the settings: its loss stops all changes and loses them if its disk is lost")
	case toleratedLosses == 0:
		out = append(out, fmt.Sprintf("this leaves %d replicas of the settings: the loss of one more stops all changes", voters))
	case live < voters:
		out = append(out, fmt.Sprintf("%d of the %d replicas left can't be reached", voters-live, voters))
	}
	for _, m := range s.Members {
		if m.Host == host && m.Leader {
			out = append(out, "host "+host+" leads: changes and orders wait for an election of up to 1 s")
		}
	}
	return out
}
