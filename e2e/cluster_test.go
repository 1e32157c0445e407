package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
	"github.com/pepperhatch/pepperhatch/internal/caller"
)

// waitTimeout bounds every wait of these tests. No test asserts how long a wait takes.
const waitTimeout = 60 * time.Second

var dataCentres = []string{"burnaby-hall", "surrey-hall"}

// binaries is the directory of the two programs, built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "pepperhatch")
		if err != nil {
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		binaries = dir
		build := exec.Command("go", "build", "-o", dir, "../cmd/...")
		build.Stderr = os.Stderr
		if build.Run() != nil {
			return 1
		}
		return m.Run()
	}())
}

// process is one process of a cluster.
type process struct {
	*exec.Cmd

	name string
	// addrs holds the caller, peer and operator addresses of an entry host.
	addrs [3]string
}

// cluster is a set of processes that communicate over loopback.
type cluster struct {
	c        *qt.C
	dir      string
	platform [3]string
	entries  []*process
	runners  []*process
	workers  []*process
	web      *http.Client
	// env are further environment variables of entry hosts.
	env []string
}

// nextPort is where the search for the next free port starts: below the ephemeral
// ports, as an outgoing connection could take one of those before it is used.
var nextPort = 20000 + os.Getpid()%10000

// freeAddr returns an unused loopback address.
func freeAddr(c *qt.C) string { return freeAddrAt(c, "127.0.0.1") }

// freeAddrAt returns an unused address at a loopback IP address.
func freeAddrAt(c *qt.C, ip string) string {
	for {
		nextPort++
		addr := fmt.Sprintf("%s:%d", ip, nextPort)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			c.Assert(ln.Close(), qt.IsNil)
			return addr
		}
	}
}

// startCluster starts the platform, three entry hosts in two data centres,
// and two runners and two workers in each.
func startCluster(c *qt.C, env ...string) *cluster {
	cl := &cluster{c: c, dir: c.TempDir(), web: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, env: env}
	for i := range cl.platform {
		cl.platform[i] = freeAddr(c)
	}
	cl.start("standin", "platform", "platform", "--lag", "200ms",
		"--table", cl.platform[0], "--objects", cl.platform[1], "--hosts", cl.platform[2])
	cl.await("platform", func() bool {
		conn, err := net.Dial("tcp", cl.platform[2])
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	for _, dc := range dataCentres {
		for i := 1; i <= 2; i++ {
			name := fmt.Sprintf("%s-runner%d", dc, i)
			cl.runners = append(cl.runners, cl.start("standin", name, "runner", "--addr", freeAddr(c), "--name", name,
				"--data-centre", dc, "--service", "routedesk", "--mean", "5ms", "--log", cl.runLogPath(name), "--hosts", "http://"+cl.platform[2]))
			name = fmt.Sprintf("%s-worker%d", dc, i)
			cl.workers = append(cl.workers, cl.start("standin", name, "worker", "--addr", freeAddr(c), "--name", name,
				"--data-centre", dc, "--rack", fmt.Sprintf("r%d", i), "--lag", "500ms", "--hosts", "http://"+cl.platform[2]))
		}
	}
	for i, dc := range []string{dataCentres[0], dataCentres[0], dataCentres[1]} {
		cl.entries = append(cl.entries, cl.startEntry(fmt.Sprintf("e%d", i+1), dc))
	}
	cl.await("all hosts see each other", cl.allVisible)
	return cl
}

// runLogPath returns the path of the file in which a runner logs the requests it starts.
func (cl *cluster) runLogPath(runner string) string { return filepath.Join(cl.dir, runner+".log") }

// start starts a process, which is killed at the end of the test. If the test failed, the
// end of its output is logged.
func (cl *cluster) start(binary, name string, args ...string) *process {
	return cl.startWithEnv(nil, binary, name, args...)
}

// startWithEnv is like start, with further environment variables.
func (cl *cluster) startWithEnv(env []string, binary, name string, args ...string) *process {
	cmd := exec.Command(filepath.Join(binaries, binary), args...)
	cmd.Env = append(os.Environ(), env...)
	out, err := os.Create(filepath.Join(cl.dir, name+".out"))
	cl.c.Assert(err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = out, out
	cl.c.Assert(cmd.Start(), qt.IsNil)
	cl.c.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
		if cl.c.Failed() {
			data, _ := os.ReadFile(out.Name())
			cl.c.Logf("%s:\n%s", name, lastBytes(data))
		}
	})
	return &process{Cmd: cmd, name: name}
}

func lastBytes(data []byte) []byte {
	return data[max(0, len(data)-2000):]
}

func (cl *cluster) startEntry(name, dc string) *process {
	addrs := [3]string{freeAddr(cl.c), freeAddr(cl.c), freeAddr(cl.c)}
	args := []string{
		"serve", "--name", name, "--data-centre", dc,
		"--data-centres", dataCentres[0], "--data-centres", dataCentres[1],
		"--caller-addr", addrs[0], "--peer-addr", addrs[1], "--admin-addr", addrs[2],
		"--table", "http://" + cl.platform[0], "--objects", "http://" + cl.platform[1], "--hosts", "http://" + cl.platform[2],
		"--lease-ttl", "3s", "--lease-every", "500ms", "--stop-delay", "500ms",
	}
	for _, other := range cl.entries {
		args = append(args, "--peer", other.addrs[1])
	}
	pr := cl.startWithEnv(cl.env, "pepperhatch", name, args...)
	pr.addrs = addrs
	return pr
}

func (cl *cluster) killProcess(pr *process) {
	cl.c.Check(pr.Process.Signal(syscall.SIGKILL), qt.IsNil)
}

// await waits until the condition holds.
func (cl *cluster) await(what string, condition func() bool) {
	cl.c.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		cl.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("waiting for: %s", what))
	}
}

