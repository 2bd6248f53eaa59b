// Package cascade decides whether the answer of a small model is dropped in favour
// of an answer by a larger model. A small model states its confidence before the
// first event, so an answer that is dropped at that point has cost only the
// prefill of the prompt. The decision weighs the confidence against the cost and
// the free capacity of the larger model. Valuation learns from the requests of a
// service what an answer and a second of engine time are worth; Decide is a pure
// function.
package cascade
