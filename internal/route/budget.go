package route

import "sync"

// Defaults of a retry budget: one retry per ten requests, and a burst of 20.
const (
	defaultRetryRatio = 0.1
	maxBudget         = 20.0
)

// Budget limits retries to a fraction of the requests served, so that retries
// cannot multiply the load during an outage. The zero value has the full burst
// available. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that one request earns; zero means 0.1.
	Ratio float64

	mu   sync.Mutex
	used float64
}

// Deposit credits the budget for one incoming request.
func (bu *Budget) Deposit() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ratio := bu.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	bu.used = max(0, bu.used-ratio)
}

// TryWithdraw takes one retry from the budget and reports whether one was
// available.
func (bu *Budget) TryWithdraw() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.used+1 > maxBudget {
		return false
	}
	bu.used++
	return true
}

// SetRatio sets the number of retries that one request earns.
func (bu *Budget) SetRatio(ratio float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.Ratio = ratio
}
