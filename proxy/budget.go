package proxy

import "sync"

// maxSavedRetries bounds the retries that an organisation can save up, so that
// a quiet hour does not allow a burst that multiplies load during a fault.
const maxSavedRetries = 10

// retryBudget allows retries in proportion to the requests of an organisation.
// It is safe for concurrent use.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

// earn adds the share of a retry that one request brings.
func (b *retryBudget) earn(perRequest float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+perRequest, maxSavedRetries)
}

// take uses up one retry and reports whether there was one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// retryBudgets holds one budget per organisation.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retryBudget
}

// of returns the budget of an organisation. A new one holds one retry, so that
// the first failure after a start can be retried.
func (r *retryBudgets) of(organisation string) *retryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[organisation]
	if !ok {
		b = &retryBudget{saved: 1}
		r.budgets[organisation] = b
	}
	return b
}
