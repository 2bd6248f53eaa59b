package claim_test

import (
	"context"
	"fmt"

	"github.com/savoryshift/savoryshift/coord/claim"
	"github.com/savoryshift/savoryshift/coord/memstore"
)

// A booking runs once; a repeated request gets the stored answer.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	claimer := claim.New(claim.Options{Table: memstore.New(), Daemon: "vm-1"})
	go func() { _ = claimer.Run(ctx) }()

	key := claim.Key{Organisation: "trust", IdempotencyKey: "hire-17"}
	fingerprint := claim.FingerprintOf("POST", "/hire/bookings", []byte(`{"beacon":4}`))
	for range 2 {
		c, err := claimer.Acquire(ctx, key, fingerprint)
		if err != nil {
			fmt.Println(err)
			return
		}
		if c.State() == claim.Done {
			fmt.Println("repeated:", c.Outcome().Status)
			continue
		}
		if c.BeginDispatch() == nil {
			fmt.Println("dispatched")
			if err := c.Complete(ctx, claim.Outcome{Status: 201}); err != nil {
				fmt.Println(err)
			}
		}
	}
	// Output:
	// dispatched
	// repeated: 201
}
