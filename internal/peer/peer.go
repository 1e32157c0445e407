// Package peer keeps each entry host informed of the others: which hosts there are, their
// load, and the version of the configuration that is in force on them.
//
// Hosts send each other hello messages, frequently within a data centre and less often between
// data centres. A message is small and contains the complete state, so that a lost one needs
// no recovery. The state exchanged here grants no rights: ownership is decided by package
// lease. A host counts as live while it answers this host's messages, not while its own
// messages arrive, so that a network failure in one direction is treated as a failure.
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

// Hello is the state that a host reports about itself.
type Hello struct {
	// ID identifies the process. DC is the name of its data centre.
	ID string `json:"id"`
	DC string `json:"dc"`
	// Addr is the address for peers, CallerAddr that for callers.
	Addr       string `json:"addr"`
	CallerAddr string `json:"caller_addr,omitempty"`
	// ConfigVersion is the version of the configuration in force on the host, or -1 if there
	// is none.
	ConfigVersion int64 `json:"config_version"`
	// Stopping is set during a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// Loads holds the load of each service's pool, by service.
	Loads map[string]route.Load `json:"loads,omitempty"`
	// Shards is the number of shards that the host owns, Cells the names of the cells that it
	// owns.
	Shards int      `json:"shards,omitempty"`
	Cells  []string `json:"cells,omitempty"`
}

// Contact is the identity and the address of a host.
type Contact struct {
	ID   string `json:"id"`
	DC   string `json:"dc"`
	Addr string `json:"addr"`
}

// Reply is the answer to a Hello.
type Reply struct {
	// Hello is the state of the host that answers.
	Hello Hello `json:"hello"`
	// Others are hosts that the answering host was in contact with recently.
	Others []Contact `json:"others,omitempty"`
}

// Intervals between hello messages, and how long a host counts as live after its last reply;
// local stands for the same data centre, remote for other ones. A host is removed forgetAfter
// its last reply, unless its address is in the settings.
const (
	localInterval  = 200 * time.Millisecond
	remoteInterval = time.Second
	localTimeout   = time.Second
	remoteTimeout  = 4 * time.Second
	forgetAfter    = time.Minute
	// remoteHostsPerDC is how many hosts of each other data centre receive messages from this
	// one.
	remoteHostsPerDC = 2
)

// Mesh exchanges hello messages with the other entry hosts. Set the exported fields before
// calling Run.
type Mesh struct {
	// Self returns the current state of this host.
	Self func() Hello
	// Seeds are addresses of hosts from the settings.
	Seeds []string
	// Send sends a hello message to the host at addr and returns the reply; [NewSend] returns
	// an implementation over HTTP.
	Send func(ctx context.Context, addr string, he Hello) (Reply, error)
	// OnHello, if not nil, is called with the state of each host that sent a message or
	// replied to one.
	OnHello func(Hello)

	mu    sync.Mutex
	hosts map[string]*hostState
	wake  chan struct{}
}

// hostState is what a Mesh knows about the host at an address.
type hostState struct {
	Contact

	// seed is set if the address is in the settings.
	seed      bool
	hello     Hello
	lastReply time.Time
	lastSent  time.Time
	added     time.Time
	// pending is set while the reply to a message is awaited.
	pending bool
}

// NewSend returns a function for [Mesh.Send] that uses JSON over HTTP.
func NewSend(cl *http.Client) func(context.Context, string, Hello) (Reply, error) {
	return func(ctx context.Context, addr string, he Hello) (Reply, error) {
		re, err := wire.Post[Hello, Reply](ctx, cl, "http://"+addr+"/peer/hello", he)
		if err != nil {
			return re, fmt.Errorf("send hello to %s: %w", addr, err)
		}
		return re, nil
	}
}

// Receive handles a hello message from another host and returns the reply.
func (me *Mesh) Receive(he Hello) Reply {
	me.mu.Lock()
	me.addHost(Contact{ID: he.ID, DC: he.DC, Addr: he.Addr})
	if co := me.hosts[he.Addr]; co != nil && co.hello.ID == he.ID && !co.lastReply.IsZero() {
		// The state is taken from messages in either direction, liveness only from replies to
		// this host's messages.
		co.hello = he
	}
	others := make([]Contact, 0, len(me.hosts))
	for _, co := range me.hosts {
		if time.Since(co.lastReply) < forgetAfter && co.Addr != he.Addr {
			others = append(others, co.Contact)
		}
	}
	me.mu.Unlock()
	if me.OnHello != nil {
		me.OnHello(he)
	}
	return Reply{Hello: me.Self(), Others: others}
}

