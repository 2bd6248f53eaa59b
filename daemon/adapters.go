package daemon

import (
	"context"

	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/proxy"
)

// rater implements proxy.Rater on the platform's rating service.
type rater struct {
	platform *platform.Client
	// failed is told when the service gave no answer.
	failed func()
}

// Rate implements proxy.Rater.
func (r rater) Rate(ctx context.Context, j proxy.Judgement) (bool, error) {
	reply, err := r.platform.Rate(ctx, platform.RatingRequest{
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
