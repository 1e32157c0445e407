package sched

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// The numbers of control of fillers.
const (
	// near is the part of its target from which a service may be over it, calmFor
	// how long it must stay under that before it counts as under its target
	// again.
	near    = 0.9
	calmFor = time.Second
	// ahead is how far ahead of the figures control looks: an order takes 0.1 s
	// to take effect, and the next look is 0.6 s away.
	ahead = 600 * time.Millisecond
	// tight is the part of its target over which a service is relieved, calm
	// that under which fillers are sped up again, roomy that under which it must
	// be expected for a filler to be placed there: the service's own load rises
	// before its figures show it.
	tight = 0.88
	calm  = 0.8
	roomy = 0.72
	// stubbornPart is the part of the time for which fillers may keep a service
	// over its target, after which every filler beside it is held.
	stubbornPart = 0.4
	// paceTimeout bounds one order.
	paceTimeout = 400 * time.Millisecond
)

// control slows fillers while a service is over its target, and speeds them up
// again while all have room.
func (ho *workerState) control(now time.Time) {
	ho.timeOver(now)
	fills := ho.movable()
	if len(fills) == 0 {
		return
	}
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
		case excess > 0 && ho.ow.uses(MechPace):
			ho.slow(fills, at, excess, now)
		}
	}
	if !over {
		ho.speedUp(fills, now)
	}
}

// stubborn reports whether the service has been over its target for long.
func (at *attempt) stubborn(now time.Time) bool {
	most := time.Duration(stubbornPart * float64(at.ho.ow.Limits.HarmAfter))
	return at.ho.ow.uses(MechHold) && !at.overSince.IsZero() && now.Sub(at.overSince) > most
}

// stubborn reports whether any service has been over its target for long.
func (ho *workerState) stubborn(now time.Time) bool {
	return slices.ContainsFunc(ho.services, func(at *attempt) bool { return at.stubborn(now) })
}

// timeOver notes since when each service is over its target, or close to it:
// its figures are rough and may fall under it by chance.
func (ho *workerState) timeOver(now time.Time) {
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
func (ho *workerState) movable() []*attempt {
	var fills []*attempt
	for at := range ho.attempts {
		if at.step().Filler && !at.launched.IsZero() {
			fills = append(fills, at)
		}
	}
	return fills
}

// harm is by how much a filler at full speed lowers a service's headroom.
func (ho *workerState) harm(filler, service *attempt) float64 {
	return ho.ow.model.Drop(interfere.Pair{Service: service.step().Image, Filler: filler.step().Image}) * filler.fullShare()
}

// slow slows the fillers that disturb a service most, until the excess of its
// tail should be gone.
func (ho *workerState) slow(fills []*attempt, service *attempt, excess float64, now time.Time) {
	slices.SortFunc(fills, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(ho.harm(b, service), ho.harm(a, service)), strings.Compare(taskID(a), taskID(b)))
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
func (ho *workerState) holdAll(fills []*attempt, now time.Time) {
	for _, at := range fills {
		ho.pace(at, 0, now, "service over its target for long")
	}
}

// worthSlowing is the part of an excess that slowing fillers must be able to
// remove; else the service's own load is the cause.
const worthSlowing = 0.6

// harmless is a drop of the headroom that many fillers together may cause.
const harmless = 0.02

// guiltless is a drop of the headroom that does not matter.
const guiltless = 0.12

// speedUp speeds fillers up that were slowed, the least harmful first, as far
// as every service stays calm.
func (ho *workerState) speedUp(fills []*attempt, now time.Time) {
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
		return cmp.Or(cmp.Compare(worst(a), worst(b)), strings.Compare(taskID(a), taskID(b)))
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
func (ho *workerState) easeIn(at *attempt, now time.Time) {
	if !at.step().Filler || !ho.ow.uses(MechPace) {
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
func (ho *workerState) pace(at *attempt, percent int, now time.Time, why string) {
	percent = max(percent, 0)
	if at.pace == percent || (percent > 0 && percent < fullPace && abs(percent-at.pace) < leastChange) {
		return
	}
	ho.ow.Log.Info("pacing attempt", "task", taskID(at), "attempt", at.number, "worker", ho.incarnation, "percent", percent, "was", at.pace, "why", why)
	at.pace = percent
	switch {
	case percent > heldPace:
		at.heldSince = time.Time{}
	case at.heldSince.IsZero():
		at.heldSince = now
	}
	at.pacedAt = now
	ho.fillers.change()
	ho.ow.orderPace(at)
}

// orderPace sends the wanted pace of an attempt, one order at a time: two on
// their way could pass each other, and the worker keep the older one.
func (ow *Owner) orderPace(at *attempt) {
	if at.pacing {
		return
	}
	at.pacing = true
	go ow.sendPace(at, worker.Pace{Attempt: at.name(), Percent: at.pace})
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
	wa := at.ho.wayNow()
	pa.Fence = wa.fence
	_, err := ow.Agent.PaceFunc(ctx, wa.addr, pa)
	if err != nil {
		at.ho.reportIncarnation(err)
		ow.Log.Info("pace not set", "task", pa.Task, "attempt", pa.Number, "worker", wa.addr.Incarnation, "err", err)
	}
	ow.post(func() { ow.pacedTo(at, pa.Percent, err) })
}