// addHost adds an address. A new process at a known address replaces the former one, unless
// that has replied within remoteTimeout.
func (me *Mesh) addHost(co Contact) {
	if co.Addr == "" {
		return
	}
	if me.hosts == nil {
		me.hosts = map[string]*hostState{}
	}
	old := me.hosts[co.Addr]
	if old != nil && (old.ID == co.ID || co.ID == "") {
		return
	}
	if old != nil && old.ID != "" && time.Since(old.lastReply) < remoteTimeout {
		return
	}
	me.hosts[co.Addr] = &hostState{Contact: co, seed: old != nil && old.seed, added: time.Now()}
}

// Run sends hello messages until ctx ends.
func (me *Mesh) Run(ctx context.Context) {
	me.mu.Lock()
	for _, addr := range me.Seeds {
		me.addHost(Contact{Addr: addr})
		me.hosts[addr].seed = true
	}
	me.wake = make(chan struct{}, 1)
	me.mu.Unlock()
	ti := time.NewTicker(localInterval)
	defer ti.Stop()
	for {
		me.sendDue(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-me.wake:
			me.sendDue(ctx, true)
		case <-ti.C:
		}
	}
}

// SendAll triggers a message to every host that this one sends to, without waiting for the
// interval, for changes that should spread quickly. It has no effect before Run.
func (me *Mesh) SendAll() {
	select {
	case me.wake <- struct{}{}:
	default:
	}
}

// sendDue sends a message to each host whose interval has passed, or to all if all is set,
// except hosts whose reply is pending. It removes hosts without recent contact.
func (me *Mesh) sendDue(ctx context.Context, all bool) {
	self := me.Self()
	me.mu.Lock()
	defer me.mu.Unlock()
	remote := me.remoteTargets(self)
	now := time.Now()
	for addr, co := range me.hosts {
		if addr == self.Addr || (co.ID == self.ID && co.ID != "") {
			continue
		}
		if !co.seed && now.Sub(co.lastReply) > forgetAfter && now.Sub(co.added) > forgetAfter {
			delete(me.hosts, addr)
			continue
		}
		every := localInterval
		if co.DC != self.DC {
			every = remoteInterval
		}
		due := now.Sub(co.lastSent) >= every-localInterval/4
		wanted := co.DC == self.DC || co.ID == "" || remote[co.ID]
		if co.pending || !wanted || (!due && !all) {
			continue
		}
		co.pending, co.lastSent = true, now
		go me.sendHello(ctx, addr, self, every)
	}
}

// remoteTargets returns the ids of the hosts in other data centres to which this host sends
// messages.
func (me *Mesh) remoteTargets(self Hello) map[string]bool {
	byDC := map[string][]string{}
	for _, co := range me.hosts {
		if co.DC != self.DC && co.ID != "" {
			byDC[co.DC] = append(byDC[co.DC], co.ID)
		}
	}
	chosen := map[string]bool{}
	for _, ids := range byDC {
		for _, id := range spread.Preferred(self.ID, ids, remoteHostsPerDC) {
			chosen[id] = true
		}
	}
	return chosen
}

// sendHello sends one message and records the reply. The wait for it is limited to the interval
// of messages, but to no less than twice localInterval.
func (me *Mesh) sendHello(ctx context.Context, addr string, self Hello, every time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(every, 2*localInterval))
	defer cancel()
	re, err := me.Send(ctx, addr, self)
	me.mu.Lock()
	co := me.hosts[addr]
	if co != nil {
		co.pending = false
	}
	if err != nil || co == nil {
		me.mu.Unlock()
		return
	}
	co.Contact = Contact{ID: re.Hello.ID, DC: re.Hello.DC, Addr: addr}
	co.hello, co.lastReply = re.Hello, time.Now()
	for _, other := range re.Others {
		me.addHost(other)
	}
	me.mu.Unlock()
	if me.OnHello != nil {
		me.OnHello(re.Hello)
	}
}

// Live returns the state of the hosts that replied recently, ordered by id.
func (me *Mesh) Live() []Hello {
	self := me.Self()
	me.mu.Lock()
	defer me.mu.Unlock()
	var live []Hello
	for _, co := range me.hosts {
		limit := localTimeout
		if co.DC != self.DC {
			limit = remoteTimeout
		}
		if !co.lastReply.IsZero() && time.Since(co.lastReply) < limit && co.hello.ID != self.ID {
			live = append(live, co.hello)
		}
	}
	slices.SortFunc(live, func(a, b Hello) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// All returns all known hosts, live or not, ordered by id.
func (me *Mesh) All() []Contact {
	me.mu.Lock()
	defer me.mu.Unlock()
	var all []Contact
	for _, co := range me.hosts {
		if co.ID != "" {
			all = append(all, co.Contact)
		}
	}
	slices.SortFunc(all, func(a, b Contact) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
