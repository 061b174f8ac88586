// Package elmbudget limits retries to a fraction of the requests, so that retries
// do not multiply the load when endpoints fail.
//
// # Usage
//
//	budget := elmbudget.New()
//	budget = budget.Deposit()            // for each request
//	budget, ok := budget.Withdraw()      // for each retry
package elmbudget

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// maxBalance is the maximum number of retries in the budget.
	maxBalance = 20.0
)

// Budget is the number of retries that are left. It is immutable.
type Budget struct {
	balance float64
}

// New returns a full Budget.
func New() Budget {
	return Budget{balance: maxBalance}
}

// Deposit returns the budget after a request has arrived.
func (b Budget) Deposit() Budget {
	return Budget{balance: min(b.balance+retryRatio, maxBalance)}
}

// Withdraw returns the budget after a retry, or false if none is left.
func (b Budget) Withdraw() (Budget, bool) {
	if b.balance < 1 {
		return b, false
	}
	return Budget{balance: b.balance - 1}, true
}
