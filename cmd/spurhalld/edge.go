package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/edge"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/tunnel"
	"spurhall.example/spurhall/internal/upstream"
	"spurhall.example/spurhall/platform"
)

// This file is the daemon on the users' platform. Its settings come in the platform's
// own file; the flags are for what the file doesn't say.

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "serve the routes of the users' platform on an entry VM",
		Description: "The environment variable " + platform.SettingsVariable + " holds the path of the platform's settings file (TOML).\n" +
			"SIGTERM stops the node without cutting a request off; SIGHUP reads the file again.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "peers-listen", Sources: env("PEERS_LISTEN"), Usage: "address to listen on for other nodes, where they reach this one at another (a mapped port); default: the settings file's"},
			&cli.StringFlag{Name: "upstream-proxy", Sources: env("UPSTREAM_PROXY"), Usage: "HOST:PORT of a proxy that opens the connections to upstreams (HTTP CONNECT); default: none"},
			&cli.IntFlag{Name: "metrics-port", Sources: env("METRICS_PORT"), Usage: "port of the metrics listener; 0: none"},
			&cli.StringFlag{Name: "log-level", Sources: env("LOG_LEVEL"), Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return runEdge(c.Int("metrics-port"), c.String("log-level"), c.String("peers-listen"), dialThrough(c.String("upstream-proxy")))
		},
	}
}

// memoryShare is the part of the VM's memory that the garbage collector keeps the heap
// within; the rest is for stacks, sockets and what the collector is late for.
const memoryShare = 0.6

// dialThrough returns a function that opens connections to upstreams through a proxy; nil: over the VM's own network.
func dialThrough(proxy string) upstream.DialFunc {
	if proxy == "" {
		return nil
	}
	dial := upstream.NewDialFunc(forward.DialOptions())
	return func(ctx context.Context, address string) (net.Conn, error) {
		t, cancel := context.WithTimeout(ctx, forward.DialOptions().ConnectTimeout)
		defer cancel()
		c, err := dial(t, proxy)
		if err != nil {
			return nil, err
		}
		return tunnel.OpenThroughProxy(t, c, address)
	}
}

func runEdge(metricsPort int, level, peersListen string, dial upstream.DialFunc) error {
	// Both signals may come before anything else is done, and would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	clock := timer.Real()
	log, closeLog, err := logging.Open(os.Stdout, level, s.Node, clock)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	defer closeLog()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	l, err := edge.Listen(s, peersListen, metricsPort)
	if err != nil {
		return err
	}
	lifetime := strconv.FormatUint(rand.Uint64(), 36)
	eras := era.NewTracker()
	n := edge.New(edge.Options{
		Settings: s, Incarnation: lifetime, Clock: clock, Log: log,
		KV: platform.NewStore(s.Store.Address, eras.Observe), Era: eras, Cloud: platform.NewCloud(s.Cloud.Address, s.Node), Dialect: platform.Dialect(),
		CatalogKey: platform.ConfigKey, EntryPrefix: platform.EntryPrefix,
		OperatorPrefix: platform.OperatorPrefix, OrderPrefix: platform.OrderPrefix, DecodeOrder: platform.DecodeOrder, EncodeStatus: platform.EncodeStatus,
		DecodeCatalog: platform.DecodeCatalog, DecodeEntry: platform.DecodeEntry, FetchCachedParts: platform.FetchCachedParts, DialUpstream: dial,
	})
	log.Info("started", zap.String("lifetime", lifetime), zap.String("hall", s.Hall), zap.String("front", s.Front), zap.String("peers", s.Peers),
		zap.Bool("first_start", s.FirstStart))
	go watchSettings(ctx, clock, log, path, hup)
	return n.Run(ctx, l)
}

// settingsPoll is how often the settings file is looked at: it may change without a
// signal.
const settingsPoll = 5 * time.Second

// watchSettings reads the settings file again after a signal or a change, and says what
// came of it. What a node listens on and where the store is holds for its whole life;
// the platform starts a node anew to change that.
func watchSettings(ctx context.Context, clock *timer.Service, log *zap.Logger, path string, hup <-chan os.Signal) {
	old, _ := os.ReadFile(path) // it was read a moment ago; if it is gone, that is a change
	for {
		c, stop := clock.After(settingsPoll)
		cause := "poll"
		select {
		case <-ctx.Done():
			stop()
			return
		case <-hup:
			cause = "signal"
		case <-c:
		}
		stop()
		b, err := os.ReadFile(path)
		if err == nil && bytes.Equal(b, old) && cause == "poll" {
			continue
		}
		if err == nil {
			old = b
			_, err = platform.DecodeSettings(path, b)
		}
		if err != nil {
			log.Warn("settings_kept", zap.String("trigger", cause), zap.String("cause", err.Error()))
			continue
		}
		log.Info("settings_reloaded", zap.String("trigger", cause))
	}
}
