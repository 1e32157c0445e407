package sched

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// The numbers of control of fillers.
const (
	// near is the part of its target from which a service may be over it, calmFor
	// how long it must stay under that before it counts as under its target
	// again.
	near    = 0.9
	calmFor = time.Second
	// usageWindow is the time that a worker's figures are of.
	usageWindow = 500 * time.Millisecond
	// paceLag is how long an order needs to show in the figures.
	paceLag = usageWindow + 100*time.Millisecond
	// tight is the part of its target over which a service is relieved, calm
	// that under which fillers are sped up again, roomy that under which it must
	// be expected for a filler to be placed there: the service's own load rises
	// before its figures show it.
	tight = 0.85
	calm  = 0.75
	roomy = 0.7
	// learnGapMost bounds the time between two measurements that are learnt
	// from: the load of a service swings within some 20 s.
	learnGapMost = 1300 * time.Millisecond
	// stubbornPart is the part of the time for which fillers may keep a service
	// over its target, after which every filler beside it is held.
	stubbornPart = 0.4
	// paceTimeout bounds one order.
	paceTimeout = 400 * time.Millisecond
)

// spell is a time during which a filler used a share of a worker.
type spell struct {
	image string
	share float64
	from  time.Time
	// until is zero while it goes on.
	until time.Time
}

// fillers follows what fills a worker, and how services beside it do.
type fillers struct {
	spells []*spell
	// current are the shares now, or nil if they are to be summed up anew.
	current interfere.Shares
	// measured is when the services were last measured, with the shares then.
	measured time.Time
	shares   interfere.Shares
	// paced is when control last set paces, orders counts the orders so far.
	paced  time.Time
	orders int
}

// shareOf is the share of the worker's processors that a filler takes.
func (at *attempt) shareOf() float64 {
	return share(at.en.jo.Spec.Steps[at.ref.Step].Each.MilliCores, at.ho.Holds.MilliCores)
}

func (at *attempt) step() *job.Step { return &at.en.jo.Spec.Steps[at.ref.Step] }

// serves reports whether the attempt has a target to keep.
func (at *attempt) serves() bool {
	return at.usage > 0 && at.step().HasTarget()
}

// setSpell notes that from now on a filler uses the share that its pace gives.
func (ho *host) setSpell(at *attempt, now time.Time, on bool) {
	if !at.step().Filler {
		return
	}
	if at.spell != nil && at.spell.until.IsZero() {
		at.spell.until = now
		ho.fill.current = nil
	}
	if !on {
		return
	}
	ho.fill.current = nil
	at.spell = &spell{image: at.step().Image, share: at.shareOf() * float64(at.speed()) / fullPace, from: now}
	ho.fill.spells = append(ho.fill.spells, at.spell)
}

// speed is the pace in per cent that the attempt is taken to work at.
func (at *attempt) speed() int {
	if at.pace < 0 {
		return fullPace
	}
	return at.pace
}

// over returns the mean shares of fillers between two moments.
func (fi *fillers) over(from, until time.Time) interfere.Shares {
	sh := interfere.Shares{}
	for _, sp := range fi.spells {
		begin, end := sp.from, sp.until
		if begin.Before(from) {
			begin = from
		}
		if end.IsZero() || end.After(until) {
			end = until
		}
		if part := end.Sub(begin); part > 0 {
			sh[sp.image] += sp.share * part.Seconds() / until.Sub(from).Seconds()
		}
	}
	return sh
}

// now returns the shares of fillers at this moment, those on their way to the
// worker included.
func (fi *fillers) now() interfere.Shares {
	if fi.current != nil {
		return fi.current
	}
	fi.current = interfere.Shares{}
	for _, sp := range fi.spells {
		if sp.until.IsZero() {
			fi.current[sp.image] += sp.share
		}
	}
	return fi.current
}

// forget drops spells that ended too long ago to be in any figure.
func (fi *fillers) forget(before time.Time) {
	fi.spells = slices.DeleteFunc(fi.spells, func(sp *spell) bool { return !sp.until.IsZero() && sp.until.Before(before) })
}

// measure learns from the figures of a look and sets the pace of fillers.
func (ho *host) measure(got time.Time) {
	fi := &ho.fill
	sh := fi.over(got.Add(-usageWindow), got)
	gap := got.Sub(fi.measured)
	if gap < usageWindow/2 {
		return
	}
	for _, at := range ho.services {
		if !at.serves() {
			at.lastTail = 0
			continue
		}
		if at.lastTail > 0 && gap < learnGapMost {
			target := at.step().TargetMS
			ho.ow.model.Learn(at.step().Image,
				interfere.Measurement{TailMS: at.lastTail, TargetMS: target, Shares: fi.shares},
				interfere.Measurement{TailMS: at.usage, TargetMS: target, Shares: sh})
		}
		at.lastTail = at.usage
	}
	fi.measured, fi.shares = got, sh
	fi.forget(got.Add(-2 * usageWindow))
	ho.control(got)
}

