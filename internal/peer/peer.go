// Package peer keeps each entry host informed of the others: who is there,
// what load they have, which configuration is in force.
//
// Hosts greet each other directly, often within a data centre and seldom
// between; a greeting is small and complete, so that a lost one costs
// nothing. Being heard of here gives no rights: who owns what is for package
// lease. A host is taken for live while it answers this host's greetings, not
// while its own arrive, so that a cut in one direction counts as a cut.
package peer

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/route"
	"github.com/pepperhatch/pepperhatch/internal/spread"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Hello is what a host says of itself.
type Hello struct {
	// ID names the process, DC its data centre.
	ID string `json:"id"`
	DC string `json:"dc"`
	// Addr is where peers reach it, CallerAddr where callers do.
	Addr       string `json:"addr"`
	CallerAddr string `json:"caller_addr,omitempty"`
	// ConfigVersion is the version in force there; -1 is none.
	ConfigVersion int64 `json:"config_version"`
	// Stopping is set during a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Loads has the load of each service's pool.
	Loads map[string]route.Load `json:"loads,omitempty"`
	// Shards and Cells are what it owns.
	Shards int      `json:"shards,omitempty"`
	Cells  []string `json:"cells,omitempty"`
}

// Contact is where a host can be reached.
type Contact struct {
	ID   string `json:"id"`
	DC   string `json:"dc"`
	Addr string `json:"addr"`
}

// Reply is the answer to a Hello.
type Reply struct {
	// Hello is the answering host's own.
	Hello Hello `json:"hello"`
	// Others are hosts that it has heard of.
	Others []Contact `json:"others,omitempty"`
}

// The intervals of greetings, and how long a host is live after one that was
// answered.
const (
	nearEvery = 200 * time.Millisecond
	farEvery  = time.Second
	nearLive  = time.Second
	farLive   = 4 * time.Second
	forget    = time.Minute
	// farHosts is how many hosts of each other data centre are greeted.
	farHosts = 2
)

// Mesh greets the other entry hosts. Set the fields before Run.
type Mesh struct {
	// Self says what this host is to say now.
	Self func() Hello
	// Seeds are addresses from the settings.
	Seeds []string
	// Send greets the host at addr; [NewSend] makes one over HTTP.
	Send func(ctx context.Context, addr string, he Hello) (Reply, error)
	// OnHello is called after each greeting that was answered; nil is not.
	OnHello func(Hello)

	mu    sync.Mutex
	known map[string]*contact
	wake  chan struct{}
}

// contact is what is kept of an address.
type contact struct {
	Contact

	seed    bool
	hello   Hello
	heard   time.Time
	tried   time.Time
	learnt  time.Time
	pending bool
}

// NewSend returns a Send over HTTP with JSON.
func NewSend(cl *http.Client) func(context.Context, string, Hello) (Reply, error) {
	return func(ctx context.Context, addr string, he Hello) (Reply, error) {
		re, err := wire.Post[Hello, Reply](ctx, cl, "http://"+addr+"/peer/hello", he)
		if err != nil {
			return re, fmt.Errorf("greet %s: %w", addr, err)
		}
		return re, nil
	}
}

// Receive answers another host's greeting.
func (me *Mesh) Receive(he Hello) Reply {
	me.mu.Lock()
	me.learn(Contact{ID: he.ID, DC: he.DC, Addr: he.Addr})
	if co := me.known[he.Addr]; co != nil && co.hello.ID == he.ID && !co.heard.IsZero() {
		// News travels with either greeting; liveness only with our own.
		co.hello = he
	}
	others := make([]Contact, 0, len(me.known))
	for _, co := range me.known {
		if time.Since(co.heard) < forget && co.Addr != he.Addr {
			others = append(others, co.Contact)
		}
	}
	me.mu.Unlock()
	if me.OnHello != nil {
		me.OnHello(he)
	}
	return Reply{Hello: me.Self(), Others: others}
}

