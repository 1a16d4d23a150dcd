package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/reply"
)

// Role is the purpose of a VM.
type Role string

// The roles of a VM.
const (
	RoleNode     Role = "node"
	RoleUpstream Role = "upstream"
)

// VMState is the state of a VM in the list.
type VMState string

// The states of a VM. A VM that has been terminated isn't listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list. The list lags behind the actual state.
type VM struct {
	ID          string  `json:"id"`
	Role        Role    `json:"role"`
	Service     string  `json:"service,omitempty"`
	Address     string  `json:"address"`
	Hall        string  `json:"hall"`
	Zone        string  `json:"zone"`
	Class       string  `json:"class"`
	State       VMState `json:"state"`
	Reclaimable bool    `json:"reclaimable"`
	Price       float64 `json:"price"` // money per hour
	Slots       int     `json:"slots,omitempty"`
	Incarnation uint64  `json:"incarnation"`
}

// Notice announces that the cloud will reclaim a VM.
type Notice struct {
	Sequence int64         `json:"sequence"`
	VM       string        `json:"vm"`
	Within   time.Duration `json:"within_ns"`
}

// StartOrder asks for a VM. ID makes the order idempotent: sent twice, it starts one VM.
type StartOrder struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Hall        string `json:"hall"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	Fence       int64  `json:"fence"`
}

// ErrRejected means that the cloud can't start such a VM at present.
var ErrRejected = errs.NewType("refused").New("the cloud refused to start the VM")

// Offer is a kind of VM that the cloud offers, with its current price and reclaim rate.
type Offer struct {
	Service     string  `json:"service"`
	Hall        string  `json:"hall"`
	Zone        string  `json:"zone"`
	Class       string  `json:"class"`
	Reclaimable bool    `json:"reclaimable"`
	Price       float64 `json:"price"` // money per hour
	Slots       int     `json:"slots"`
	ReclaimRate float64 `json:"reclaim_rate"` // reclaims per hour
}

// Cloud has the calls of the cloud API: the VM list, the notices, the offers and the orders.
type Cloud struct {
	Offers  func(ctx context.Context) ([]Offer, error)
	VMs     func(ctx context.Context) ([]VM, error)
	Notices func(ctx context.Context, after int64) ([]Notice, error)
	Start   func(ctx context.Context, o StartOrder) error
	Stop    func(ctx context.Context, vm string, fence int64) error
}

// NewCloud returns a client of the cloud API at base, such as "http://127.0.0.1:2379".
func NewCloud(base string, timeout time.Duration) Cloud {
	h := &cloudClient{base: strings.TrimSuffix(base, "/"), client: &http.Client{Timeout: timeout, Transport: reply.NewTransport(&http.Transport{})}}
	return Cloud{
		VMs: func(ctx context.Context) ([]VM, error) {
			var r []VM
			return r, h.do(ctx, http.MethodGet, "/cloud/v1/vms", nil, &r)
		},
		Offers: func(ctx context.Context) ([]Offer, error) {
			var r []Offer
			return r, h.do(ctx, http.MethodGet, "/cloud/v1/offers", nil, &r)
		},
		Notices: func(ctx context.Context, after int64) ([]Notice, error) {
			var r []Notice
			return r, h.do(ctx, http.MethodGet, fmt.Sprintf("/cloud/v1/notices?after=%d", after), nil, &r)
		},
		Start: func(ctx context.Context, o StartOrder) error {
			return h.do(ctx, http.MethodPost, "/cloud/v1/vms", o, nil)
		},
		Stop: func(ctx context.Context, vm string, fence int64) error {
			return h.do(ctx, http.MethodDelete, fmt.Sprintf("/cloud/v1/vms/%s?fence=%d", vm, fence), nil, nil)
		},
	}
}

type cloudClient struct {
	base   string
	client *http.Client
}

func (h *cloudClient) do(ctx context.Context, method, path string, in, out any) error {
	var b bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&b).Encode(in); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, h.base+path, &b)
	if err != nil {
		return err
	}
	s, err := h.client.Do(r)
	if err != nil {
		return fault.Because(ErrUnknown, "cloud: %v", err)
	}
	defer s.Body.Close()
	if s.StatusCode == http.StatusConflict {
		return ErrRejected
	}
	if s.StatusCode/100 != 2 {
		return fault.Because(ErrUnavailable, "cloud: status %d", s.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(s.Body).Decode(out)
}
