package port

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

// open serves a handler on a port with limits and returns its URL.
func open(c *qt.C, h http.HandlerFunc, lim Limits) string {
	po, err := Listen("127.0.0.1:0", lim)
	c.Assert(err, qt.IsNil)
	go func() { _ = po.Serve(h, lim) }()
	c.Cleanup(func() { _ = po.Stop(context.Background()) })
	return "http://" + po.Addr
}

func status(c *qt.C, url string, body io.Reader) int {
	resp, err := http.Post(url, "text/plain", body)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

func TestRequestsOverLimitsAreRefused(t *testing.T) {
	lim := Limits{MaxConns: 100, MaxInFlight: 1, MaxBody: 10, ReadTimeout: 200 * time.Millisecond}
	read := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}
	t.Run("body", func(t *testing.T) {
		c := qt.New(t)
		url := open(c, read, lim)
		c.Assert(status(c, url, strings.NewReader("0123456789")), qt.Equals, http.StatusOK)
		c.Assert(status(c, url, strings.NewReader("0123456789x")), qt.Equals, http.StatusRequestEntityTooLarge)
		// Without a Content-Length, the limit applies while reading.
		c.Assert(status(c, url, io.MultiReader(bytes.NewReader(make([]byte, 20)))), qt.Equals, http.StatusBadRequest)
	})
	t.Run("in flight", func(t *testing.T) {
		c := qt.New(t)
		gate, entered := make(chan struct{}), make(chan struct{})
		url := open(c, func(http.ResponseWriter, *http.Request) { close(entered); <-gate }, lim)
		done := make(chan int)
		go func() { done <- status(c, url, nil) }()
		<-entered
		c.Assert(status(c, url, nil), qt.Equals, http.StatusServiceUnavailable)
		close(gate)
		c.Assert(<-done, qt.Equals, http.StatusOK)
	})
	t.Run("a body that never arrives does not affect other requests", func(t *testing.T) {
		c := qt.New(t)
		ended := make(chan error, 2)
		url := open(c, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			ended <- err
		}, lim)
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab"))
		c.Assert(err, qt.IsNil)
		c.Assert(<-ended, qt.IsNotNil)
		// The answer is sent once the request no longer counts as in flight.
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(status(c, url, nil), qt.Equals, http.StatusOK)
	})
	t.Run("garbage", func(t *testing.T) {
		c := qt.New(t)
		url := open(c, read, lim)
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("\x00\x01garbage\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		reply, _ := io.ReadAll(conn)
		c.Assert(string(reply), qt.Contains, "400 Bad Request")
		c.Assert(status(c, url, nil), qt.Equals, http.StatusOK)
	})
}

func TestStopWaitsForRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	lim := Limits{MaxConns: 10, MaxInFlight: 10, MaxBody: 10, ReadTimeout: time.Second}
	po, err := Listen("127.0.0.1:0", lim)
	c.Assert(err, qt.IsNil)
	gate, entered := make(chan struct{}), make(chan struct{})
	go func() {
		_ = po.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(entered); <-gate }), lim)
	}()
	done := make(chan int)
	go func() { done <- status(c, "http://"+po.Addr, nil) }()
	<-entered
	stopped := make(chan error)
	go func() { stopped <- po.Stop(context.Background()) }()
	close(gate)
	c.Assert(<-done, qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.IsNil)
}

// answerLimits are limits with a short timeout for one write.
var answerLimits = Limits{MaxConns: 10, MaxInFlight: 10, MaxBody: 10, ReadTimeout: time.Second, WriteTimeout: 200 * time.Millisecond}

// TestUnreadAnswerIsAborted guards against sessions that stay open after their caller
// froze. The caller's kernel stops accepting data, so that the write of the session's
// next event blocks, and with it the session's slot and its place among the requests in
// flight. Neither a stop of the host nor a lost runner ends a blocked write: new
// sessions are refused for the session limit, and a planned stop takes all its time.
func TestUnreadAnswerIsAborted(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	url := open(c, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}, answerLimits)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	linetest.MustReturn(t, "answer", func() { <-ended })
}

// TestWriteTimeoutOverEachProtocol covers an answer that pauses for longer than the
// write timeout, and one that the caller does not read.
func TestWriteTimeoutOverEachProtocol(t *testing.T) {
	for _, name := range []string{"HTTP/1", "HTTP/2"} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(name == "HTTP/1")
		protocols.SetUnencryptedHTTP2(name == "HTTP/2")
		t.Run(name+", paused", func(t *testing.T) {
			c := qt.New(t)
			url := open(c, func(w http.ResponseWriter, _ *http.Request) {
				for range 2 {
					_, _ = w.Write([]byte("part"))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(2 * answerLimits.WriteTimeout)
				}
			}, answerLimits)
			data, err := io.ReadAll(get(c, protocols, url))
			c.Assert(err, qt.IsNil)
			c.Assert(string(data), qt.Equals, "partpart")
		})
		t.Run(name+", not read", func(t *testing.T) {
			c := qt.New(t)
			ended := make(chan struct{})
			url := open(c, func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				for {
					if _, err := w.Write(make([]byte, 1<<20)); err != nil {
						return
					}
				}
			}, answerLimits)
			get(c, protocols, url)
			linetest.MustReturn(t, "answer", func() { <-ended })
		})
	}
}

// get returns an answer over one protocol whose body is not read yet.
func get(c *qt.C, protocols *http.Protocols, url string) io.Reader {
	tr := &http.Transport{Protocols: protocols}
	c.Cleanup(tr.CloseIdleConnections)
	resp, err := (&http.Client{Transport: tr}).Get(url)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = resp.Body.Close() })
	return resp.Body
}
