package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/timer"
)

// This file is the client of etcd's v3 JSON gateway: keys and values are in base64, as
// encoding/json encodes []byte, and 64-bit numbers are strings.

// Gateway is a client of the JSON gateway at one address.
type Gateway struct {
	base    string
	client  *http.Client
	timeout time.Duration
	clock   *timer.Service
}

// NewGateway returns a client of the gateway at base, such as
// "http://127.0.0.1:2379". The timeout applies to each call except a watch.
func NewGateway(base string, timeout time.Duration, clock *timer.Service) *Gateway {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 8,
	}
	return &Gateway{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: reply.NewTransport(t)}, timeout: timeout, clock: clock}
}

// KV returns the gateway's calls.
func (g *Gateway) KV() KV {
	return KV{Range: g.get, Txn: g.txn, Grant: g.grant, KeepAlive: g.keepAlive, Revoke: g.revoke, Watch: g.watch}
}

type jsonHeader struct {
	Revision int64 `json:"revision,string"`
}

type jsonPair struct {
	Key      []byte `json:"key"`
	Value    []byte `json:"value"`
	Created  int64  `json:"create_revision,string"`
	Modified int64  `json:"mod_revision,string"`
	Version  int64  `json:"version,string"`
	Lease    int64  `json:"lease,string"`
}

type jsonRange struct {
	Header jsonHeader `json:"header"`
	KVs    []jsonPair `json:"kvs"`
}

type jsonRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type jsonCompare struct {
	Key      []byte `json:"key"`
	Target   string `json:"target"`
	Result   string `json:"result"`
	Version  *int64 `json:"version,omitempty,string"`
	Created  *int64 `json:"create_revision,omitempty,string"`
	Modified *int64 `json:"mod_revision,omitempty,string"`
}

type jsonPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type jsonOp struct {
	Put    *jsonPut          `json:"request_put,omitempty"`
	Delete *jsonRangeRequest `json:"request_delete_range,omitempty"`
	Range  *jsonRangeRequest `json:"request_range,omitempty"`
}

type jsonTxn struct {
	Compare []jsonCompare `json:"compare,omitempty"`
	Success []jsonOp      `json:"success,omitempty"`
	Failure []jsonOp      `json:"failure,omitempty"`
}

type jsonTxnResult struct {
	Header    jsonHeader `json:"header"`
	Succeeded bool       `json:"succeeded"`
	Responses []struct {
		Range *jsonRange `json:"response_range"`
	} `json:"responses"`
}

func (g *Gateway) get(ctx context.Context, key, end string) (RangeResult, error) {
	var out jsonRange
	err := g.call(ctx, "/v3/kv/range", jsonRangeRequest{Key: []byte(key), RangeEnd: []byte(end)}, &out)
	if err != nil {
		return RangeResult{}, err
	}
	return rangeResult(&out), nil
}

func rangeResult(j *jsonRange) RangeResult {
	r := RangeResult{Revision: j.Header.Revision}
	for _, p := range j.KVs {
		r.Pairs = append(r.Pairs, pair(p))
	}
	return r
}

func pair(p jsonPair) Pair {
	return Pair{Key: string(p.Key), Value: p.Value, Created: p.Created, Modified: p.Modified, Version: p.Version, Lease: p.Lease}
}

func (g *Gateway) txn(ctx context.Context, t Txn) (TxnResult, error) {
	in := jsonTxn{Success: ops(t.Then), Failure: ops(t.Else)}
	for _, c := range t.If {
		in.Compare = append(in.Compare, compare(c))
	}
	var out jsonTxnResult
	if err := g.call(ctx, "/v3/kv/txn", in, &out); err != nil {
		return TxnResult{}, err
	}
	r := TxnResult{Succeeded: out.Succeeded, Revision: out.Header.Revision}
	for _, o := range out.Responses {
		if o.Range != nil {
			r.Reads = append(r.Reads, rangeResult(o.Range))
		}
	}
	return r, nil
}

func compare(c Compare) jsonCompare {
	j := jsonCompare{Key: []byte(c.Key), Result: "EQUAL"}
	n := c.Number
	switch c.Target {
	case CompareCreated:
		j.Target, j.Created = "CREATE", &n
	case CompareModified:
		j.Target, j.Modified = "MOD", &n
	default:
		j.Target, j.Version = "VERSION", &n
	}
	return j
}

