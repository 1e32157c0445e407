package evacuation

import (
	"context"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Guard returns an agent that sends no launch to a worker of an evacuated data centre and
// returns [worker.ErrEvacuated] instead. Everything else, such as stops and polls, is sent as by
// ag. Launches that are deferred have to be guarded where they are sent in the end, so a client
// that defers them wraps the guarded agent. If evacuated is nil, no data centre is evacuated.
func Guard(ag worker.Agent, evacuated func(dataCentre string) bool) worker.Agent {
	if evacuated == nil {
		return ag
	}
	send := ag.LaunchFunc
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		if evacuated(ad.DataCentre) {
			return worker.Ack{}, worker.ErrEvacuated
		}
		return send(ctx, ad, la)
	}
	return ag
}
