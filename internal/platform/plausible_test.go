package platform_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/platform"
)

func hosts(kind platform.HostKind, n int) []platform.Host {
	all := make([]platform.Host, n)
	for i := range all {
		all[i] = platform.Host{ID: fmt.Sprintf("%s%d", kind, i), Kind: kind, State: platform.HostLive}
	}
	return all
}

func TestListFilter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lf := &platform.ListFilter{}
		full := append(hosts(platform.KindRunner, 10), hosts(platform.KindWorker, 10)...)
		c.Assert(lf.Accept(full), qt.HasLen, 20)
		// A few that go are believed at once.
		c.Assert(lf.Accept(full[1:]), qt.HasLen, 19)
		c.Assert(lf.Accept(full), qt.HasLen, 20)
		// An empty list, or one without all workers, is not.
		c.Assert(lf.Accept(nil), qt.HasLen, 20)
		c.Assert(lf.Accept(full[:10]), qt.HasLen, 20)
		// What it says of those that it has is.
		left := hosts(platform.KindRunner, 1)
		left[0].State = platform.HostLeaving
		c.Assert(lf.Accept(left)[0].State, qt.Equals, platform.HostLeaving)
		c.Assert(lf.Accept(left), qt.HasLen, 20)
		// Back again, the doubt begins anew the next time.
		c.Assert(lf.Accept(full), qt.HasLen, 20)
		time.Sleep(time.Minute)
		c.Assert(lf.Accept(nil), qt.HasLen, 20)
		// A list that stays so is believed after a while.
		time.Sleep(time.Minute)
		c.Assert(lf.Accept(nil), qt.HasLen, 0)
	})
}