func ops(list []Op) []jsonOp {
	var r []jsonOp
	for _, o := range list {
		switch o.Kind {
		case OpDelete:
			r = append(r, jsonOp{Delete: &jsonRangeRequest{Key: []byte(o.Key)}})
		case OpRange:
			r = append(r, jsonOp{Range: &jsonRangeRequest{Key: []byte(o.Key)}})
		default:
			r = append(r, jsonOp{Put: &jsonPut{Key: []byte(o.Key), Value: o.Value, Lease: o.Lease}})
		}
	}
	return r
}

func (g *Gateway) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	in := struct {
		TTL int64 `json:"TTL,string"`
	}{int64(ttl / time.Second)}
	var out struct {
		ID int64 `json:"ID,string"`
	}
	err := g.call(ctx, "/v3/lease/grant", in, &out)
	return out.ID, err
}

type jsonLease struct {
	ID int64 `json:"ID,string"`
}

func (g *Gateway) keepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var out struct {
		Result struct {
			TTL int64 `json:"TTL,string"`
		} `json:"result"`
	}
	if err := g.call(ctx, "/v3/lease/keepalive", jsonLease{lease}, &out); err != nil {
		return 0, err
	}
	if out.Result.TTL <= 0 {
		return 0, ErrLeaseGone
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

func (g *Gateway) revoke(ctx context.Context, lease int64) error {
	var out struct{}
	return g.call(ctx, "/v3/lease/revoke", jsonLease{lease}, &out)
}

// call posts in and decodes the response into out. Its error is ErrUnavailable if no
// connection was made, so that the call had no effect, and ErrUnknown if it may have had one.
func (g *Gateway) call(ctx context.Context, path string, in, out any) error {
	c, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	connected := false
	c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	r, err := g.post(c, path, in)
	if err != nil {
		if connected {
			return fault.Because(ErrUnknown, "%s: %v", path, err)
		}
		return fault.Because(ErrUnavailable, "%s: %v", path, err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return statusError(path, r)
	}
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		return fault.Because(ErrUnknown, "%s: %v", path, err)
	}
	return nil
}

func statusError(path string, r *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(r.Body, 512))
	switch {
	case strings.Contains(string(b), "lease not found"):
		return ErrLeaseGone
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests:
		return fault.Because(ErrUnavailable, "%s: status %d", path, r.StatusCode)
	}
	return fault.Because(ErrUnknown, "%s: status %d: %s", path, r.StatusCode, b)
}

func (g *Gateway) post(ctx context.Context, path string, in any) (*http.Response, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return g.client.Do(r)
}

type jsonWatchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,omitempty,string"`
		Progress      bool   `json:"progress_notify"`
	} `json:"create_request"`
}

type jsonWatchResult struct {
	Result struct {
		Header    jsonHeader `json:"header"`
		Compacted int64      `json:"compact_revision,string"`
		Canceled  bool       `json:"canceled"`
		Events    []struct {
			Type string   `json:"type"`
			KV   jsonPair `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// watchTimeout ends a watch that receives nothing: the service sends progress
// notifications, so a longer gap means a broken connection.
const watchTimeout = 5 * time.Second

func (g *Gateway) watch(ctx context.Context, s Span, f func(WatchBatch) error) error {
	key, end, revision := s.Key, s.End, s.From
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watchdog starts before the request: a connection without a response header is broken, too.
	dog := g.clock.Watchdog(c, watchTimeout, cancel)
	defer dog.Stop()
	var in jsonWatchRequest
	in.Create.Key, in.Create.RangeEnd = []byte(key), []byte(end)
	in.Create.StartRevision, in.Create.Progress = revision, true
	r, err := g.post(c, "/v3/watch", in)
	if err != nil {
		return fault.Because(ErrUnavailable, "watch: %v", err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return statusError("/v3/watch", r)
	}
	d := json.NewDecoder(r.Body)
	for {
		var w jsonWatchResult
		if err := d.Decode(&w); err != nil {
			return watchError(ctx, err)
		}
		dog.Feed()
		if w.Result.Compacted > 0 {
			return ErrCompacted
		}
		if err := f(batch(&w)); err != nil {
			return err
		}
	}
}

func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		return fault.Because(ErrUnavailable, "watch ended")
	}
	return fault.Because(ErrUnavailable, "watch: %v", err)
}

func batch(w *jsonWatchResult) WatchBatch {
	b := WatchBatch{Revision: w.Result.Header.Revision}
	for _, e := range w.Result.Events {
		b.Events = append(b.Events, Event{Deleted: e.Type == "DELETE", Pair: pair(e.KV)})
	}
	return b
}
