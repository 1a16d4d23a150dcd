package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"spurhall.example/spurhall/internal/standin"
)

// This file is what the soak tells the stand-ins, beside signals.

// Behaviour is how an upstream behaves.
type Behaviour struct {
	Limit float64 `json:"limit,omitempty"` // requests a second that it names; 0: none
	Share float64 `json:"share,omitempty"` // of its requests that it
	Fails bool    `json:"fails,omitempty"` // answers with a failure, or
	Loses bool    `json:"loses,omitempty"` // runs without an answer, or
	// Brittle is how many rejections in a second it bears, which it says: one more, and it falls over. It is slow, too.
	Brittle float64 `json:"brittle,omitempty"` // 0: any number
	// Spoils says that it answers without its signature, or as if to another request.
	Spoils bool `json:"spoils,omitempty"`
	// Endless is what it sends without end in place of a response; empty: nothing.
	Endless string `json:"endless,omitempty"`
	// Malformed is what a share of its responses are in place of such; empty: none.
	Malformed string `json:"malformed,omitempty"`
	// Unlists says that its entry goes as soon as it is told to end, and that it never says that it leaves.
	Unlists bool `json:"unlists,omitempty"`
}

// BehavePath is where an upstream takes its behaviour.
const BehavePath = "/standin/behave"

// WriteKey writes or removes a key at the platform's control listener.
func WriteKey(ctx context.Context, control, method, key string, value []byte) error {
	return ask(ctx, method, "http://"+control+"/standin/key?name="+url.QueryEscape(key), value, nil)
}

// tell posts a value to a stand-in.
func tell(ctx context.Context, address, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return ask(ctx, http.MethodPost, "http://"+address+path, b, nil)
}

// setFault puts a fault in force at one daemon's way to the store.
func setFault(ctx context.Context, face string, f standin.Fault) error {
	return tell(ctx, face, "/standin/fault", f)
}

// ask makes a call, and reads its answer into a value.
func ask(ctx context.Context, method, to string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	if a.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %d %s", to, a.StatusCode, b)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(b, into)
}
