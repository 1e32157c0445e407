package route

import "sync"

// The default budget: one retry for ten requests, and some to begin with.
const (
	defaultRatio = 0.1
	budgetMost   = 20.0
)

// Budget bounds retries by a part of the requests served, so that retries
// never become the load. The zero value is full.
type Budget struct {
	// Ratio is the retries earned by one request; zero means 0.1.
	Ratio float64

	mu    sync.Mutex
	spent float64
}

// Earn notes a request that arrived.
func (bu *Budget) Earn() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ratio := bu.Ratio
	if ratio == 0 {
		ratio = defaultRatio
	}
	bu.spent = max(0, bu.spent-ratio)
}

// Spend takes one retry, if there is one.
func (bu *Budget) Spend() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.spent+1 > budgetMost {
		return false
	}
	bu.spent++
	return true
}

// SetRatio changes the ratio.
func (bu *Budget) SetRatio(ratio float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.Ratio = ratio
}
