package jobhost

import (
	"sync"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// lastMembers has the last entry of each entry host that could be decoded, by key. The zero value has
// none.
type lastMembers struct {
	mu    sync.Mutex
	byKey map[string]registry.Member
}

func (lm *lastMembers) record(key string, me registry.Member) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if lm.byKey == nil {
		lm.byKey = map[string]registry.Member{}
	}
	lm.byKey[key] = me
}

func (lm *lastMembers) last(key string) (registry.Member, bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	me, ok := lm.byKey[key]
	return me, ok
}

func (lm *lastMembers) forget(key string) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	delete(lm.byKey, key)
}
