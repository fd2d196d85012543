package scene_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"baobabreach/internal/fleet"
	"baobabreach/internal/intent"
	"baobabreach/internal/model"
	"baobabreach/internal/opapi"

	"github.com/rogpeppe/go-internal/testscript"
)

// runCLI runs the command line against a host and returns its output and exit status. It retries while there is no leader.
func (s *scenario) runCLI(ctx context.Context, host string, args ...string) (text string, status int, err error) {
	h, err := s.fleet.Host(host)
	if err != nil {
		return "", 0, err
	}
	err = fleet.Wait(ctx, func(ctx context.Context) error {
		var out bytes.Buffer
		args := append(args, "--operator", h.OperatorAddress, "--token-file", s.fleet.TokenFile(host))
		c := exec.CommandContext(ctx, "../../bin/baobabreach", args...)
		c.Stdout, c.Stderr = &out, &out
		err := c.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			return err
		}
		text, status = out.String(), c.ProcessState.ExitCode()
		if strings.Contains(text, "no_leader") {
			return errors.New(text)
		}
		return nil
	})
	return text, status, err
}

func checkMatch(text, pattern string) error {
	ok, err := regexp.MatchString(pattern, text)
	if err == nil && !ok {
		err = fmt.Errorf("output does not match %q:\n%s", pattern, text)
	}
	return err
}

// plan implements "plan NAME HOST OPERATOR PATTERN CHANGE...": it plans a change, and the output must match PATTERN.
// "leader" as the last word of CHANGE stands for the host of the leader; later steps refer to this host as "lost".
func (s *scenario) plan(ctx context.Context, _ *testscript.TestScript, args []string) error {
	s.intentIDs[args[0]] = fleet.NewIntentID()
	a := append([]string{"plan"}, args[4:]...)
	if last := len(a) - 1; a[last] == "leader" {
		n, err := s.resolveName(ctx, a[last])
		if err != nil {
			return err
		}
		a[last], s.lastLost = n, n
	}
	text, _, err := s.runCLI(ctx, args[1], append(a, "--as", args[2], "--id", s.intentIDs[args[0]])...)
	if err != nil {
		return err
	}
	return checkMatch(text, args[3])
}

// confirm implements "confirm NAME HOST OPERATOR": it confirms a plan. Every confirmation of one plan must return the same
// output.
func (s *scenario) confirm(ctx context.Context, _ *testscript.TestScript, args []string) error {
	text, status, err := s.runCLI(ctx, args[1], "confirm", s.intentIDs[args[0]], "--as", args[2], "--json")
	if err != nil {
		return err
	}
	if status != 0 {
		return fmt.Errorf("exit status %d: %s", status, text)
	}
	if first, ok := s.firstAnswers[args[0]]; ok && first != text {
		return fmt.Errorf("confirmations differ: the first returned\n%s\nthis one\n%s", first, text)
	}
	s.firstAnswers[args[0]] = text
	return s.recordRevision(ctx, args[1])
}

// recordRevision updates the newest known revision. Revisions only increase, so an outdated status does not change it.
func (s *scenario) recordRevision(ctx context.Context, host string) error {
	st, err := s.fleet.Status(ctx, host)
	if err == nil && st.Fleet != nil {
		s.revision = max(s.revision, st.Fleet.Revision)
	}
	return err
}

