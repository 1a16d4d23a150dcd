package ingress

import (
	"testing"

	"spurhall.example/spurhall/internal/config"
)

// FuzzParseChat: whatever a caller sends, an accepted body has messages with roles, and a number
// of tokens within the service's limit.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"max_tokens":-1,"messages":[{"role":"user","content":["x"]}]}`))
	f.Add([]byte(`[]`))
	s := &config.Service{Limits: config.Limits{MaxTokens: 100}}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := ParseChat(b)
		if err != nil {
			return
		}
		if len(p.Body.Messages) == 0 || p.Body.Messages[0].Role == "" {
			t.Fatal("accepted without a message or its role")
		}
		if n := p.MaxTokens(s); n < 1 || n > 100 {
			t.Fatalf("MaxTokens returned %d, want 1 to 100", n)
		}
	})
}
