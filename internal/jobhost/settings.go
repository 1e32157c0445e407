// Package jobhost assembles an entry host that schedules jobs on the users' platform: the
// front end, the owner of the cell when this host owns it, the relay for other owners, and
// the servers. It is separate from those packages so that they don't depend on the platform
// or on settings. A deployment has one cell, and a changed listening address needs a restart.
package jobhost

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// Settings is the content of the settings file of one process.
type Settings struct {
	// Name is the unique name of the host, DataCentre its data centre.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// IP is the address at which other hosts reach this one, Ports the first and the last
	// port reserved for that.
	IP    string `json:"ip"`
	Ports []int  `json:"ports"`
	// CallerAddr is the address for callers, ReadyAddr the one for the readiness checks
	// of the load balancer.
	CallerAddr string `json:"caller_addr"`
	ReadyAddr  string `json:"ready_addr"`
	// Cores is the number of cores that the process may use, a fraction included, or 0 if
	// that is not known. Speed is their speed relative to a usual core; 0 means 1.
	Cores float64 `json:"cores"`
	Speed float64 `json:"speed"`
	// StoreAddr is the IP address and port of the store.
	StoreAddr string `json:"store_addr"`
	// MaxLeaseMS is the longest lease that a worker grants, StopMS the longest time it
	// takes to stop an attempt, GraceS the time between the signal to stop and the forced
	// end of the process, KeepEndedS how long the state of an ended job is retained.
	MaxLeaseMS float64 `json:"max_lease_ms"`
	StopMS     float64 `json:"stop_ms"`
	GraceS     float64 `json:"grace_s"`
	KeepEndedS float64 `json:"keep_ended_s"`
	// HarmMS is how long a task may exceed its latency target because of fillers.
	HarmMS float64 `json:"harm_ms"`
	// PaceMS is how long a worker takes until an ordered pace is in effect.
	PaceMS float64 `json:"pace_ms"`
}

// ReadSettings reads and validates a settings file.
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

// Check returns an error that joins all invalid settings, or nil.
func (se Settings) Check() error {
	var errs []error
	reject := func(invalid bool, name, text string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf("setting %s: %s", name, fmt.Sprintf(text, args...)))
		}
	}
	reject(se.Name == "", "name", "is missing")
	reject(se.DataCentre == "", "data_centre", "is missing")
	reject(net.ParseIP(se.IP) == nil, "ip", "%q is not an IP address", se.IP)
	reject(len(se.Ports) != 2 || se.Ports[0] < 1 || se.Ports[1] < se.Ports[0] || se.Ports[1] > 65535, "ports", "%v: want the first and the last port, between 1 and 65535", se.Ports)
	for _, ad := range []struct{ name, addr string }{
		{"caller_addr", se.CallerAddr}, {"ready_addr", se.ReadyAddr}, {"store_addr", se.StoreAddr},
	} {
		host, _, err := net.SplitHostPort(ad.addr)
		reject(err != nil || net.ParseIP(host) == nil, ad.name, "%q: want an IP address and a port", ad.addr)
	}
	for _, nu := range []struct {
		name string
		n    float64
	}{{"max_lease_ms", se.MaxLeaseMS}, {"stop_ms", se.StopMS}, {"grace_s", se.GraceS}, {"keep_ended_s", se.KeepEndedS}, {"harm_ms", se.HarmMS}} {
		reject(nu.n <= 0, nu.name, "%v: want more than 0", nu.n)
	}
	reject(se.PaceMS < 0, "pace_ms", "%v: want 0 or more", se.PaceMS)
	reject(se.Cores < 0, "cores", "%v: want 0 or more", se.Cores)
	reject(se.Speed < 0, "speed", "%v: want 0 or more", se.Speed)
	return errors.Join(errs...)
}

// EffectiveCores returns the processor capacity of the process in usual cores, or 0 if it
// is not known.
func (se Settings) EffectiveCores() float64 {
	if se.Speed == 0 {
		return se.Cores
	}
	return se.Cores * se.Speed
}

// PeerAddr returns the address at which other entry hosts connect.
func (se Settings) PeerAddr() string { return net.JoinHostPort(se.IP, fmt.Sprint(se.Ports[0])) }

// seconds and millis convert numbers in settings to durations.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
func millis(n float64) time.Duration  { return time.Duration(n * float64(time.Millisecond)) }
