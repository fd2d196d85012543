// Package intent validates the changes that operators request, plans their effects and accepts or refuses their
// confirmation. It is part of the replicated state machine: the same intent and state always give the same plan.
package intent

import (
	"encoding/json"
	"net/http"
	"strings"

	"baobabreach/internal/claim"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// Codes of refusals that occur only in answers to operators.
const (
	// CodeIntentReused refuses an intent ID that was used for another intent.
	CodeIntentReused proto.Code = "intent_id_reused"
	// CodeIntentExpired refuses an ID whose result is no longer kept, so it is unknown whether the intent was executed.
	CodeIntentExpired proto.Code = "intent_expired"
	// CodeNotSupported refuses an intent that is not implemented yet.
	CodeNotSupported proto.Code = "not_supported"
	// CodeMembersChanging refuses a change of replicas while another one is in progress.
	CodeMembersChanging proto.Code = "members_changing"
	// CodeMembersUnsafe refuses a change of replicas that would leave no reachable majority.
	CodeMembersUnsafe proto.Code = "members_unsafe"
)

// Limits of the fields of an intent.
const (
	MaxRanges     = 65_536
	MaxDeadlineMs = 24 * 60 * 60 * 1000
	MaxPerSecond  = 1 << 30
	maxNameBytes  = 64
	maxKeyBytes   = 512
)

// Intent is one change requested by an operator. Exactly one of the pointers is set.
type Intent struct {
	// ID is a UUIDv7 in lower case, chosen by the operator's client. A resend carries the same ID.
	ID string `json:"id"`
	// Operator is the name of the requesting operator. It grants no access.
	Operator string      `json:"operator"`
	Service  *Service    `json:"service,omitempty"`
	Keyed    *MakeKeyed  `json:"keyed,omitempty"`
	Drain    *Upstream   `json:"drain,omitempty"`
	Return   *Upstream   `json:"return,omitempty"`
	StopDC   *DataCentre `json:"stop_dc,omitempty"`
	ReturnDC *DataCentre `json:"return_dc,omitempty"`
	Limit    *Limit      `json:"limit,omitempty"`
	Split    *Split      `json:"split,omitempty"`
	Members  *Members    `json:"members,omitempty"`
}

// Service creates a service or changes the fields that are set.
type Service struct {
	Name            string                 `json:"name"`
	Idempotent      *bool                  `json:"idempotent,omitempty"`
	Class           *model.Class           `json:"class,omitempty"`
	PartitionPolicy *model.PartitionPolicy `json:"on_cut,omitempty"`
	DeadlineMs      *int64                 `json:"deadline_ms,omitempty"`
}

// MakeKeyed makes an existing service keyed.
type MakeKeyed struct {
	Service string `json:"service"`
	// Ranges is the initial number of ranges; 0 means model.DefaultRanges.
	Ranges int `json:"ranges,omitempty"`
}

// Upstream names the upstream to drain or return.
type Upstream struct {
	Name string `json:"name"`
}

// DataCentre names the data centre to stop or return.
type DataCentre struct {
	Name string `json:"name"`
}

// Limit sets the rate of one tenant in one class; a rate of 0 removes the limit.
type Limit struct {
	Tenant    string      `json:"tenant"`
	Class     model.Class `json:"class"`
	PerSecond float64     `json:"per_second"`
}

// Split moves one key into a range of its own.
type Split struct {
	Service string `json:"service"`
	Key     string `json:"key"`
}

// Members removes the replica of a host, or lets the removed replica of a host in the settings rejoin.
type Members struct {
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// sameChange reports whether two intents request the same change, regardless of ID and operator.
func sameChange(a, b Intent) bool {
	a.ID, a.Operator, b.ID, b.Operator = "", "", "", ""
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(encodedA) == string(encodedB)
}

// CheckForm checks everything that can be checked without the state. Its errors have the outcome not_run.
func CheckForm(in Intent) *proto.Error {
	if err := CheckID(in.ID); err != nil {
		return err
	}
	if !isValidName(in.Operator) {
		return badRequest("operator: expected a name of letters, digits, '.', '-' and '_'")
	}
	changes := 0
	for _, isSet := range []bool{
		in.Service != nil, in.Keyed != nil, in.Drain != nil, in.Return != nil, in.StopDC != nil,
		in.ReturnDC != nil, in.Limit != nil, in.Split != nil, in.Members != nil,
	} {
		if isSet {
			changes++
		}
	}
	if changes != 1 {
		return badRequest("expected exactly one change, found %d", changes)
	}
	return checkFields(in)
}

// CheckID checks the form of an intent ID. IDs must be in lower case, so that they sort by their times.
func CheckID(id string) *proto.Error {
	if _, err := claim.IDTime(id); err != nil || id != strings.ToLower(id) {
		return badRequest("id: expected a UUIDv7 in lower case")
	}
	return nil
}

func checkFields(in Intent) *proto.Error {
	// The length of every name is limited, because even a refused intent is stored with its result.
	for _, name := range referencedNames(in) {
		if !isValidName(name) {
			return badRequest("expected a name of 1 to %d letters, digits, '.', '-' and '_', found %.80q", maxNameBytes, name)
		}
	}
	switch {
	case in.Service != nil:
		return checkService(*in.Service)
	case in.Keyed != nil && (in.Keyed.Ranges < 0 || in.Keyed.Ranges > MaxRanges):
		return badRequest("ranges: expected a number from 1 to %d", MaxRanges)
	case in.Limit != nil:
		return checkLimit(*in.Limit)
	case in.Split != nil && (in.Split.Key == "" || len(in.Split.Key) > maxKeyBytes):
		return badRequest("key: expected 1 to %d bytes", maxKeyBytes)
	case in.Members != nil && (in.Members.Add == "") == (in.Members.Remove == ""):
		return badRequest("members: expected either add or remove")
	}
	return nil
}

// referencedNames returns the names to which the change refers.
func referencedNames(in Intent) []string {
	switch {
	case in.Service != nil:
		return []string{in.Service.Name}
	case in.Keyed != nil:
		return []string{in.Keyed.Service}
	case in.Drain != nil:
		return []string{in.Drain.Name}
	case in.Return != nil:
		return []string{in.Return.Name}
	case in.StopDC != nil:
		return []string{in.StopDC.Name}
	case in.ReturnDC != nil:
		return []string{in.ReturnDC.Name}
	case in.Limit != nil:
		return []string{in.Limit.Tenant}
	case in.Split != nil:
		return []string{in.Split.Service}
	}
	return []string{in.Members.Add + in.Members.Remove}
}

func checkService(v Service) *proto.Error {
	switch {
	case v.Class != nil && !isValidClass(*v.Class):
		return badRequest("class: expected short or long")
	case v.PartitionPolicy != nil && *v.PartitionPolicy != model.PartitionMajority && *v.PartitionPolicy != model.PartitionHome:
		return badRequest("on_cut: expected majority or home")
	case v.DeadlineMs != nil && (*v.DeadlineMs < 1 || *v.DeadlineMs > MaxDeadlineMs):
		return badRequest("deadline_ms: expected a number from 1 to %d", MaxDeadlineMs)
	}
	return nil
}

func checkLimit(l Limit) *proto.Error {
	switch {
	case !isValidClass(l.Class):
		return badRequest("class: expected short or long")
	case !(l.PerSecond >= 0 && l.PerSecond <= MaxPerSecond):
		return badRequest("per_second: expected a number from 0 to %d", MaxPerSecond)
	}
	return nil
}

// Validate checks an intent of valid form against the state.
func Validate(in Intent, s *model.State) *proto.Error {
	if err := CheckForm(in); err != nil {
		return err
	}
	switch {
	case in.Keyed != nil:
		v, ok := s.Services[in.Keyed.Service]
		if ok && v.Keyed {
			return badRequest("service %s is keyed already; its ranges can't be changed this way", v.Name)
		}
		return requireFound(ok, "service", in.Keyed.Service)
	case in.Drain != nil:
		_, ok := s.Upstreams[in.Drain.Name]
		return requireFound(ok || s.Drained[in.Drain.Name], "upstream", in.Drain.Name)
	case in.Return != nil:
		_, ok := s.Upstreams[in.Return.Name]
		return requireFound(ok || s.Drained[in.Return.Name], "upstream", in.Return.Name)
	case in.StopDC != nil:
		return requireFound(knowsDataCentre(s, in.StopDC.Name), "data centre", in.StopDC.Name)
	case in.ReturnDC != nil:
		return requireFound(knowsDataCentre(s, in.ReturnDC.Name), "data centre", in.ReturnDC.Name)
	case in.Split != nil:
		if _, ok := s.Services[in.Split.Service]; !ok {
			return requireFound(false, "service", in.Split.Service)
		}
		return notSupported("the command that splits a range does not exist yet")
	case in.Members != nil:
		return validateMembers(*in.Members, s)
	}
	return nil
}

// knowsDataCentre reports whether the state has the data centre, either through an upstream in it or because it is stopped.
func knowsDataCentre(s *model.State, name string) bool {
	for _, u := range s.Upstreams {
		if u.DataCentre == name {
			return true
		}
	}
	return s.StoppedDCs[name]
}

func requireFound(ok bool, kind, name string) *proto.Error {
	if ok {
		return nil
	}
	return proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "%s %q is not known", kind, name)
}

func badRequest(format string, args ...any) *proto.Error {
	return proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, format, args...)
}

func notSupported(reason string) *proto.Error {
	return proto.NotRun(CodeNotSupported, http.StatusNotImplemented, "%s", reason)
}

func isValidClass(c model.Class) bool { return c == model.ClassShort || c == model.ClassLong }

func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes &&
		strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == ""
}
