package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (rec *recorder) logf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%8.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// Names of the deployment under test.
const (
	service    = "routedesk"
	queueHost  = "novo13.example"
	pathPrefix = "/gono990/"
)

// zones are those of the site; each has one entry host.
var zones = []string{"burnaby-hall", "richmond-hall", "surrey-hall"}

// Ports of the entry hosts, the same on all of them.
const (
	callerPort = 20161
	adminPort  = 20166
	readyPort  = 20167
	firstPort  = 20720
	lastPort   = 20735
	storePort  = 20169
)

// bed is a small deployment: three entry hosts, the store, and runners, on loopback addresses.
type bed struct {
	rec   *recorder
	st    *platformStore
	fl    *fleet
	hosts []*host
	dir   string
	// net is the first three octets of all addresses.
	net string
}

// host is an entry host and its process.
type host struct {
	bd   *bed
	name string
	ip   string
	zone string
	boot string
	log  *os.File
	cmd  *exec.Cmd
	done chan error
}

// newBed starts the store and nothing else.
func newBed(rec *recorder, dir string) (*bed, error) {
	bd := &bed{rec: rec, dir: dir}
	for n := range 50 {
		pid := os.Getpid() + n
		bd.net = fmt.Sprintf("127.%d.%d", 64+pid/200%60, 1+pid%200)
		st, err := newStore(net.JoinHostPort(bd.net+".7", strconv.Itoa(storePort)))
		if err == nil && bd.portsFree() {
			bd.st = st
			break
		}
		if err == nil {
			_ = st.ln.Close()
		}
	}
	if bd.st == nil {
		return nil, fmt.Errorf("no loopback addresses with free ports")
	}
	bd.fl = &fleet{st: bd.st, rec: rec}
	return bd, nil
}

