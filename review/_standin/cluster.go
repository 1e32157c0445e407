package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The deployment: the addresses differ, the ports are those of every host.
const (
	hostCount    = 3
	runnerCount  = 8
	callerPort   = 8161
	readyPort    = 8167
	peerPort     = 7720
	lastPeerPort = 7735
	service      = "routedesk"
	callerHost   = "novo13.example"
	pathPrefix   = "/gono990/"
	maxAttempts  = 3
	// readyWait bounds the time until all hosts are ready and one owns the cell.
	readyWait = 15 * time.Second
)

var zones = []string{"burnaby-hall", "richmond-hall", "surrey-hall"}

// cluster is a small deployment: entry hosts as processes, and everything else in this one.
type cluster struct {
	log    *slog.Logger
	store  *metadataStore
	fleet  *fleet
	hosts  []*entryHost
	dir    string
	client *http.Client
	// subnet is the part of the loopback addresses that is this run's own.
	subnet string
}

// entryHost is a machine of the system and its process.
type entryHost struct {
	name, ip string
	cmd      *exec.Cmd
	logFile  *os.File
}

func newCluster(op options, log *slog.Logger) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	cl := &cluster{log: log, store: newStore(), dir: dir, client: &http.Client{Timeout: 3 * time.Second}}
	cl.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	cl.fleet = &fleet{log: log, store: cl.store, savedWork: map[string]time.Duration{}}
	cl.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": callerHost, "path-prefix": pathPrefix, "type": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 1000, "priority": 0, "service": service, "max-attempts": maxAttempts, "extension": 2,
		}},
		"services": []map[string]any{{"name": service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "preconditions": true, "headroom": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	li, err := net.Listen("tcp", cl.subnet+"200:0")
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	go func() { _ = (&http.Server{Handler: cl.store, ReadHeaderTimeout: 5 * time.Second}).Serve(li) }()
	for i := range runnerCount {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		rn := &runner{
			fl: cl.fleet, index: i, addr: fmt.Sprintf("%s%d:0", cl.subnet, 100+i), service: service, zone: zones[i%len(zones)],
			labels: []string{kind, fmt.Sprintf("r1-%d", i/4)}, cpu: 32000, mem: 128000,
		}
		if err := rn.start(); err != nil {
			return nil, errors.Join(err, os.RemoveAll(dir))
		}
		cl.fleet.runners = append(cl.fleet.runners, rn)
	}
	for i := range hostCount {
		if err := cl.startHost(op, i, li.Addr().String()); err != nil {
			cl.close()
			return nil, err
		}
	}
	return cl, cl.waitReady()
}

// startHost starts an entry host with the command of the deploy file.
func (cl *cluster) startHost(op options, i int, storeAddr string) error {
	zone := zones[i%len(zones)]
	eh := &entryHost{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("%s%d", cl.subnet, 11+i)}
	fields := map[string]any{
		"node-name": eh.name, "zone": zone, "ip": eh.ip, "port-range": []int{peerPort, lastPeerPort},
		"listen-addrs.frontend": fmt.Sprintf("%s:%d", eh.ip, callerPort), "listen-addrs.readiness": fmt.Sprintf("%s:%d", eh.ip, readyPort),
		"limits.cpu-share": 0.4, "limits.cpu-cores": 1, "platform.address": storeAddr, "bounds.max-lease-ms": maxLease.Milliseconds(), "bounds.stop_ms": 900,
		"bounds.grace-s": 6, "bounds.status_s": 120, "bounds.harm_ms": 4000, "bounds.pace_ms": 100,
	}
	settings, err := fillTemplate(op.Template, fields)
	if err != nil {
		return err
	}
	path := filepath.Join(cl.dir, eh.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	if eh.logFile, err = os.Create(filepath.Join(cl.dir, eh.name+".log")); err != nil {
		return err
	}
	eh.cmd = exec.Command(op.Program, "run")
	eh.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PEPPERHATCH_BOOT=" + path}
	eh.cmd.Stdout, eh.cmd.Stderr = eh.logFile, eh.logFile
	if err := eh.cmd.Start(); err != nil {
		return err
	}
	cl.log.Info("entry host starts", "host", eh.name, "ip", eh.ip, "pid", eh.cmd.Process.Pid)
	cl.hosts = append(cl.hosts, eh)
	return nil
}

var gap = regexp.MustCompile(`\{\{([^|}]+)\|json\}\}`)

// fillTemplate fills the gaps of the settings' template, all of which are of the form
// {{name|json}}.
func fillTemplate(path string, fields map[string]any) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var missing []string
	filled := gap.ReplaceAllFunc(data, func(found []byte) []byte {
		name := string(gap.FindSubmatch(found)[1])
		value, ok := fields[name]
		if !ok {
			missing = append(missing, name)
		}
		text, merr := json.Marshal(value)
		err = errors.Join(err, merr)
		return text
	})
	if len(missing) > 0 {
		return nil, fmt.Errorf("template needs %s", strings.Join(missing, ", "))
	}
	return filled, err
}

func (cl *cluster) waitReady() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := cl.owner() != nil
		for _, eh := range cl.hosts {
			resp, err := cl.client.Get(fmt.Sprintf("http://%s:%d/pepperhatch/readyz", eh.ip, readyPort))
			if err != nil {
				ready = false
				continue
			}
			ready = ready && resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		if ready {
			// The owner has to read the cell and to reach the runners.
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	cl.close()
	return errors.New("entry hosts are not ready in time")
}

// owner returns the host that the store names as the holder of the cell, or nil.
func (cl *cluster) owner() *entryHost {
	var held struct {
		Owner string `json:"owner"`
	}
	value := cl.store.value(rowName{Table: "cells", Part: "c0", Key: "owner"})
	if value == nil || json.Unmarshal(value, &held) != nil {
		return nil
	}
	for _, eh := range cl.hosts {
		if eh.name == held.Owner {
			return eh
		}
	}
	return nil
}

// signal sends a signal to the process of a host.
func (cl *cluster) signal(eh *entryHost, si syscall.Signal) {
	cl.log.Info("signal", "host", eh.name, "signal", si.String())
	_ = eh.cmd.Process.Signal(si)
}

// restart starts the process of a host again some time after it was killed.
func (cl *cluster) restart(eh *entryHost, after time.Duration) {
	former := eh.cmd
	_ = former.Wait()
	time.Sleep(after)
	next := exec.Command(former.Path, former.Args[1:]...)
	next.Env, next.Stdout, next.Stderr = former.Env, former.Stdout, former.Stderr
	if err := next.Start(); err != nil {
		cl.log.Error("entry host not started again", "host", eh.name, "err", err)
		return
	}
	eh.cmd = next
	cl.log.Info("entry host starts again", "host", eh.name, "pid", next.Process.Pid)
}

// close ends all processes and removes the temporary folder.
func (cl *cluster) close() {
	for _, eh := range cl.hosts {
		_ = eh.cmd.Process.Kill()
		_ = eh.cmd.Wait()
		_ = eh.logFile.Close()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		cl.log.Info("logs kept", "dir", cl.dir)
		return
	}
	_ = os.RemoveAll(cl.dir)
}
