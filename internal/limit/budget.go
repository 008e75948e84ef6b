package limit

// RetryRatio is the number of retries and hedges that each first try pays for.
const RetryRatio = 0.1

// maxRetryCredit bounds the retries that quiet times save up.
const maxRetryCredit = 50

// RetryBudget keeps retries and hedges within RetryShare of the first tries at any time since its start.
// The zero value is ready. It isn't safe for concurrent use.
type RetryBudget struct {
	// credit is the number of retries paid for, counted in units of one first try's part so that no sum is rounded.
	credit int
}

const creditOfRetry = int(1 / RetryRatio)

// AddFirstAttempt counts a first try.
func (b *RetryBudget) AddFirstAttempt() {
	b.credit = min(b.credit+1, maxRetryCredit*creditOfRetry)
}

// Spend pays for a retry or hedge; it returns false, and pays nothing, if the budget is spent.
func (b *RetryBudget) Spend() bool {
	if b.credit < creditOfRetry {
		return false
	}
	b.credit -= creditOfRetry
	return true
}
