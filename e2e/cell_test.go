package e2e

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/load"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

var measureOverhead = flag.Bool("compare", false, "measure the latency that an entry host adds to a request")

// taskSpans returns the task logs of all workers, by task.
func (cl *cluster) taskSpans() map[string][]standin.TaskSpan {
	spans := map[string][]standin.TaskSpan{}
	for _, pr := range cl.workers {
		resp, err := cl.web.Post("http://"+pr.Args[3]+"/log", "application/json", nil)
		cl.c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		cl.c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		var log []standin.TaskSpan
		cl.c.Assert(json.Unmarshal(data, &log), qt.IsNil)
		for _, sp := range log {
			spans[sp.Task] = append(spans[sp.Task], sp)
		}
	}
	return spans
}

// ownerOf returns the entry host that owns a cell.
func (cl *cluster) ownerOf(via int, dc string) *process {
	for _, ce := range cl.status(via).GetCells() {
		if ce.GetName() != dc {
			continue
		}
		for _, pr := range cl.entries {
			if strings.HasPrefix(ce.GetOwner(), pr.name+"-") {
				return pr
			}
		}
	}
	return nil
}

// TestCellOwnerKilled guards against tasks that run twice at once, and services that
// are restarted, when the owner of a cell is killed while a job runs and another host
// takes over.
func TestCellOwnerKilled(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	cl.runCLI(2, "service", "add", "--cell", dataCentres[0], "--name", "routedesk", "--tasks", "4", "--cores", "2", "--yes")
	cl.runCLI(2, "job", "add", "--cell", dataCentres[0], "--name", "depot", "--tasks", "30", "--cores", "4", "--run", "1500ms", "--yes")
	owner := cl.ownerOf(2, dataCentres[0])
	c.Assert(owner, qt.IsNotNil)
	cl.await("some are done", func() bool { return strings.Contains(cl.runCLI(2, "job", "tasks", "--job", "depot"), ":ok") })
	cl.killProcess(owner)
	cl.await("another owner", func() bool {
		next := cl.ownerOf(2, dataCentres[0])
		return next != nil && next != owner
	})
	cl.await("all done", func() bool {
		return strings.Count(cl.runCLI(2, "job", "tasks", "--job", "depot"), ":ok") == 30
	})
	spans := cl.taskSpans()
	c.Assert(standin.SpanViolations(spans), qt.HasLen, 0)
	for id, sps := range spans {
		if strings.HasPrefix(id, "routedesk/") {
			c.Assert(sps, qt.HasLen, 1, qt.Commentf("a service task was started again"))
		}
	}
}

// TestDeclareDeadAfterDataCentreLoss kills both entry hosts of a data centre. A new one
// must not take over by itself, because none of the members that they had recorded is
// left; after an operator declares them dead it must.
func TestDeclareDeadAfterDataCentreLoss(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	// By then both have recorded each other as members.
	time.Sleep(2 * time.Second)
	cl.killProcess(cl.entries[0])
	cl.killProcess(cl.entries[1])
	newHost := cl.startEntry("e4", dataCentres[0])
	cl.entries = append(cl.entries, newHost)
	cl.await("e4 is a member", func() bool { return len(cl.memberIDs(3)) == 3 })
	c.Assert(cl.ownerOf(3, dataCentres[0]), qt.IsNil)
	for _, id := range cl.memberIDs(3) {
		if !strings.HasPrefix(id, "e4-") {
			c.Assert(cl.runCLI(3, "declare-dead", id, "--yes"), qt.Contains, "carried out")
		}
	}
	cl.await("e4 owns the cell", func() bool { return cl.ownerOf(3, dataCentres[0]) == newHost })
}

// memberIDs returns the members that an entry host lists when it is asked to declare an
// unknown one dead.
func (cl *cluster) memberIDs(via int) []string {
	cmd := exec.Command(filepath.Join(binaries, "pepperhatch"), "declare-dead", "no-such-host", "--admin", cl.entries[via].addrs[2])
	out, _ := cmd.CombinedOutput()
	_, list, _ := strings.Cut(string(out), "there are [")
	list, _, _ = strings.Cut(list, "]")
	return strings.Fields(list)
}

// TestFreshHostDuringOutage starts an entry host while the platform is unavailable. It
// must take the configuration from a peer, and must not become ready with an older one.
func TestFreshHostDuringOutage(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	cl.runCLI(0, "config", "set", "route.batch-every=4", "--yes")
	for _, addr := range cl.platform {
		cl.setFault(addr, "down")
	}
	newHost := cl.startEntry("e4", dataCentres[1])
	cl.await("ready", func() bool {
		resp, err := cl.web.Get("http://" + newHost.addrs[0] + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	cl.entries = append(cl.entries, newHost)
	c.Assert(cl.runCLI(3, "config", "get"), qt.Contains, "version 1")
}

// TestOverhead prints, with -compare, the latency that an entry host adds to a request,
// and how long a configuration change takes until all hosts apply it.
func TestOverhead(t *testing.T) {
	if !*measureOverhead {
		return
	}
	c := qt.New(t)
	cl := startCluster(c)
	direct := hdrhistogram.New(1, 60_000_000, 3)
	client := runner.NewClient(runner.Limits{})
	entry := cl.caller(cl.entries[0])
	set := load.Settings{Rate: 200, Duration: 10 * time.Second, Service: "routedesk", Method: "leg-recalc", BodyBytes: 64}
	for i := range 2000 {
		start := time.Now()
		_, err := client.RunFunc(context.Background(), cl.runners[0].Args[3], runner.Request{
			ID: fmt.Sprint(i), Service: "routedesk", Body: make([]byte, 64), Deadline: time.Now().Add(time.Second),
		})
		c.Assert(err, qt.IsNil)
		_ = direct.RecordValue(time.Since(start).Microseconds())
	}
	re := load.Run(context.Background(), entry, set)
	c.Logf("direct, one at a time: p50 %.2f ms p99 %.2f ms", float64(direct.ValueAtQuantile(50))/1000, float64(direct.ValueAtQuantile(99))/1000)
	c.Logf("through an entry host, 200 a second: %+v", re.Classes)
	var took []time.Duration
	for i := range 10 {
		start := time.Now()
		cl.runCLI(0, "config", "set", fmt.Sprintf("route.batch-every=%d", i+2), "--yes")
		cl.await("in force", func() bool {
			return strings.Contains(cl.runCLI(2, "status"), fmt.Sprintf("configuration %d in force at 3 of 3", i+1))
		})
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	c.Logf("configuration in force at 3 of 3, from the command to seeing it: %v", took)
}
