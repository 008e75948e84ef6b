package limit

// RetryRatio is the number of retries and hedges allowed per first attempt.
const RetryRatio = 0.1

// maxRetryCredit bounds the number of unused retries that can accumulate.
const maxRetryCredit = 50

// RetryBudget keeps the number of retries and hedges within RetryRatio times the number of first attempts at any time since its start.
// The zero value is ready to use. It is not safe for concurrent use.
type RetryBudget struct {
	// credit holds the retries that are still allowed, in units of 1/creditPerRetry of a retry. Whole units avoid rounding errors.
	credit int
}

// creditPerRetry is the number of first attempts that allow one retry.
const creditPerRetry = int(1 / RetryRatio)

// AddFirstAttempt adds the credit for one first attempt.
func (b *RetryBudget) AddFirstAttempt() {
	b.credit = min(b.credit+1, maxRetryCredit*creditPerRetry)
}

// Spend takes the credit for one retry or hedge. It returns false and changes nothing if the budget is exhausted.
func (b *RetryBudget) Spend() bool {
	if b.credit < creditPerRetry {
		return false
	}
	b.credit -= creditPerRetry
	return true
}