// excess is by how much a service's strain is expected over that at the wanted
// part of its target, with the fillers as they are now.
func (ho *host) excess(at *attempt, part float64) float64 {
	mo := &ho.ow.model
	image := at.step().Image
	news := mo.Load(image, ho.fill.now()) - mo.Load(image, ho.fill.shares)
	return interfere.Strain(at.usage, at.step().TargetMS) + 1/part + news
}

// control slows fillers while a service is over its target, and speeds them up
// again while all have room.
func (ho *host) control(now time.Time) {
	if now.Sub(ho.fill.paced) < paceLag {
		return
	}
	ho.timeOver(now)
	fills := ho.movable()
	if len(fills) == 0 {
		return
	}
	before := ho.fill.orders
	over := false
	for _, at := range ho.services {
		if !at.serves() {
			continue
		}
		excess := ho.excess(at, tight)
		over = over || excess > 0
		switch {
		case at.stubborn(now):
			ho.holdAll(fills, now)
		case excess > 0:
			ho.slow(fills, at, excess, now)
		}
	}
	if !over {
		ho.speedUp(fills, now)
	}
	if ho.fill.orders > before {
		ho.fill.paced = now
	}
}

// stubborn reports whether the service has been over its target for long.
func (at *attempt) stubborn(now time.Time) bool {
	most := time.Duration(stubbornPart * float64(at.ho.ow.Limits.HarmAfter))
	return !at.overSince.IsZero() && now.Sub(at.overSince) > most
}

// stubborn reports whether any service has been over its target for long.
func (ho *host) stubborn(now time.Time) bool {
	return slices.ContainsFunc(ho.services, func(at *attempt) bool { return at.stubborn(now) })
}

// timeOver notes since when each service is over its target, or close to it:
// its figures are rough and may fall under it by chance.
func (ho *host) timeOver(now time.Time) {
	for _, at := range ho.services {
		switch {
		case !at.serves():
			at.overSince = time.Time{}
		case float64(at.usage) <= near*float64(at.step().TargetMS):
			if now.Sub(at.overLast) > calmFor {
				at.overSince = time.Time{}
			}
		case at.overSince.IsZero():
			at.overSince, at.overLast = now, now
		default:
			at.overLast = now
		}
	}
}

// movable returns the fillers whose pace can be set.
func (ho *host) movable() []*attempt {
	var fills []*attempt
	for at := range ho.attempts {
		if at.step().Filler && !at.launched.IsZero() {
			fills = append(fills, at)
		}
	}
	return fills
}

// harm is by how much a filler at full speed raises a service's strain.
func (ho *host) harm(filler, service *attempt) float64 {
	return ho.ow.model.Rise(interfere.Pair{Service: service.step().Image, Filler: filler.step().Image}) * filler.shareOf()
}

// slow slows the fillers that disturb a service most, until the excess of its
// tail should be gone.
func (ho *host) slow(fills []*attempt, service *attempt, excess float64, now time.Time) {
	slices.SortFunc(fills, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(ho.harm(b, service), ho.harm(a, service)), compareStrings(taskID(a), taskID(b)))
	})
	removable := 0.0
	for _, at := range fills {
		removable += ho.harm(at, service) * float64(at.speed()) / fullPace
	}
	if removable < worthSlowing*excess {
		return
	}
	for _, at := range fills {
		harm := ho.harm(at, service)
		if excess <= 0 || harm < guiltless {
			return
		}
		less := min(float64(at.speed())/fullPace, excess/harm)
		excess -= less * harm
		ho.pace(at, at.speed()-int(math.Ceil(less*fullPace)), now, "service over its target")
	}
}

// holdAll holds every filler, as slowing some did not help.
func (ho *host) holdAll(fills []*attempt, now time.Time) {
	for _, at := range fills {
		ho.pace(at, 0, now, "service over its target for long")
	}
}

// worthSlowing is the part of an excess that slowing fillers must be able to
// remove; else the service's own load is the cause.
const worthSlowing = 0.6

// harmless is a rise of the strain that many fillers together may cause.
const harmless = 0.02

// guiltless is a rise of the strain that does not matter.
const guiltless = 0.12

// speedUp speeds fillers up that were slowed, the least harmful first, as far
// as every service stays calm.
func (ho *host) speedUp(fills []*attempt, now time.Time) {
	room := map[*attempt]float64{}
	for _, at := range ho.services {
		if at.serves() {
			room[at] = -ho.excess(at, calm)
		}
	}
	worst := func(at *attempt) float64 {
		most := 0.0
		for service := range room {
			most = max(most, ho.harm(at, service))
		}
		return most
	}
	slices.SortFunc(fills, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(worst(a), worst(b)), compareStrings(taskID(a), taskID(b)))
	})
	for _, at := range fills {
		more := float64(fullPace-at.speed()) / fullPace
		for service, left := range room {
			if harm := ho.harm(at, service); harm > 0 {
				more = min(more, max(left, 0)/harm)
			}
		}
		for service := range room {
			room[service] -= more * ho.harm(at, service)
		}
		ho.pace(at, at.speed()+int(more*fullPace), now, "services have room")
	}
}

