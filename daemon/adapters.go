package daemon

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/proxy"
)

// ratingTimeout bounds one call to the rating service. When the service is
// unreachable, a finished answer must not be held back until the deadline
// of the request.
const ratingTimeout = 2 * time.Second

// rater implements proxy.Rater on the platform's rating service.
type rater struct {
	platform *infra.Client
	// onFailure is called when a rating failed, unless the caller's
	// context has ended.
	onFailure func()
}

// Rate implements proxy.Rater.
func (r rater) Rate(ctx context.Context, j proxy.RatingRequest) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, ratingTimeout)
	defer cancel()
	reply, err := r.platform.Rate(callCtx, infra.RatingRequest{
		RequestID: j.RequestID,
		Model:     j.Model,
		Version:   j.Version,
		Class:     j.Class,
		Prompt:    j.Prompt,
		Answer:    j.Answer,
	})
	if err != nil && ctx.Err() == nil {
		r.onFailure()
	}
	return reply.Good, err
}