// portsFree reports whether the entry hosts can listen.
func (bd *bed) portsFree() bool {
	for i := range zones {
		for _, port := range []int{callerPort, readyPort, firstPort, 9464} {
			ln, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", bd.net, 11+i), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// gap matches the only kind of gap that the project's template has.
var gap = regexp.MustCompile(`\{\{([a-z_.-]+)\|json\}\}`)

// settings fills the project's template as the platform does.
func (ho *host) settings() ([]byte, error) {
	tmpl, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return nil, err
	}
	fields := map[string]any{
		"node-name": ho.name, "zone": ho.zone, "ip": ho.ip, "port-range": []int{firstPort, lastPort},
		"listen-addrs.frontend": net.JoinHostPort(ho.ip, strconv.Itoa(callerPort)), "listen-addrs.readiness": net.JoinHostPort(ho.ip, strconv.Itoa(readyPort)),
		"listen-addrs.admin": net.JoinHostPort(ho.ip, strconv.Itoa(adminPort)), "limits.cpu-share": 0.4, "limits.cpu-cores": 1,
		"platform.address": ho.bd.st.ln.Addr().String(), "bounds.max-lease-ms": maxLease.Milliseconds(), "bounds.stop_ms": 900, "bounds.grace-s": 6,
		"bounds.status_s": 120, "bounds.harm_ms": 4000, "bounds.pace_ms": 100,
	}
	var missing error
	out := gap.ReplaceAllFunc(tmpl, func(match []byte) []byte {
		name := string(gap.FindSubmatch(match)[1])
		value, ok := fields[name]
		if !ok {
			missing = fmt.Errorf("template asks for %s", name)
		}
		data, _ := json.Marshal(value)
		return data
	})
	return out, missing
}

// startHosts starts the entry hosts.
func (bd *bed) startHosts() error {
	for i, zone := range zones {
		ho := &host{bd: bd, name: "edge-" + zone + "-1", ip: fmt.Sprintf("%s.%d", bd.net, 11+i), zone: zone}
		ho.boot = filepath.Join(bd.dir, ho.name+".json")
		bd.hosts = append(bd.hosts, ho)
		if err := ho.start(); err != nil {
			return err
		}
	}
	return nil
}

// runCommand is the command of the deploy file.
func runCommand() (string, []string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(data)
	if m == nil {
		return "", nil, fmt.Errorf("deploy file has no run command")
	}
	words := strings.Fields(string(m[1]))
	path, err := filepath.Abs(words[0])
	return path, words[1:], err
}

func (ho *host) start() error {
	data, err := ho.settings()
	if err != nil {
		return err
	}
	if err := os.WriteFile(ho.boot, data, 0o600); err != nil {
		return err
	}
	if ho.log, err = os.OpenFile(filepath.Join(ho.bd.dir, ho.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	path, args, err := runCommand()
	if err != nil {
		return err
	}
	ho.cmd = exec.Command(path, args...)
	ho.cmd.Env = []string{"PEPPERHATCH_BOOT=" + ho.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + ho.bd.dir, "LANG=C"}
	ho.cmd.Stdout, ho.cmd.Stderr = ho.log, ho.log
	ho.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := ho.cmd.Start(); err != nil {
		return err
	}
	ho.done = make(chan error, 1)
	go func() { ho.done <- ho.cmd.Wait() }()
	ho.bd.rec.logf("machine %s started at %s, process %d", ho.name, ho.ip, ho.cmd.Process.Pid)
	return nil
}

// kill ends the process and waits for its end.
func (ho *host) kill() {
	_ = ho.cmd.Process.Kill()
	<-ho.done
	_ = ho.log.Close()
	ho.bd.rec.logf("machine %s: process killed", ho.name)
}

// close ends all processes that the bed started.
func (bd *bed) close() {
	for _, ho := range bd.hosts {
		if ho.cmd != nil && ho.cmd.Process != nil {
			_ = ho.cmd.Process.Kill()
		}
	}
	for _, ho := range bd.hosts {
		if ho.done != nil {
			select {
			case <-ho.done:
			case <-time.After(3 * time.Second):
			}
		}
	}
}

// configure writes the operator's first configuration: one queue.
func (bd *bed) configure() {
	bd.st.put("op", "config", map[string]any{
		"version": 7, "limits": map[string]any{"max-body-bytes": 262144}, "services": []any{map[string]any{"name": service, "preconditions": true}},
		"routes": []any{map[string]any{
			"name": "r-one", "host": queueHost, "path-prefix": pathPrefix, "service": service, "priority": 0, "max-attempts": 3, "extension": 2.0, "target-latency-ms": 2500,
		}},
	})
}

// ready waits until all entry hosts are ready and an owner has settled its runners.
func (bd *bed) ready() error {
	for _, ho := range bd.hosts {
		err := waitFor(15*time.Second, func() bool {
			resp, err := http.Get("http://" + net.JoinHostPort(ho.ip, strconv.Itoa(readyPort)) + "/pepperhatch/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("machine %s does not get ready", ho.name)
		}
	}
	return nil
}

func waitFor(limit time.Duration, fn func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if fn() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", limit)
}

// answer is the answer to a client's request; status 0 means that there was none.
type answer struct {
	status int
	body   string
}

// call makes a client's request to a machine, and records it.
func (bd *bed) call(ho *host, method, path string, body any) answer {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(ho.ip, strconv.Itoa(callerPort))+pathPrefix+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("X-Pepperhatch-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	began := time.Now()
	var an answer
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err == nil {
		text, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if rerr == nil {
			an = answer{resp.StatusCode, strings.TrimSpace(string(text))}
		}
	}
	bd.rec.logf("client: %s %s%s at %s -> %d %s (%v)", method, pathPrefix, path, ho.name, an.status, an.body, time.Since(began).Round(time.Millisecond))
	return an
}

// submit submits a job as clients do: after no answer, a 502 or a 504 the same id goes to another
// machine, after a 429 or 503 it waits a second first. It reports whether the job was accepted.
func (bd *bed) submit(id string, job any) bool {
	for try := range 5 {
		an := bd.call(bd.hosts[try%len(bd.hosts)], http.MethodPost, id, job)
		switch {
		case an.status/100 == 2:
			return true
		case an.status == http.StatusTooManyRequests, an.status == http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		}
	}
	return false
}

// state returns the state of a job as a machine tells it, or "".
func (bd *bed) state(ho *host, id string) string {
	an := bd.call(ho, http.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(an.body), &body)
	return body.State
}

// pending returns the number of pending jobs as a machine tells it; ok is false without one.
func (bd *bed) pending(ho *host) (n int, ok bool) {
	an := bd.call(ho, http.MethodGet, "", nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	if an.status != http.StatusOK || json.Unmarshal([]byte(an.body), &body) != nil || body.Pending == nil {
		return 0, false
	}
	return *body.Pending, true
}
