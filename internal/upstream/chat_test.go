package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func event(id string, offset int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", offset, id, text)
}

func end(id string) string {
	return fmt.Sprintf("data: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// runChat runs one attempt, from an offset on, against an engine that responds with the given
// body, and returns the text received.
func runChat(t *testing.T, offset int, body string) (string, error) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer s.Close()
	var got strings.Builder
	err := newTestClient().Chat(context.Background(), &ChatCall{
		RequestID: "r", Address: s.Listener.Addr().String(), Offset: offset, FirstTokenTimeout: time.Second, TokenTimeout: time.Second,
	}, func(k Chunk) error {
		got.WriteString(k.Text)
		return nil
	})
	return got.String(), err
}

func TestChatAcceptsOnlyCompleteStreamOfItsRequest(t *testing.T) {
	cases := []struct {
		name   string
		offset int
		body   string
		want   error
		text   string
	}{
		{"complete", 0, event("r", 0, "a") + event("r", 1, "b") + end("r"), nil, "ab"},
		{"resumed", 2, event("r", 2, "c") + end("r"), nil, "c"},
		{"another request's", 0, event("r", 0, "a") + event("q", 1, "b"), ErrRequestMismatch, "a"},
		{"resumed from the start", 2, event("r", 0, "a") + end("r"), ErrOffset, ""},
		{"resumed too late", 2, event("r", 3, "d") + end("r"), ErrOffset, ""},
		{"a token twice", 0, event("r", 0, "a") + event("r", 0, "a"), ErrOffset, "a"},
		{"a token missing", 0, event("r", 0, "a") + event("r", 2, "c"), ErrOffset, "a"},
		{"truncated", 0, event("r", 0, "a"), ErrMayHaveRun, "a"},
		{"without a finish reason", 0, event("r", 0, "a") + "data: [DONE]\n\n", ErrMayHaveRun, "a"},
		{"overlong", 0, strings.TrimSuffix(end("r"), "data: [DONE]\n\n") + event("r", 0, "a"), ErrOffset, ""},
		{"malformed", 0, "data: {\n\n", ErrMayHaveRun, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := runChat(t, c.offset, c.body)
			assert.Equal(t, c.text, got)
			if c.want == nil {
				assert.NoError(t, err)
				return
			}
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func TestSilentEngineStalls(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(event("r", 0, "a")))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer s.Close()
	err := newTestClient().Chat(context.Background(), &ChatCall{
		RequestID: "r", Address: s.Listener.Addr().String(), FirstTokenTimeout: 5 * time.Second, TokenTimeout: 50 * time.Millisecond,
	}, func(Chunk) error { return nil })
	assert.ErrorIs(t, err, ErrStalled)
}

// FuzzChatStream: whatever an engine sends, tokens are passed on in order, without gaps, and
// only from events with the request's id.
func FuzzChatStream(f *testing.F) {
	f.Add(event("r", 0, "a")+end("r"), 0)
	f.Add(event("q", 0, "a"), 0)
	f.Add(event("r", 5, "a")+event("r", 6, "b"), 5)
	f.Add("id: x\ndata: {}\n\n", 0)
	f.Fuzz(func(t *testing.T, body string, offset int) {
		if offset < 0 || offset > 1<<20 {
			return
		}
		next := offset
		c := &ChatCall{RequestID: "r", Offset: offset}
		_ = c.readStream(strings.NewReader(body), func(k Chunk) error {
			if k.Text == "" {
				return nil
			}
			if k.Offset != next {
				t.Fatalf("offset %d, want %d", k.Offset, next)
			}
			next++
			return nil
		})
	})
}

// TestChatThatBreaksOffLooksWhole guards against an engine's response that breaks off, at any of its bytes, and counts as complete.
func TestChatThatBreaksOffLooksWhole(t *testing.T) {
	body := event("r", 0, "a") + event("r", 1, "b") + end("r")
	for name, response := range map[string]string{
		"a length":            fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":              fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"neither":             "HTTP/1.1 200 OK\r\n\r\n" + body,
		"interim ones before": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\n\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestClient()
			var sent atomic.Int64 // bytes of the response: a server's goroutine reads it
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				v, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = v.Write([]byte(response[:sent.Load()]))
					_ = v.Close()
				}
			}))
			defer s.Close()
			for n := range len(response) + 1 {
				sent.Store(int64(n))
				var got strings.Builder
				err := c.Chat(t.Context(), &ChatCall{RequestID: "r", Address: s.Listener.Addr().String(), FirstTokenTimeout: time.Second, TokenTimeout: time.Second}, func(k Chunk) error {
					got.WriteString(k.Text)
					return nil
				})
				assert.True(t, strings.HasPrefix("ab", got.String()), got.String())
				if err == nil {
					assert.Equal(t, "ab", got.String())
					assert.GreaterOrEqual(t, n, strings.Index(response, "[DONE]")+len("[DONE]"))
				}
				if n == len(response) {
					assert.NoError(t, err)
				}
			}
		})
	}
}
