// Package settings has the settings of an entry host, which are read from flags and
// environment variables. [Serve.Check] reports all invalid settings at once, so that a
// host starts only with settings that can work.
package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/google/uuid"
)

// Serve has the settings of an entry host.
type Serve struct {
	Machine

	Name        string   `long:"name" env:"PEPPERHATCH_NAME" description:"name of the host; each process adds a random suffix"`
	DC          string   `long:"data-centre" env:"PEPPERHATCH_DATA_CENTRE" description:"data centre of the host"`
	DCs         []string `long:"data-centres" env:"PEPPERHATCH_DATA_CENTRES" env-delim:"," description:"all data centres, the same list on every host"`
	CallerAddr  string   `long:"caller-addr" env:"PEPPERHATCH_CALLER_ADDR" default:"127.0.0.1:7400" description:"IP address and port for callers"`
	PeerAddr    string   `long:"peer-addr" env:"PEPPERHATCH_PEER_ADDR" default:"127.0.0.1:7401" description:"IP address and port for other entry hosts"`
	AdminAddr   string   `long:"admin-addr" env:"PEPPERHATCH_ADMIN_ADDR" default:"127.0.0.1:7402" description:"IP address and port for operators, metrics and health"`
	Peers       []string `long:"peer" env:"PEPPERHATCH_PEERS" env-delim:"," description:"peer address of another entry host, from which the others are discovered"`
	TableURL    string   `long:"table" env:"PEPPERHATCH_TABLE" description:"URL of the platform's table service"`
	ObjectsURL  string   `long:"objects" env:"PEPPERHATCH_OBJECTS" description:"URL of the platform's object store"`
	HostsURL    string   `long:"hosts" env:"PEPPERHATCH_HOSTS" description:"URL of the platform's host list"`
	MaxBody     int64    `long:"max-body" env:"PEPPERHATCH_MAX_BODY" default:"1048576" description:"largest body of a request, in bytes"`
	MaxConns    int      `long:"max-conns" env:"PEPPERHATCH_MAX_CONNS" default:"8000" description:"most connections on each port"`
	MaxInFlight int      `long:"max-in-flight" env:"PEPPERHATCH_MAX_IN_FLIGHT" default:"4000" description:"most requests in flight on each port"`
	MaxSessions int      `long:"max-sessions" env:"PEPPERHATCH_MAX_SESSIONS" default:"2000" description:"most sessions at a time"`
	MaxClaims   int      `long:"max-claims" env:"PEPPERHATCH_MAX_CLAIMS" default:"100000" description:"most ids of run-once requests retained"`

	RunnerConns    int           `long:"runner-conns" env:"PEPPERHATCH_RUNNER_CONNS" default:"12" description:"most connections for requests to one runner"`
	RunnerSessions int           `long:"runner-sessions" env:"PEPPERHATCH_RUNNER_SESSIONS" default:"12" description:"most sessions at one runner, each with a connection"`
	CellInterval   time.Duration `long:"cell-interval" env:"PEPPERHATCH_CELL_INTERVAL" default:"100ms" description:"minimum interval between batches written to a cell's journal"`
	LeaseTTL       time.Duration `long:"lease-ttl" env:"PEPPERHATCH_LEASE_TTL" default:"6s" description:"validity of a lease after its renewal in the table; the same on every host"`
	LeaseEvery     time.Duration `long:"lease-every" env:"PEPPERHATCH_LEASE_EVERY" default:"2s" description:"interval between lease renewals"`
	StopDelay      time.Duration `long:"stop-delay" env:"PEPPERHATCH_STOP_DELAY" default:"2s" description:"time for the load balancer to notice a planned stop before the ports close"`
	StopGrace      time.Duration `long:"stop-grace" env:"PEPPERHATCH_STOP_GRACE" default:"60s" description:"time limit for requests in flight at a planned stop"`
	LogLevel       string        `long:"log-level" env:"PEPPERHATCH_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of lines logged"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Check returns all invalid settings as one joined error.
func (se Serve) Check() error {
	var errs []error
	reject := func(invalid bool, flag, text string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(text, args...)))
		}
	}
	reject(!namePattern.MatchString(se.Name), "name", "%q: want lower-case letters, digits and -, 40 at most", se.Name)
	reject(!namePattern.MatchString(se.DC), "data-centre", "%q: want lower-case letters, digits and -, 40 at most", se.DC)
	reject(!slices.Contains(se.DCs, se.DC), "data-centres", "%v does not contain the host's own data centre, %q", se.DCs, se.DC)
	for _, ad := range []struct{ flag, addr string }{
		{"caller-addr", se.CallerAddr}, {"peer-addr", se.PeerAddr}, {"admin-addr", se.AdminAddr},
	} {
		err := checkAddr(ad.addr)
		reject(err != nil, ad.flag, "%q: %v", ad.addr, err)
	}
	for _, addr := range se.Peers {
		err := checkAddr(addr)
		reject(err != nil, "peer", "%q: %v", addr, err)
	}
	for _, ur := range []struct{ flag, text string }{
		{"table", se.TableURL}, {"objects", se.ObjectsURL}, {"hosts", se.HostsURL},
	} {
		err := checkURL(ur.text)
		reject(err != nil, ur.flag, "%q: %v", ur.text, err)
	}
	if err := se.Machine.check(); err != nil {
		errs = append(errs, err)
	}
	reject(se.MaxBody < 1, "max-body", "%d: want at least 1", se.MaxBody)
	for _, nu := range []struct {
		flag string
		n    int
	}{
		{"max-conns", se.MaxConns}, {"max-in-flight", se.MaxInFlight}, {"max-sessions", se.MaxSessions},
		{"max-claims", se.MaxClaims}, {"runner-conns", se.RunnerConns}, {"runner-sessions", se.RunnerSessions},
	} {
		reject(nu.n < 1, nu.flag, "%d: want at least 1", nu.n)
	}
	reject(se.CellInterval < time.Millisecond, "cell-interval", "%v: want at least 1ms", se.CellInterval)
	reject(se.LeaseEvery < 10*time.Millisecond, "lease-every", "%v: want at least 10ms", se.LeaseEvery)
	reject(se.LeaseTTL < 3*se.LeaseEvery, "lease-ttl", "%v: want at least three times --lease-every, %v", se.LeaseTTL, se.LeaseEvery)
	reject(se.StopDelay < 0, "stop-delay", "%v: want 0 or more", se.StopDelay)
	reject(se.StopGrace < 0, "stop-grace", "%v: want 0 or more", se.StopGrace)
	return errors.Join(errs...)
}

// checkAddr requires an IP address and a port, because hosts connect to each other without
// name resolution.
func checkAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("want an IP address and a port: %w", err)
	}
	if net.ParseIP(host) == nil {
		return errors.New("want an IP address, not a name")
	}
	return nil
}

func checkURL(text string) error {
	ur, err := url.Parse(text)
	if err != nil || ur.Scheme != "http" || ur.Host == "" {
		return errors.New("want a URL such as http://127.0.0.1:7000")
	}
	return nil
}

// Level returns the minimum level of lines logged.
func (se Serve) Level() slog.Level {
	var le slog.Level
	_ = le.UnmarshalText([]byte(se.LogLevel))
	return le
}

// ProcessID returns a new unique ID for the process: after a restart the host is a new
// member.
func (se Serve) ProcessID() string {
	return se.Name + "-" + uuid.NewString()[:8]
}