// learn enters an address. A new process at a known one starts anew.
func (me *Mesh) learn(co Contact) {
	if co.Addr == "" {
		return
	}
	if me.known == nil {
		me.known = map[string]*contact{}
	}
	old := me.known[co.Addr]
	if old != nil && (old.ID == co.ID || co.ID == "") {
		return
	}
	if old != nil && old.ID != "" && time.Since(old.heard) < farLive {
		return
	}
	me.known[co.Addr] = &contact{Contact: co, seed: old != nil && old.seed, learnt: time.Now()}
}

// Run greets until ctx ends.
func (me *Mesh) Run(ctx context.Context) {
	me.mu.Lock()
	for _, addr := range me.Seeds {
		me.learn(Contact{Addr: addr})
		me.known[addr].seed = true
	}
	me.wake = make(chan struct{}, 1)
	me.mu.Unlock()
	ti := time.NewTicker(nearEvery)
	defer ti.Stop()
	for {
		me.greetDue(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-me.wake:
			me.greetDue(ctx, true)
		case <-ti.C:
		}
	}
}

// SendAll has everyone greeted now, for news that should not wait.
func (me *Mesh) SendAll() {
	select {
	case me.wake <- struct{}{}:
	default:
	}
}

func (me *Mesh) greetDue(ctx context.Context, all bool) {
	self := me.Self()
	me.mu.Lock()
	defer me.mu.Unlock()
	far := me.farChosen(self)
	now := time.Now()
	for addr, co := range me.known {
		if addr == self.Addr || (co.ID == self.ID && co.ID != "") {
			continue
		}
		if !co.seed && now.Sub(co.heard) > forget && now.Sub(co.learnt) > forget {
			delete(me.known, addr)
			continue
		}
		every := nearEvery
		if co.DC != self.DC {
			every = farEvery
		}
		due := now.Sub(co.tried) >= every-nearEvery/4
		wanted := co.DC == self.DC || co.ID == "" || far[co.ID]
		if co.pending || !wanted || (!due && !all) {
			continue
		}
		co.pending, co.tried = true, now
		go me.greet(ctx, addr, self, every)
	}
}

// farChosen returns the hosts of other data centres that this one greets.
func (me *Mesh) farChosen(self Hello) map[string]bool {
	byDC := map[string][]string{}
	for _, co := range me.known {
		if co.DC != self.DC && co.ID != "" {
			byDC[co.DC] = append(byDC[co.DC], co.ID)
		}
	}
	chosen := map[string]bool{}
	for _, ids := range byDC {
		for _, id := range spread.Preferred(self.ID, ids, farHosts) {
			chosen[id] = true
		}
	}
	return chosen
}

func (me *Mesh) greet(ctx context.Context, addr string, self Hello, every time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(every, 2*nearEvery))
	defer cancel()
	re, err := me.Send(ctx, addr, self)
	me.mu.Lock()
	co := me.known[addr]
	if co != nil {
		co.pending = false
	}
	if err != nil || co == nil {
		me.mu.Unlock()
		return
	}
	co.Contact = Contact{ID: re.Hello.ID, DC: re.Hello.DC, Addr: addr}
	co.hello, co.heard = re.Hello, time.Now()
	for _, other := range re.Others {
		me.learn(other)
	}
	me.mu.Unlock()
	if me.OnHello != nil {
		me.OnHello(re.Hello)
	}
}

// Live returns the hosts that answered lately, in order of id.
func (me *Mesh) Live() []Hello {
	self := me.Self()
	me.mu.Lock()
	defer me.mu.Unlock()
	var live []Hello
	for _, co := range me.known {
		limit := nearLive
		if co.DC != self.DC {
			limit = farLive
		}
		if !co.heard.IsZero() && time.Since(co.heard) < limit && co.hello.ID != self.ID {
			live = append(live, co.hello)
		}
	}
	slices.SortFunc(live, func(a, b Hello) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// All returns every host heard of lately, live or not, in order of id.
func (me *Mesh) All() []Contact {
	me.mu.Lock()
	defer me.mu.Unlock()
	var all []Contact
	for _, co := range me.known {
		if co.ID != "" {
			all = append(all, co.Contact)
		}
	}
	slices.SortFunc(all, func(a, b Contact) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