func (cl *cluster) admin(i int) pepperhatchv1connect.OperatorServiceClient {
	return pepperhatchv1connect.NewOperatorServiceClient(cl.web, "http://"+cl.entries[i].addrs[2])
}

func (cl *cluster) status(i int) *pb.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := cl.admin(i).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return &pb.StatusResponse{}
	}
	return resp.Msg
}

// allVisible reports whether each entry host lists all hosts, the runners and the workers.
func (cl *cluster) allVisible() bool {
	for i := range cl.entries {
		msg := cl.status(i)
		if len(msg.GetEntries()) < 3 || len(msg.GetRunners()) < 2 || len(msg.GetCells()) < 2 {
			return false
		}
		for _, ce := range msg.GetCells() {
			if ce.GetWorkers()["live"] < 2 {
				return false
			}
		}
	}
	return true
}

// caller returns a client of the given entry hosts.
func (cl *cluster) caller(entries ...*process) *caller.Client {
	addrs := make([]string, 0, len(entries))
	for _, pr := range entries {
		addrs = append(addrs, pr.addrs[0])
	}
	return caller.New(cl.web, addrs...)
}

// runCLI runs a command against entry host i and returns its output.
func (cl *cluster) runCLI(i int, args ...string) string {
	cl.c.Helper()
	cmd := exec.Command(filepath.Join(binaries, "pepperhatch"), args...)
	cmd.Env = append(os.Environ(), "PEPPERHATCH_ADMIN="+cl.entries[i].addrs[2], "PEPPERHATCH_ENTRY="+cl.entries[i].addrs[0])
	out, err := cmd.CombinedOutput()
	cl.c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", strings.Join(args, " "), out))
	return string(out)
}

// runCounts returns how often each request started to run, by the logs of all runners,
// including killed ones.
func (cl *cluster) runCounts() map[string]int {
	runs := map[string]int{}
	for _, pr := range cl.runners {
		file, err := os.Open(cl.runLogPath(pr.name))
		cl.c.Assert(err, qt.IsNil)
		for sc := bufio.NewScanner(file); sc.Scan(); {
			runs[sc.Text()]++
		}
		_ = file.Close()
	}
	return runs
}

// setFault sets the fault mode of a stand-in.
func (cl *cluster) setFault(addr, mode string) {
	resp, err := cl.web.Post("http://"+addr+"/fault", "application/json", strings.NewReader(`{"mode":"`+mode+`"}`))
	cl.c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	cl.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}
