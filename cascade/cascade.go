package cascade

import "time"

const (
	// freeThreshold is the confidence below which an answer is dropped while the
	// larger model has free capacity.
	freeThreshold = 50
	// relaxedShare is the part of the time left for the first event that the
	// larger model may be predicted to need without any change of the threshold.
	relaxedShare = 0.35
)

// Input is what is known when a small model has stated its confidence.
type Input struct {
	// Confidence in the answer, 0 to 100; -1 if the model stated none.
	Confidence int
	// Predicted is the time that the larger model needs to its first event.
	Predicted time.Duration
	// Left is what is left until the first event is late.
	Left time.Duration
}

// Escalate reports whether the answer is dropped for one of the larger model.
func Escalate(in Input) bool {
	return in.Confidence >= 0 && float64(in.Confidence) < Threshold(in.Predicted, in.Left)
}

// Threshold is the confidence below which an answer is dropped. It falls to 0
// as the larger model comes to need all of the time that is left.
func Threshold(predicted, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	use := predicted.Seconds() / left.Seconds()
	switch {
	case use <= relaxedShare:
		return freeThreshold
	case use >= 1:
		return 0
	}
	return freeThreshold * (1 - use) / (1 - relaxedShare)
}
