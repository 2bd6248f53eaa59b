package changelog_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/memstore"
)

func Example() {
	ctx := context.Background()
	table := memstore.New()
	log := changelog.New(changelog.Options{Table: table, Objects: table.Objects()})

	first, _ := log.Append(ctx, changelog.Change{ID: "a", Author: "ana", Reason: "raise the limit", Patch: []byte(`{"limit":2}`)})
	fmt.Println("stored as revision", first.Revision)

	// A second operator who has not seen revision 1 gets a conflict.
	_, err := log.Append(ctx, changelog.Change{ID: "b", Author: "bia", Reason: "lower the limit", Patch: []byte(`{"limit":1}`)})
	if conflict, ok := errors.AsType[*changelog.ConflictError](err); ok {
		fmt.Println("conflict with:", conflict.Others[0].Reason)
	}

	follower, _ := log.Load(ctx)
	head, state := follower.State()
	fmt.Println("follower at", head.Revision, string(state))
	// Output:
	// stored as revision 1
	// conflict with: raise the limit
	// follower at 1 {"limit":2}
}
