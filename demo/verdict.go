package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/ledger"
)

// settleLimit is how long the daemons may take to flush their entries.
const settleLimit = 8 * time.Second

// Verdict counts what happened at the stand-ins and at the callers.
type Verdict struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Lost     int `json:"lost"`
	// BilledTwice counts requests with more than one bill, NotBilled answered
	// requests without one.
	BilledTwice int `json:"billed_twice"`
	NotBilled   int `json:"not_billed"`
	// RanTwice counts bookings that the service made more than once.
	RanTwice int `json:"ran_twice"`
	// WithdrawnServed counts runs of the withdrawn version that engines began
	// after its withdrawal was in force everywhere.
	WithdrawnServed int `json:"withdrawn_version_served"`
	// SessionsBroken counts sessions that lost a version that was not withdrawn.
	SessionsBroken int `json:"sessions_broken"`
	// CandidateRuns, Streamed and Repeated show that the run did what it
	// claims.
	CandidateRuns int      `json:"candidate_runs"`
	Streamed      int      `json:"streamed"`
	Repeated      int      `json:"repeated"`
	Failures      []string `json:"failures,omitempty"`
}

// Line is the last line of the demonstration.
func (v Verdict) Line() string {
	return fmt.Sprintf("demo: answered %d of %d, lost %d, billed twice %d, ran twice %d, withdrawn version served %d",
		v.Answered, v.Sent, v.Lost, v.BilledTwice, v.RanTwice, v.WithdrawnServed)
}

// Problem returns why the demonstration failed, or "".
func (v Verdict) Problem() string {
	var problems []string
	for _, p := range []struct {
		bad  bool
		text string
	}{
		{v.Lost != 0, fmt.Sprintf("%d requests were not answered whole", v.Lost)},
		{v.BilledTwice != 0, fmt.Sprintf("%d requests were billed twice", v.BilledTwice)},
		{v.NotBilled != 0, fmt.Sprintf("%d answered requests were not billed", v.NotBilled)},
		{v.RanTwice != 0, fmt.Sprintf("%d bookings were made twice", v.RanTwice)},
		{v.WithdrawnServed != 0, fmt.Sprintf("the withdrawn version ran %d times", v.WithdrawnServed)},
		{v.SessionsBroken != 0, fmt.Sprintf("%d sessions changed their version", v.SessionsBroken)},
		{v.CandidateRuns == 0, "the roll-out gave no request to the candidate"},
		{v.Streamed == 0 || v.Repeated == 0, "no streamed or no repeated request was answered"},
	} {
		if p.bad {
			problems = append(problems, p.text)
		}
	}
	return strings.Join(problems, "; ")
}

// verdict reads the stand-ins.
func (d *demonstration) verdict(ctx context.Context) (Verdict, error) {
	v := Verdict{
		Sent:           d.record.sent,
		Answered:       d.record.answered,
		Lost:           d.record.sent - d.record.answered,
		SessionsBroken: d.record.sessionsBroken,
		Streamed:       d.record.streamed,
		Repeated:       d.record.repeated,
		Failures:       d.record.failures,
	}
	for _, e := range d.system.engines {
		for _, r := range e.Runs() {
			if r.Version != candidateVersion {
				continue
			}
			v.CandidateRuns++
			if r.At.After(d.withdrawnAt) {
				v.WithdrawnServed++
			}
		}
	}
	made := make(map[string]int)
	for _, desk := range d.system.services {
		for _, e := range desk.Executions() {
			made[e.IdempotencyKey]++
		}
	}
	for _, n := range made {
		if n > 1 {
			v.RanTwice++
		}
	}
	for _, key := range d.record.bookings {
		if made[key] == 0 {
			v.Lost++
		}
	}
	return v, d.settle(ctx, &v)
}

// settle reads the bill from the object store until every answered request is
// on it or the time is up.
func (d *demonstration) settle(ctx context.Context, v *Verdict) error {
	wanted := int64(len(d.record.chats) + len(d.record.bookings))
	limit := time.Now().Add(settleLimit)
	for {
		bill, err := ledger.Settle(ctx, d.system.platform.Store().Objects(), time.Now())
		if err != nil {
			return oops.Wrapf(err, "settlement")
		}
		billed := bill.Organisations[organisationID].Requests
		v.BilledTwice = len(bill.Conflicts) + int(max(0, billed-wanted))
		v.NotBilled = int(max(0, wanted-billed))
		if v.NotBilled == 0 || time.Now().After(limit) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(balancerPeriod):
		}
	}
}
