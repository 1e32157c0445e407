package wire

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type message struct {
	Text string `json:"text"`
}

func TestPostReturnsReplyOrError(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(Handle(func(_ context.Context, msg message) (message, error) {
		switch msg.Text {
		case "refuse":
			return message{}, &Error{Status: http.StatusConflict, Code: "taken", Message: "no", RetryAfter: 1500 * time.Millisecond}
		case "fail":
			return message{}, errors.New("broken")
		}
		return message{Text: msg.Text + "!"}, nil
	}))
	c.Cleanup(srv.Close)
	post := func(text string) (message, error) {
		return Post[message, message](context.Background(), srv.Client(), srv.URL, message{Text: text})
	}
	c.Run("answered", func(c *qt.C) {
		msg, err := post("a")
		c.Assert(err, qt.IsNil)
		c.Assert(msg.Text, qt.Equals, "a!")
	})
	c.Run("refused", func(c *qt.C) {
		_, err := post("refuse")
		c.Assert(Code(err), qt.Equals, "taken")
		var werr *Error
		c.Assert(errors.As(err, &werr), qt.IsTrue)
		c.Assert(werr.RetryAfter, qt.Equals, 1500*time.Millisecond)
	})
	c.Run("the header has whole seconds, rounded up", func(c *qt.C) {
		rec := httptest.NewRecorder()
		WriteError(rec, &Error{Status: http.StatusConflict, RetryAfter: 1500 * time.Millisecond})
		c.Assert(rec.Header().Get("Retry-After"), qt.Equals, "2")
	})
	c.Run("failed", func(c *qt.C) {
		_, err := post("fail")
		c.Assert(Code(err), qt.Equals, CodeInternal)
	})
	for name, body := range map[string]string{"malformed": "{", "another type": `{"text":5}`} {
		c.Run(name, func(c *qt.C) {
			resp, err := http.Post(srv.URL, "application/json", strings.NewReader(body))
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
		})
	}
	c.Run("too large", func(c *qt.C) {
		resp, err := http.Post(srv.URL, "application/json", strings.NewReader(strings.Repeat(" ", MaxBody+1)))
		c.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	})
	c.Run("nothing listens", func(c *qt.C) {
		_, err := Post[message, message](context.Background(), srv.Client(), "http://127.0.0.1:1", message{})
		c.Assert(err, qt.IsNotNil)
		c.Assert(Code(err), qt.Equals, "")
	})
}
