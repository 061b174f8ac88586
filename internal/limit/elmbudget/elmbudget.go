// Package elmbudget bounds retries to a share of the requests, so that retries
// can't multiply the load when endpoints fail.
//
// # Usage
//
//	budget := elmbudget.New()
//	budget = budget.Deposit()            // for each request
//	budget, ok := budget.Withdraw()      // for each retry
package elmbudget

const (
	share   = 0.1
	ceiling = 20.0
)

// Budget is the retries that are left. It is immutable.
type Budget struct {
	balance float64
}

// New returns a full Budget.
func New() Budget {
	return Budget{balance: ceiling}
}

// Deposit returns the budget after a request has arrived.
func (b Budget) Deposit() Budget {
	return Budget{balance: min(b.balance+share, ceiling)}
}

// Withdraw returns the budget after a retry, or false if none is left.
func (b Budget) Withdraw() (Budget, bool) {
	if b.balance < 1 {
		return b, false
	}
	return Budget{balance: b.balance - 1}, true
}
