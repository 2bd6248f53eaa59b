// Package cascade decides when the answer of a small model is dropped for that
// of a larger one. A small model states its confidence before the first event;
// an answer that is dropped then costs the reading of the prompt. The decision
// weighs the confidence against the free capacity for the larger model.
package cascade
