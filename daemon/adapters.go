package daemon

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/proxy"
)

// ratingTimeout bounds one rating. An answer at hand must not wait for a service
// that cannot be reached until its deadline has passed.
const ratingTimeout = 2 * time.Second

// rater implements proxy.Rater on the platform's rating service.
type rater struct {
	platform *infra.Client
	// failed is told when the service gave no answer.
	failed func()
}

// Rate implements proxy.Rater.
func (r rater) Rate(ctx context.Context, j proxy.RatingRequest) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	reply, err := r.platform.Rate(limited, infra.RatingRequest{
		RequestID: j.RequestID,
		Model:     j.Model,
		Version:   j.Version,
		Class:     j.Class,
		Prompt:    j.Prompt,
		Answer:    j.Answer,
	})
	if err != nil && ctx.Err() == nil {
		r.failed()
	}
	return reply.Good, err
}
