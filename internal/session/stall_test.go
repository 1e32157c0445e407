package session

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// eventsAfterStall is the number of events after which a stream counts as
// continuing.
const eventsAfterStall = 50

// TestStalledRunner stalls the runner of a session while its stream is open:
// the session must continue with another runner, or with the same one if its
// events still arrive.
func TestStalledRunner(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			var list []upstream.Runner
			proxies := map[string]*standin.Proxy{}
			for _, id := range []string{"a", "b"} {
				hs := httptest.NewServer(standin.NewRunner(standin.RunnerSettings{ID: id, Tick: 10 * time.Millisecond}).Handler())
				t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
				proxies[id] = linetest.NewProxy(t, hs.Listener.Addr().String())
				list = append(list, upstream.Runner{Host: store.Host{ID: id, Addr: proxies[id].Addr(), Service: "s"}, State: upstream.Live})
			}
			re := &Relay{
				Runners: runner.NewClient(runner.Limits{}), List: func() []upstream.Runner { return list },
				MaxSessions: 2, PerRunner: 2, RunnerWait: linetest.HangTimeout,
			}
			used := ""
			linetest.MustReturn(t, "session", func() {
				err := re.Serve(context.Background(), Request{Service: "s", Topic: "t"}, func(ev Event) error {
					po, err := parseToken(ev.Token)
					switch {
					case err != nil:
						return err
					case used == "":
						used = po.Runner
						return proxies[used].Stall(st)
					case po.Runner != used, st == standin.DropRequests && ev.Seq > eventsAfterStall:
						return errDone
					}
					return nil
				})
				var caller *callerError
				qt.Check(t, errors.As(err, &caller) && errors.Is(caller.err, errDone), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}
