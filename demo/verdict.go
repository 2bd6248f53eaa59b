package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/ledger"
)

// billingTimeout bounds the time in which the daemons flush their ledger entries.
const billingTimeout = 8 * time.Second

// Verdict counts what the stand-ins and the callers observed.
type Verdict struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Lost counts requests without a complete answer and answered bookings that the
	// service did not make.
	Lost int `json:"lost"`
	// BilledTwice counts requests that were billed more than once, NotBilled answered
	// requests that were not billed.
	BilledTwice int `json:"billed_twice"`
	NotBilled   int `json:"not_billed"`
	// RanTwice counts idempotency keys for which the service made several bookings.
	RanTwice int `json:"ran_twice"`
	// WithdrawnServed counts runs of the withdrawn version that engines started after
	// its withdrawal was in force on all daemons.
	WithdrawnServed int `json:"withdrawn_version_served"`
	// SessionsBroken counts sessions in which a model changed its version although that
	// version was not withdrawn.
	SessionsBroken int `json:"sessions_broken"`
	// CandidateRuns, Streamed and Repeated show that the run exercised the rollout,
	// streaming and repeated bookings.
	CandidateRuns int      `json:"candidate_runs"`
	Streamed      int      `json:"streamed"`
	Repeated      int      `json:"repeated"`
	Failures      []string `json:"failures,omitempty"`
}

// Line returns the summary, the last line that the demonstration prints.
func (v Verdict) Line() string {
	return fmt.Sprintf("demo: answered %d of %d, lost %d, billed twice %d, ran twice %d, withdrawn version served %d",
		v.Answered, v.Sent, v.Lost, v.BilledTwice, v.RanTwice, v.WithdrawnServed)
}

// Problem describes why the demonstration failed, or returns "" if it did not.
func (v Verdict) Problem() string {
	var problems []string
	for _, p := range []struct {
		bad  bool
		text string
	}{
		{v.Lost != 0, fmt.Sprintf("%d requests were not answered completely", v.Lost)},
		{v.BilledTwice != 0, fmt.Sprintf("%d requests were billed twice", v.BilledTwice)},
		{v.NotBilled != 0, fmt.Sprintf("%d answered requests were not billed", v.NotBilled)},
		{v.RanTwice != 0, fmt.Sprintf("%d bookings were made twice", v.RanTwice)},
		{v.WithdrawnServed != 0, fmt.Sprintf("the withdrawn version ran %d times", v.WithdrawnServed)},
		{v.SessionsBroken != 0, fmt.Sprintf("%d sessions changed their version", v.SessionsBroken)},
		{v.CandidateRuns == 0, "the rollout sent no request to the candidate"},
		{v.Streamed == 0 || v.Repeated == 0, "no streamed or no repeated request was answered"},
	} {
		if p.bad {
			problems = append(problems, p.text)
		}
	}
	return strings.Join(problems, "; ")
}

// verdict computes the verdict from the records of the stand-ins and the callers.
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
	return v, d.waitBilled(ctx, &v)
}

// waitBilled reads the bill from the object store until every answered request is
// billed or billingTimeout has passed, and sets the billing counts of the verdict.
func (d *demonstration) waitBilled(ctx context.Context, v *Verdict) error {
	answered := int64(len(d.record.chats) + len(d.record.bookings))
	deadline := time.Now().Add(billingTimeout)
	for {
		bill, err := ledger.Settle(ctx, d.system.platform.Store().Objects(), time.Now())
		if err != nil {
			return oops.Wrapf(err, "settlement")
		}
		billed := bill.Organisations[organisationID].Requests
		v.BilledTwice = len(bill.Conflicts) + int(max(0, billed-answered))
		v.NotBilled = int(max(0, answered-billed))
		if v.NotBilled == 0 || time.Now().After(deadline) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(balancerPeriod):
		}
	}
}
