package bootstrap

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/timer"
)

func TestSeedsToCall(t *testing.T) {
	seeds := []string{"10.0.0.2:9000"}
	for _, v := range []struct {
		name  string
		known Known
		want  []string
		pause time.Duration
	}{
		{"nobody is known", Known{Unknown: seeds}, seeds, pair.Round},
		{"nobody is known though the registry was read", Known{All: true, Unknown: seeds}, seeds, pair.Round},
		{"some are known", Known{Peers: 1, Unknown: seeds}, seeds, seedRetryInterval},
		{"all are known", Known{All: true, Peers: 1, Unknown: seeds}, nil, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			list, pause := SeedsToCall(v.known)
			assert.Equal(t, v.want, list)
			assert.Equal(t, v.pause, pause)
		})
	}
}

func TestSeedsAreCalledUntilAllAreKnown(t *testing.T) {
	var called []string
	s := Seeds{
		Clock: timer.Real(), Node: "edge-0", Read: func() bool { return true },
		Known: func() Known { return Known{All: len(called) > 1, Peers: len(called), Unknown: []string{"a", "b"}} },
		Call:  func(_ context.Context, address string) { called = append(called, address) },
	}
	s.Run(t.Context())
	assert.Equal(t, []string{"a", "b"}, called)
}
