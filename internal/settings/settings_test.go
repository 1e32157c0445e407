package settings

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func validSettings() Serve {
	return Serve{
		Name: "e1", DC: "a", DCs: []string{"a", "b"},
		CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", AdminAddr: "[::1]:3", Peers: []string{"10.0.0.1:2"},
		TableURL: "http://10.0.0.1:1", ObjectsURL: "http://10.0.0.1:2", HostsURL: "http://10.0.0.1:3",
		MaxBody: 1, MaxConns: 1, MaxInFlight: 1, MaxSessions: 1, MaxClaims: 1, RunnerConns: 1, RunnerSessions: 1,
		CellInterval: time.Second, LeaseTTL: 6 * time.Second, LeaseEvery: 2 * time.Second,
	}
}

func TestCheckReportsInvalidSettings(t *testing.T) {
	qt.Assert(t, validSettings().Check(), qt.IsNil)
	for _, te := range []struct {
		name    string
		invalid func(*Serve)
		flag    string
	}{
		{"name", func(se *Serve) { se.Name = "E 1" }, "--name"},
		{"data centre not in the list", func(se *Serve) { se.DC = "c" }, "--data-centres"},
		{"host name for an address", func(se *Serve) { se.PeerAddr = "localhost:1" }, "--peer-addr"},
		{"no port", func(se *Serve) { se.CallerAddr = "127.0.0.1" }, "--caller-addr"},
		{"peer", func(se *Serve) { se.Peers = []string{"x"} }, "--peer"},
		{"no URL", func(se *Serve) { se.TableURL = "" }, "--table"},
		{"limit", func(se *Serve) { se.MaxConns = 0 }, "--max-conns"},
		{"lease too short", func(se *Serve) { se.LeaseTTL = 5 * time.Second }, "--lease-ttl"},
	} {
		t.Run(te.name, func(t *testing.T) {
			se := validSettings()
			te.invalid(&se)
			qt.Assert(t, se.Check(), qt.ErrorMatches, te.flag+": .*")
		})
	}
	t.Run("all at once", func(t *testing.T) {
		err := Serve{}.Check()
		for _, flag := range []string{"--name", "--data-centre", "--table", "--objects", "--hosts", "--max-body"} {
			qt.Check(t, err, qt.ErrorMatches, "(?s).*"+flag+".*")
		}
	})
}
