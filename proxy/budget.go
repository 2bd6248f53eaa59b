package proxy

import "sync"

// maxRetryBalance caps the retries that an organisation can accumulate, so that
// a period without failures does not permit a burst of retries that multiplies
// the load during a fault.
const maxRetryBalance = 10

// retryBudget limits the retries of an organisation to a share of its requests.
// It is safe for concurrent use.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

// deposit credits the fraction of a retry that one request allows.
func (b *retryBudget) deposit(perRequest float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+perRequest, maxRetryBalance)
}

// tryWithdraw consumes one retry and reports whether the balance allowed it.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// retryBudgets holds one budget per organisation.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retryBudget
}

// forOrganisation returns the budget of an organisation. A new budget starts
// with one retry, so that the first failure after a start can be retried.
func (r *retryBudgets) forOrganisation(organisation string) *retryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[organisation]
	if !ok {
		b = &retryBudget{balance: 1}
		r.budgets[organisation] = b
	}
	return b
}
