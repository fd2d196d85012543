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
	if other := changingHost(s, host); other != "" {
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
		return known(false, "replica", host)
	}
	left, live := remaining(s, host)
	if left == 0 || live < left/2+1 {
		return proto.NotRun(CodeMembersUnsafe, http.StatusConflict,
			"without host %s, %d of %d replicas can be reached: no majority is left", host, live, left)
	}
	return nil
}

// changingHost returns a host other than the given one whose replica is joining, leaving or changing its disk, or "".
func changingHost(s *model.State, except string) string {
	voters := map[string]int{}
	for _, m := range s.Members {
		if m.Role == model.RoleVoter {
			voters[m.Host]++
		}
		changing := m.Role == model.RoleLearner || voters[m.Host] > 1 || (m.Role == model.RoleVoter && s.RemovedReplicas[m.Host])
		if changing && m.Host != except {
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

// remaining counts the voters on other hosts, and those of them that the leader reaches.
func remaining(s *model.State, without string) (voters, live int) {
	for _, m := range s.Members {
		if m.Role != model.RoleVoter || m.Host == without {
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
	left, live := remaining(s, host)
	switch tolerated := (left - 1) / 2; {
	case left == 1:
		out = append(out, "this leaves one replica of the settings: its loss stops all changes and loses them if its disk is lost")
	case tolerated == 0:
		out = append(out, fmt.Sprintf("this leaves %d replicas of the settings: the loss of one more stops all changes", left))
	case live < left:
		out = append(out, fmt.Sprintf("%d of the %d replicas left can't be reached", left-live, left))
	}
	for _, m := range s.Members {
		if m.Host == host && m.Leader {
			out = append(out, "host "+host+" leads: changes and orders wait for an election of up to 1 s")
		}
	}
	return out
}
