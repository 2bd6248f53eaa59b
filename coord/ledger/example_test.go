package ledger_test

import (
	"context"
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/memstore"
)

// A request reserves memory for its entry, runs, is recorded, and appears on the
// bill.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	objects := memstore.New().Objects()
	l := ledger.New(ledger.Options{Self: ledger.Peer{ID: "vm-1/1"}, Objects: objects})
	go func() { _ = l.Run(ctx) }()

	reservation, err := l.Reserve()
	if err != nil {
		fmt.Println("not run:", err)
		return
	}
	defer reservation.Cancel()
	// The request runs here. The last part of its answer is sent after Add.
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	entry := ledger.Entry{Organisation: "trust", RequestKey: "r-1", Model: "brief", Version: "s1",
		PromptTokens: 900, CompletionTokens: 120, CostMicros: 340, Time: at}
	if err := reservation.Add(ctx, entry); err != nil {
		fmt.Println(err)
		return
	}
	if err := l.Drain(ctx); err != nil {
		fmt.Println(err)
		return
	}
	bill, err := ledger.Settle(ctx, objects, at)
	fmt.Println(bill.Organisations["trust"].Requests, bill.Organisations["trust"].CostMicros, err)
	// Output: 1 340 <nil>
}