// easeIn slows a filler that just started to what the services beside it bear,
// as its effect shows in their figures only half a second later.
func (ho *host) easeIn(at *attempt, now time.Time) {
	if !at.step().Filler {
		return
	}
	least := float64(fullPace)
	if ho.stubborn(now) {
		least = 0
	}
	for _, service := range ho.services {
		if !service.serves() {
			continue
		}
		// The excess has the filler at full speed.
		harm, excess := ho.harm(at, service), ho.excess(service, tight)
		if harm > guiltless && excess > 0 {
			least = min(least, fullPace*max(1-excess/harm, 0))
		}
	}
	if least < fullPace {
		ho.pace(at, int(least), now, "started beside services with little room")
	}
}

// pace orders a pace, if it differs from the last.
func (ho *host) pace(at *attempt, percent int, now time.Time, why string) {
	percent = max(percent, 0)
	if at.pace == percent || (percent > 0 && percent < fullPace && abs(percent-at.pace) < leastChange) {
		return
	}
	ho.ow.Log.Info("pacing attempt", "task", taskID(at), "attempt", at.number, "worker", ho.incarnation, "percent", percent, "was", at.pace, "why", why)
	at.pace = percent
	ho.fill.orders++
	switch {
	case percent > heldPace:
		at.heldSince = time.Time{}
	case at.heldSince.IsZero():
		at.heldSince = now
	}
	ho.setSpell(at, now, true)
	ho.ow.orderPace(at)
}

// orderPace sends the wanted pace of an attempt, one order at a time: two on
// their way could pass each other, and the worker keep the older one.
func (ow *Owner) orderPace(at *attempt) {
	if at.pacing {
		return
	}
	at.pacing = true
	go ow.sendPace(at, worker.Pace{Attempt: at.name(), Percent: at.pace, Fence: ow.Tenure.Epoch})
}

// pacedTo takes in the answer to an order, and sends the next if another pace
// is wanted by now. After an order without an answer the pace is not known.
func (ow *Owner) pacedTo(at *attempt, percent int, err error) {
	at.pacing = false
	switch {
	case at.en.attempts[at.ref] != at:
	case at.pace != percent && at.pace != unknownPace:
		ow.orderPace(at)
	case err != nil:
		at.pace = unknownPace
	}
}

// leastChange is the least change of pace in per cent that is worth an order,
// but for those to a stop or to full speed.
const leastChange = 10

func abs(n int) int { return max(n, -n) }

func (ow *Owner) sendPace(at *attempt, pa worker.Pace) {
	ctx, cancel := context.WithTimeout(ow.ctx, paceTimeout)
	defer cancel()
	_, err := ow.Agent.PaceFunc(ctx, at.ho.target, pa)
	if err != nil {
		ow.Log.Info("pace not set", "task", pa.Task, "attempt", pa.Number, "worker", at.ho.incarnation, "err", err)
	}
	ow.post(func() { ow.pacedTo(at, pa.Percent, err) })
}

// disturbs rates how much a filler would disturb the services on a worker, and
// by how much a strain would be over the wanted one through it.
func (ca *candidate) disturbs(st *job.Step) (sum, over float64) {
	part := share(st.Each.MilliCores, ca.ho.Holds.MilliCores)
	for _, se := range ca.services() {
		rise := ca.ho.ow.model.Rise(interfere.Pair{Service: se.image, Filler: st.Image}) * part
		sum += rise * float64(se.count)
		if rise > harmless {
			over = max(over, se.excess+rise)
		}
	}
	return sum, over
}

// serving is what placement needs to know of the services of one image on a
// worker: how many there are, and the excess of the one that is worst off.
type serving struct {
	image  string
	count  int
	excess float64
}

// services sums the services on the worker up, once until something is placed
// there.
func (ca *candidate) services() []serving {
	if ca.summed {
		return ca.sums
	}
	ca.summed, ca.sums = true, ca.sums[:0]
	for _, at := range ca.ho.services {
		if at.serves() {
			ca.sum(at.step().Image, ca.ho.excess(at, roomy))
		}
	}
	return ca.sums
}

func (ca *candidate) sum(image string, excess float64) {
	for i := range ca.sums {
		if se := &ca.sums[i]; se.image == image {
			se.count++
			se.excess = max(se.excess, excess)
			return
		}
	}
	ca.sums = append(ca.sums, serving{image: image, count: 1, excess: excess})
}

// Weights of disturbance in the rating of a worker, against the share of its
// processors that is idle.
const (
	disturbWeight = 0.1
	overWeight    = 0.7
)