// race implements "race NAME HOST OPERATOR NAME HOST OPERATOR": it confirms two plans concurrently. Exactly one must
// succeed, and the other must report a conflict that names the successful plan and its operator.
func (s *scenario) race(ctx context.Context, _ *testscript.TestScript, args []string) error {
	type answer struct {
		text   string
		status int
		err    error
	}
	var answers [2]answer
	done := make(chan struct{})
	for i := range answers {
		go func() {
			a := &answers[i]
			a.text, a.status, a.err = s.runCLI(ctx, args[3*i+1], "confirm", s.intentIDs[args[3*i]], "--as", args[3*i+2])
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	if err := errors.Join(answers[0].err, answers[1].err); err != nil {
		return err
	}
	winner := slices.IndexFunc(answers[:], func(a answer) bool { return a.status == 0 })
	if winner < 0 || answers[1-winner].status != 3 {
		return fmt.Errorf("got %+v, want one success and one conflict", answers)
	}
	return checkMatch(answers[1-winner].text, "conflict.*"+s.intentIDs[args[3*winner]]+" of "+args[3*winner+2])
}

// confirmThenKill implements "lose-answer NAME HOST OPERATOR": it confirms a plan through a host that is killed as soon as
// another host has the change. The result of the confirmation is ignored.
func (s *scenario) confirmThenKill(ctx context.Context, _ *testscript.TestScript, args []string) error {
	before, err := s.fleet.Local(ctx, args[1])
	if err != nil {
		return err
	}
	h, err := s.fleet.Host(args[1])
	if err != nil {
		return err
	}
	c := exec.Command("../../bin/baobabreach", "confirm", s.intentIDs[args[0]], "--as", args[2],
		"--operator", h.OperatorAddress, "--token-file", s.fleet.TokenFile(args[1]))
	if err := c.Start(); err != nil {
		return err
	}
	err = fleet.Wait(ctx, func(ctx context.Context) error {
		l, err := s.fleet.Local(ctx, s.fleet.Hosts[0].Name)
		if err == nil && l.Revision <= before.Revision {
			err = fmt.Errorf("revision %d is not in force yet", l.Revision+1)
		}
		return err
	})
	s.lastLost = args[1]
	err = errors.Join(err, s.fleet.Kill(args[1]))
	_ = c.Wait()
	return err
}

// changes implements "changes N HOST": it plans and confirms N changes of a limit.
func (s *scenario) changes(ctx context.Context, _ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	host, err := s.resolveName(ctx, args[1])
	if err != nil {
		return err
	}
	for i := range n {
		in := intent.Intent{Limit: &intent.Limit{Tenant: "tenant", Class: model.ClassLong, PerSecond: float64(i + 1)}}
		if err := fleet.Wait(ctx, func(ctx context.Context) error {
			r, err := s.fleet.Change(ctx, host, in)
			s.revision = max(s.revision, r)
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// operator implements "operator HOST PATTERN ARGUMENT...": it runs the command line until its output matches PATTERN.
func (s *scenario) operator(ctx context.Context, _ *testscript.TestScript, args []string) error {
	return fleet.Wait(ctx, func(ctx context.Context) error {
		text, _, err := s.runCLI(ctx, args[0], args[2:]...)
		if err != nil {
			return err
		}
		return checkMatch(text, args[1])
	})
}

// expectFleetState implements "expect newest|current HOST", "expect idle|busy UPSTREAM..." and "expect role HOST ROLE".
func (s *scenario) expectFleetState(ctx context.Context, args []string) error {
	switch args[0] {
	case "newest":
		return s.expectNewestRevision(ctx, args[1])
	case "current":
		return s.expectCurrentRevision(ctx, args[1])
	case "idle", "busy":
		for _, u := range args[1:] {
			if err := s.expectWork(ctx, u, args[0] == "busy"); err != nil {
				return err
			}
		}
		return nil
	case "role":
		host, err := s.resolveName(ctx, args[1])
		if err != nil {
			return err
		}
		args[1] = host
		return s.expectRole(ctx, args[1], model.MemberRole(args[2]))
	}
	return unknownExpectation(args[0])
}

// expectNewestRevision waits until a host that was started after the newest change is ready. It must not become ready with
// an earlier revision.
func (s *scenario) expectNewestRevision(ctx context.Context, host string) error {
	// Polls without a delay: a start takes less time than the interval of fleet.Wait, which would miss an early readiness.
	for {
		err := s.fleet.CheckReady(ctx, host)
		if err == nil {
			// Revisions only increase, so the host became ready with this revision or an earlier one.
			l, err := s.fleet.Local(ctx, host)
			if err == nil && l.Revision < s.revision {
				err = fmt.Errorf("%s is ready with revision %d, the newest is %d", host, l.Revision, s.revision)
			}
			s.seenRevisions[host] = l.Revision
			return err
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

// expectCurrentRevision waits until a running host has the newest revision. It must not revert to an earlier one.
func (s *scenario) expectCurrentRevision(ctx context.Context, host string) error {
	var errReverted error
	err := fleet.Wait(ctx, func(ctx context.Context) error {
		l, err := s.fleet.Local(ctx, host)
		if err != nil {
			return err
		}
		if l.Revision < s.seenRevisions[host] {
			errReverted = fmt.Errorf("%s reverted from revision %d to %d", host, s.seenRevisions[host], l.Revision)
			return nil
		}
		s.seenRevisions[host] = l.Revision
		if l.Revision < s.revision {
			return fmt.Errorf("%s has revision %d, the newest is %d", host, l.Revision, s.revision)
		}
		return nil
	})
	return errors.Join(err, errReverted)
}

// expectWork waits until an upstream executes requests of the load, or until it executes none while the load continues.
func (s *scenario) expectWork(ctx context.Context, upstream string, busy bool) error {
	return fleet.Wait(ctx, func(ctx context.Context) error {
		before, err := s.executions(upstream)
		if err != nil {
			return err
		}
		s.mu.Lock()
		sent, orders := s.sent, s.sentOrders
		s.mu.Unlock()
		if err := fleet.Wait(ctx, func(context.Context) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			// Waits for enough orders too: they take 1 s each, and only every second host sends them.
			if s.sent < sent+20*len(s.fleet.Hosts) || s.sentOrders < orders+len(s.fleet.Hosts) {
				return errors.New("too few requests or orders were answered")
			}
			return nil
		}); err != nil {
			return err
		}
		after, err := s.executions(upstream)
		if err == nil && (after > before) != busy {
			err = fmt.Errorf("%s executed %d requests, %d at the start of the check", upstream, after, before)
		}
		return err
	})
}

func (s *scenario) executions(upstream string) (n int, err error) {
	xs, err := s.fleet.Executions()
	for _, x := range xs {
		if x.Upstream == upstream {
			n++
		}
	}
	return n, err
}

// expectRole waits until a host has exactly one member and this member has the role.
func (s *scenario) expectRole(ctx context.Context, host string, role model.MemberRole) error {
	return fleet.Wait(ctx, func(ctx context.Context) error {
		st, err := s.fleet.Status(ctx, s.fleet.Hosts[1].Name)
		if err != nil {
			return err
		}
		if st.Fleet == nil {
			return errors.New(st.LeaderError)
		}
		var members []opapi.MemberStatus
		for _, m := range st.Fleet.Members {
			if m.Host == host {
				members = append(members, m)
			}
		}
		if len(members) != 1 || members[0].Role != role {
			return fmt.Errorf("members on %s: got %+v, want one with role %s", host, members, role)
		}
		return nil
	})
}
