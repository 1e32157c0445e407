package runner_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

func TestStalledRunner(t *testing.T) {
	ru := standin.NewRunner(standin.RunnerSettings{ID: "r1", Slots: 20, Tick: 10 * time.Millisecond})
	hs := httptest.NewServer(ru.Handler())
	t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
	for name, call := range map[string]func(context.Context, runner.Client, string) error{"request": request, "session": session} {
		t.Run(name, func(t *testing.T) {
			linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
				cl := runner.NewClient(runner.Limits{})
				return func(ctx context.Context) error { return call(ctx, cl, addr) }
			})
		})
	}
}

func request(ctx context.Context, cl runner.Client, addr string) error {
	_, err := cl.RunFunc(ctx, addr, runner.Request{ID: "id", Service: "s", Body: []byte("x"), Deadline: time.Now().Add(time.Minute)})
	return err
}

// session reads a session up to its second event.
func session(ctx context.Context, cl runner.Client, addr string) error {
	next, stop, err := cl.SessionFunc(ctx, addr, runner.SessionRequest{SessionID: "id", Topic: "t"})
	if err != nil {
		return err
	}
	defer stop()
	for {
		ev, err := next()
		if err != nil || ev.Seq == 2 {
			return err
		}
	}
}
