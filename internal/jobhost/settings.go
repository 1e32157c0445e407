// Package jobhost puts an entry host together that runs jobs on the users'
// platform.
package jobhost

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// Settings are those of one process, as its settings file has them.
type Settings struct {
	// Name and DataCentre are the host's.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// IP is the host's address towards other hosts, Ports the first and last
	// port that are free for that.
	IP    string `json:"ip"`
	Ports []int  `json:"ports"`
	// CallerAddr and ReadyAddr are where callers and the balancer connect.
	CallerAddr string `json:"caller_addr"`
	ReadyAddr  string `json:"ready_addr"`
	// Cores is the part of a core that the process may use, 0 if that is not
	// known, and Speed how many times as fast as a usual core it is, 0 for one.
	Cores float64 `json:"cores"`
	Speed float64 `json:"speed"`
	// StoreAddr is the store's.
	StoreAddr string `json:"store_addr"`
	// MaxLeaseMS is the longest lease that a worker grants, StopMS the longest
	// it takes to stop an attempt, GraceS the time between the signal to stop
	// and the end by force, KeepEndedS how long a job's state is told after its
	// end.
	MaxLeaseMS float64 `json:"max_lease_ms"`
	StopMS     float64 `json:"stop_ms"`
	GraceS     float64 `json:"grace_s"`
	KeepEndedS float64 `json:"keep_ended_s"`
	// HarmMS is how long a task may stay over its target because of fillers.
	HarmMS float64 `json:"harm_ms"`
}

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	var se Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return se, fmt.Errorf("read settings: %w", err)
	}
	if err := json.Unmarshal(data, &se); err != nil {
		return se, fmt.Errorf("decode settings %s: %w", path, err)
	}
	return se, se.Check()
}

// Check returns all mistakes, joined.
func (se Settings) Check() error {
	var errs []error
	bad := func(wrong bool, name, text string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf("setting %s: %s", name, fmt.Sprintf(text, args...)))
		}
	}
	bad(se.Name == "", "name", "is missing")
	bad(se.DataCentre == "", "data_centre", "is missing")
	bad(net.ParseIP(se.IP) == nil, "ip", "%q is not an IP number", se.IP)
	bad(len(se.Ports) != 2 || se.Ports[0] < 1 || se.Ports[1] < se.Ports[0] || se.Ports[1] > 65535, "ports", "%v: want the first and the last", se.Ports)
	for _, ad := range []struct{ name, addr string }{
		{"caller_addr", se.CallerAddr}, {"ready_addr", se.ReadyAddr}, {"store_addr", se.StoreAddr},
	} {
		host, _, err := net.SplitHostPort(ad.addr)
		bad(err != nil || net.ParseIP(host) == nil, ad.name, "%q: want an IP number and a port", ad.addr)
	}
	for _, nu := range []struct {
		name string
		n    float64
	}{{"max_lease_ms", se.MaxLeaseMS}, {"stop_ms", se.StopMS}, {"grace_s", se.GraceS}, {"keep_ended_s", se.KeepEndedS}, {"harm_ms", se.HarmMS}} {
		bad(nu.n <= 0, nu.name, "%v: want more than 0", nu.n)
	}
	bad(se.Cores < 0, "cores", "%v: want 0 or more", se.Cores)
	bad(se.Speed < 0, "speed", "%v: want 0 or more", se.Speed)
	return errors.Join(errs...)
}

// EffectiveCores is what the process may use, in usual cores; 0 is not known.
func (se Settings) EffectiveCores() float64 {
	if se.Speed == 0 {
		return se.Cores
	}
	return se.Cores * se.Speed
}

// PeerAddr is where other entry hosts connect.
func (se Settings) PeerAddr() string { return net.JoinHostPort(se.IP, fmt.Sprint(se.Ports[0])) }

// seconds and millis make durations of numbers in settings.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
func millis(n float64) time.Duration  { return time.Duration(n * float64(time.Millisecond)) }
