package cmds

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"baobabreach/internal/claim"
	"baobabreach/internal/intent"
	"baobabreach/internal/model"
	"baobabreach/internal/opapi"
)

// operatorFlags names the operator who sends a command.
type operatorFlags struct {
	target
	As string `default:"${user}" help:"Name of the operator in the record."`
}

// planFlags are the flags of all plan commands.
type planFlags struct {
	operatorFlags
	ID string `name:"id" help:"Intent id (UUIDv7) of an earlier try, to get its first result."`
}

type planCmd struct {
	Service  planServiceCmd  `cmd:"" help:"Create a service or change the given fields."`
	Keyed    planKeyedCmd    `cmd:"" help:"Divide a service by key."`
	Drain    planDrainCmd    `cmd:"" help:"Take an upstream out of service."`
	Return   planReturnCmd   `cmd:"" help:"Return a drained upstream."`
	StopDC   planStopDCCmd   `cmd:"" name:"stop-dc" help:"Take a data centre's upstreams out of service."`
	ReturnDC planReturnDCCmd `cmd:"" name:"return-dc" help:"Return a stopped data centre."`
	Limit    planLimitCmd    `cmd:"" help:"Set or remove the rate limit of a tenant in a class."`
	Split    planSplitCmd    `cmd:"" help:"Move one key into a range of its own."`
	Members  planMembersCmd  `cmd:"" help:"Add or remove a replica."`
}

// Help implements kong.HelpProvider.
func (planCmd) Help() string {
	return `Examples:
  baobabreach plan drain catalogue-3 --operator 10.0.0.1:7102 --token-file op.token
  baobabreach plan limit night-partner long 40
  baobabreach plan service orders --deadline 3s --no-idempotent
  baobabreach confirm 0193a1c2-6c00-7abc-8def-0123456789ab`
}

func (f planFlags) submit(out io.Writer, in intent.Intent) error {
	in.ID, in.Operator = f.ID, f.As
	if in.ID == "" {
		var random [10]byte
		_, _ = rand.Read(random[:])
		in.ID = claim.NewID(time.Now().UnixMilli(), random[:])
		// The ID is printed before the request, so that the result can be requested again if the response is lost.
		_, _ = fmt.Fprintln(os.Stderr, "intent", in.ID)
	}
	p, err := callDaemon[intent.Plan](f.target, http.MethodPost, opapi.PathPlan, in)
	if err != nil {
		return printRefusal(out, f.JSON, err)
	}
	return printResult(out, f.JSON, p, func(w io.Writer) { printPlan(w, p) })
}

func printPlan(w io.Writer, p intent.Plan) {
	writeRow(w, "plan", p.ID)
	writeRow(w, "revision", p.Revision)
	for _, c := range p.Changes {
		writeRow(w, "change", c)
	}
	for _, e := range p.Effects {
		writeRow(w, "affects", fmt.Sprintf("%s: %.1f%% of keys, %.1f%% of requests (%.1f/s at %s), %d moves",
			e.Service, 100*e.KeyShare, 100*e.RequestShare, e.RequestsPerSecond, p.MeasuredBy, e.Moves))
	}
	if p.EffectsOmitted > 0 {
		writeRow(w, "affects", fmt.Sprintf("%d more services", p.EffectsOmitted))
	}
	writeRow(w, "moves", p.Moves)
	writeRow(w, "expected time", time.Duration(p.ExpectedMs)*time.Millisecond)
	for _, warning := range p.Warnings {
		writeRow(w, "warning", warning)
	}
	writeRow(w, "next", "baobabreach confirm "+p.ID)
}

type planServiceCmd struct {
	planFlags
	Name       string       `arg:"" help:"Service."`
	Idempotent *bool        `negatable:"" help:"Every method may be repeated."`
	Class      *model.Class `enum:"short,long" help:"short or long."`
	// OnCut selects what happens to a range whose owner can't be reached, for example during a network partition.
	OnCut    *model.PartitionPolicy `enum:"majority,home" help:"majority or home."`
	Deadline *time.Duration         `help:"Default deadline, such as 2s."`
}

