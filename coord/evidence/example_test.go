package evidence_test

import (
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/coord/evidence"
)

func Example() {
	clock := &fakeClock{}
	lease := evidence.New(evidence.Options{Clock: clock})
	lease.Advance(7) // revision 7 is in force here

	sentAt := lease.Now()                               // before the request is sent
	clock.advance(time.Second, time.Second)             // the round trip takes 1 s
	_ = lease.Observe(7, sentAt, 1500*time.Millisecond) // the reply states an age of 1.5 s
	fmt.Println(lease.Age(), lease.Valid())

	clock.advance(2*time.Second, 2*time.Second)
	fmt.Println(lease.Age(), lease.Valid())
	// Output:
	// 2.5s true
	// 4.5s false
}
