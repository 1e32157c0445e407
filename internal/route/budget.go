package route

import "sync"

// The default budget: one retry for ten requests, and some to begin with.
const (
	defaultRetryRatio = 0.1
	maxBudget         = 20.0
)

// Budget bounds retries by a part of the requests served, so that retries
// never become the load. The zero value is full.
type Budget struct {
	// Ratio is the retries earned by one request; zero means 0.1.
	Ratio float64

	mu   sync.Mutex
	used float64
}

// Earn notes a request that arrived.
func (bu *Budget) Deposit() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ratio := bu.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	bu.used = max(0, bu.used-ratio)
}

// Spend takes one retry, if there is one.
func (bu *Budget) TryWithdraw() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.used+1 > maxBudget {
		return false
	}
	bu.used++
	return true
}

// SetRatio changes the ratio.
func (bu *Budget) SetRatio(ratio float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.Ratio = ratio
}