func (c planServiceCmd) Run(out io.Writer) error {
	service := intent.Service{Name: c.Name, Idempotent: c.Idempotent, Class: c.Class, PartitionPolicy: c.OnCut}
	if c.Deadline != nil {
		ms := c.Deadline.Milliseconds()
		service.DeadlineMs = &ms
	}
	return c.submit(out, intent.Intent{Service: &service})
}

type planKeyedCmd struct {
	planFlags
	Service string `arg:"" help:"Service."`
	Ranges  int    `help:"Number of ranges; 64 if not set."`
}

func (c planKeyedCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{Keyed: &intent.MakeKeyed{Service: c.Service, Ranges: c.Ranges}})
}

type planDrainCmd struct {
	planFlags
	Upstream string `arg:"" help:"Upstream."`
}

func (c planDrainCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{Drain: &intent.Upstream{Name: c.Upstream}})
}

type planReturnCmd struct {
	planFlags
	Upstream string `arg:"" help:"Upstream."`
}

func (c planReturnCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{Return: &intent.Upstream{Name: c.Upstream}})
}

type planStopDCCmd struct {
	planFlags
	DataCentre string `arg:"" help:"Data centre."`
}

func (c planStopDCCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{StopDC: &intent.DataCentre{Name: c.DataCentre}})
}

type planReturnDCCmd struct {
	planFlags
	DataCentre string `arg:"" help:"Data centre."`
}

func (c planReturnDCCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{ReturnDC: &intent.DataCentre{Name: c.DataCentre}})
}

type planLimitCmd struct {
	planFlags
	Tenant    string      `arg:"" help:"Tenant."`
	Class     model.Class `arg:"" enum:"short,long" help:"short or long."`
	PerSecond float64     `arg:"" help:"Requests per second over all hosts; 0 removes the limit."`
}

func (c planLimitCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{Limit: &intent.Limit{Tenant: c.Tenant, Class: c.Class, PerSecond: c.PerSecond}})
}

type planSplitCmd struct {
	planFlags
	Service string `arg:"" help:"Keyed service."`
	Key     string `arg:"" help:"Key."`
}

func (c planSplitCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{Split: &intent.Split{Service: c.Service, Key: c.Key}})
}

type planMembersCmd struct {
	planFlags
	Add    string `xor:"change" required:"" help:"Host of the settings whose removed replica may join again."`
	Remove string `xor:"change" required:"" help:"Host whose replica leaves."`
}

func (c planMembersCmd) Run(out io.Writer) error {
	return c.submit(out, intent.Intent{Members: &intent.Members{Add: c.Add, Remove: c.Remove}})
}

type confirmCmd struct {
	operatorFlags
	ID string `arg:"" help:"Id of the plan."`
}

// Help implements kong.HelpProvider.
func (confirmCmd) Help() string {
	return `A resend returns the first result. Exit status 3: another change was accepted first; plan again.

Examples:
  baobabreach confirm 0193a1c2-6c00-7abc-8def-0123456789ab --operator 10.0.0.1:7102`
}

func (c confirmCmd) Run(out io.Writer) error {
	r, err := callDaemon[intent.Confirmation](c.target, http.MethodPost, opapi.PathConfirm,
		opapi.ConfirmRequest{ID: c.ID, Operator: c.As})
	if err != nil {
		return printRefusal(out, c.JSON, err)
	}
	return printResult(out, c.JSON, r, func(w io.Writer) {
		writeRow(w, "confirmed", r.IntentID)
		writeRow(w, "operator", r.Operator)
		writeRow(w, "revision", r.Revision)
		writeRow(w, "in force at table version", r.Version)
		for _, change := range r.Changes {
			writeRow(w, "change", change)
		}
	})
}
