package store_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

func hosts(kind store.HostKind, n int) []store.Host {
	all := make([]store.Host, n)
	for i := range all {
		all[i] = store.Host{ID: fmt.Sprintf("%s%d", kind, i), Kind: kind, State: store.HostLive}
	}
	return all
}

func TestListFilterRejectsImplausibleLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lf := &store.ListFilter{}
		full := append(hosts(store.KindRunner, 10), hosts(store.KindWorker, 10)...)
		c.Assert(lf.Accept(full), qt.HasLen, 20)
		// A few missing hosts are accepted at once.
		c.Assert(lf.Accept(full[1:]), qt.HasLen, 19)
		c.Assert(lf.Accept(full), qt.HasLen, 20)
		// An empty list, or one without any worker, is not accepted.
		c.Assert(lf.Accept(nil), qt.HasLen, 20)
		c.Assert(lf.Accept(full[:10]), qt.HasLen, 20)
		// The entries of an implausible list are used.
		left := hosts(store.KindRunner, 1)
		left[0].State = store.HostLeaving
		c.Assert(lf.Accept(left)[0].State, qt.Equals, store.HostLeaving)
		c.Assert(lf.Accept(left), qt.HasLen, 20)
		// A complete list resets the time.
		c.Assert(lf.Accept(full), qt.HasLen, 20)
		time.Sleep(time.Minute)
		c.Assert(lf.Accept(nil), qt.HasLen, 20)
		// A list that stays implausible is accepted in the end.
		time.Sleep(time.Minute)
		c.Assert(lf.Accept(nil), qt.HasLen, 0)
	})
}
