package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step and jobBody are a job as a client sends it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"mem-mb"`
	EstimateMS    int64  `json:"estimate-ms"`
	StartAfter    []int  `json:"start-after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
}

type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one request of a client to an entry host.
func (cl *cluster) call(eh *entryHost, method, id string, body any) (int, string, error) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", eh.ip, callerPort, pathPrefix, id), bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	req.Host = callerHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Pepperhatch-Deadline-Ms", "3000")
	resp, err := cl.client.Do(req)
	if err != nil {
		cl.log.Info("client's request", "host", eh.name, "method", method, "job", id, "err", err)
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	cl.log.Info("client's request", "host", eh.name, "method", method, "job", id, "status", resp.StatusCode, "answer", string(text))
	return resp.StatusCode, string(text), err
}

// submit hands a job in, at one host after the other, and reports whether it was accepted.
func (cl *cluster) submit(id string, jb jobBody) bool {
	for try := range 5 {
		status, _, err := cl.call(cl.hosts[try%len(cl.hosts)], http.MethodPost, id, jb)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job: that of the body, "410", or "" without an answer.
func (cl *cluster) state(id string) string {
	for _, eh := range cl.hosts {
		status, text, err := cl.call(eh, http.MethodGet, id, nil)
		var st struct {
			State string `json:"state"`
		}
		switch {
		case err == nil && status == http.StatusGone:
			return "410"
		case err == nil && status == http.StatusOK && json.Unmarshal([]byte(text), &st) == nil:
			return st.State
		}
	}
	return ""
}

// await waits until a job has a state, and returns the last one.
func (cl *cluster) await(id, want string, within time.Duration) string {
	state := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if state = cl.state(id); state == want {
			break
		}
	}
	return state
}
