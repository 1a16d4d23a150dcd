// Command spurhalld is the daemon that runs on every entry VM.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/admin"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/node"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/settings"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "spurhalld: not started:")
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func env(name string) cli.ValueSourceChain { return cli.EnvVars("SPURHALL_" + name) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "spurhalld",
		Usage: "serve language-model and plain services on reclaimable VMs",
		Description: "Every flag can be given as an environment variable, too. Addresses are IP numbers with a port.\n" +
			"SIGTERM stops it without cutting off a request; a second SIGTERM stops it at once.\n\n" +
			"Example:\n  spurhalld --vm entry-1 --hall hall-a --platform http://127.0.0.1:2379 \\\n" +
			"    --listen 127.0.0.1:8080 --peer-listen 127.0.0.1:8081 --admin-listen 127.0.0.1:8082",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm", Sources: env("VM"), Usage: "this VM's id in the VM list"},
			&cli.StringFlag{Name: "hall", Sources: env("HALL"), Usage: "this VM's hall"},
			&cli.StringFlag{Name: "zone", Sources: env("ZONE"), Usage: "this VM's zone"},
			&cli.StringFlag{Name: "listen", Sources: env("LISTEN"), Value: "127.0.0.1:8080", Usage: "callers' listener"},
			&cli.StringFlag{Name: "peer-listen", Sources: env("PEER_LISTEN"), Value: "127.0.0.1:8081", Usage: "peers' listener"},
			&cli.StringFlag{Name: "admin-listen", Sources: env("ADMIN_LISTEN"), Value: "127.0.0.1:8082", Usage: "operators' listener"},
			&cli.StringSliceFlag{Name: "seed", Sources: env("SEED"), Usage: "peer address of another node; may be repeated"},
			&cli.StringFlag{Name: "platform", Sources: env("PLATFORM"), Value: "http://127.0.0.1:2379", Usage: "the platform's address"},
			&cli.FloatFlag{Name: "platform-rate", Sources: env("PLATFORM_RATE"), Value: 2000, Usage: "reads a second that the platform takes from all nodes; writes are a quarter of it"},
			&cli.StringFlag{Name: "route-policy", Sources: env("ROUTE_POLICY"), Value: string(route.PolicyAffinity), Usage: "affinity, round-robin, least-in-flight or two-choices"},
			&cli.DurationFlag{Name: "cross-hall", Sources: env("CROSS_HALL"), Value: 1500 * time.Microsecond, Usage: "one-way time to another hall"},
			&cli.DurationFlag{Name: "exchange", Sources: env("EXCHANGE"), Value: time.Second, Usage: "time between two exchanges with peers"},
			&cli.BoolFlag{Name: "autoscale", Sources: env("AUTOSCALE"), Usage: "take part in leading this hall's VM orders"},
			&cli.DurationFlag{Name: "drain", Sources: env("DRAIN"), Value: 10 * time.Minute, Usage: "longest wait of a planned stop"},
			&cli.StringFlag{Name: "log-level", Sources: env("LOG_LEVEL"), Value: "info", Usage: "debug, info, warn or error"},
			&cli.StringSliceFlag{Name: "admin-token-hash", Sources: env("ADMIN_TOKEN_HASH"), Usage: "SHA-256 in hex of an operator's token; may be repeated"},
			&cli.StringFlag{Name: "tls-cert", Sources: env("TLS_CERT"), Usage: "certificate file, read again when it changes"},
			&cli.StringFlag{Name: "tls-key", Sources: env("TLS_KEY"), Usage: "key file"},
			&cli.StringFlag{Name: "tls-ca", Sources: env("TLS_CA"), Usage: "authority's file; peers are then checked by it both ways"},
			&cli.IntFlag{Name: "memory-mb", Sources: env("MEMORY_MB"), Usage: "memory of the VM in MB, of which messages and heads may take a part; 0: what the machine has"},
			&cli.BoolFlag{Name: "insecure", Sources: env("INSECURE"), Usage: "listen beyond loopback without TLS and tokens"},
		},
		Action:   func(_ context.Context, c *cli.Command) error { return run(read(c)) },
		Commands: []*cli.Command{edgeCommand()},
	}
}

func read(c *cli.Command) *settings.Settings {
	return &settings.Settings{
		VM: c.String("vm"), Hall: c.String("hall"), Zone: c.String("zone"), CallerListen: c.String("listen"),
		PeerListen: c.String("peer-listen"), AdminListen: c.String("admin-listen"), Seeds: c.StringSlice("seed"),
		PlatformURL: c.String("platform"), PlatformRate: c.Float("platform-rate"), RoutePolicy: c.String("route-policy"),
		CrossHallLatency: c.Duration("cross-hall"), ExchangeInterval: c.Duration("exchange"), DrainTimeout: c.Duration("drain"),
		LogLevel: c.String("log-level"), AdminTokenHashes: c.StringSlice("admin-token-hash"),
		CertFile: c.String("tls-cert"), KeyFile: c.String("tls-key"), CAFile: c.String("tls-ca"), Autoscale: c.Bool("autoscale"), Insecure: c.Bool("insecure"),
		MemoryMB: c.Int("memory-mb"),
	}
}

// security is the TLS of the three listeners and of the calls to peers; all nil
// without certificates.
type security struct {
	callers, peers *tls.Config
	transport      http.RoundTripper
	scheme         string
}

func secure(s *settings.Settings, clock *timer.Service) (security, error) {
	if s.CertFile == "" {
		return security{scheme: "http"}, nil
	}
	c, err := settings.NewCertificates(s.CertFile, s.KeyFile, clock)
	if err != nil {
		return security{}, fmt.Errorf("--tls-cert: %w", err)
	}
	v := security{scheme: "https", callers: c.ServerConfig(nil, false), peers: c.ServerConfig(nil, false)}
	if s.CAFile == "" {
		v.transport = &http.Transport{TLSClientConfig: c.ClientConfig(nil), MaxIdleConnsPerHost: 8}
		return v, nil
	}
	ca, err := settings.ReadCA(s.CAFile)
	if err != nil {
		return security{}, fmt.Errorf("--tls-ca: %w", err)
	}
	v.peers = c.ServerConfig(ca, true)
	v.transport = &http.Transport{TLSClientConfig: c.ClientConfig(ca), MaxIdleConnsPerHost: 8}
	return v, nil
}

const platformTimeout = 800 * time.Millisecond

func run(s *settings.Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	clock := timer.Real()
	log, closeLog, err := logging.Open(os.Stderr, s.LogLevel, s.VM, clock)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	defer closeLog()
	sec, err := secure(s, clock)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory())))
	budget := memory.New(clock, int64(memory.Share*float64(s.Memory())), nil)
	n := node.New(node.Options{
		Memory: budget,
		VM:     s.VM, Hall: s.Hall, Zone: s.Zone, PeerAddress: s.PeerListen, Seeds: s.Seeds, Clock: clock, Log: log,
		KV: store.NewGateway(s.PlatformURL, platformTimeout, clock).KV(), Cloud: store.NewCloud(s.PlatformURL, platformTimeout),
		PlatformRate: s.PlatformRate, Policy: route.Policy(s.RoutePolicy), CrossHallLatency: s.CrossHallLatency, ExchangeInterval: s.ExchangeInterval,
		PeerTransport: sec.transport, PeerScheme: sec.scheme, Autoscale: s.Autoscale,
	})
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	return serve(s, n, budget, sec, clock, log, stop)
}

// serve opens the listeners, runs until a signal, drains and closes.
func serve(s *settings.Settings, n *node.Node, budget *memory.Budget, sec security, clock *timer.Service, log *zap.Logger, stop chan os.Signal) error {
	drain := func() {
		select {
		case stop <- syscall.SIGTERM:
		default: // a stop is under way
		}
	}
	files, memory := maxDescriptors(), s.Memory()
	servers := []struct {
		address string
		tls     *tls.Config
		handler http.Handler
		accept  func(l net.Listener) *accept.Listener
	}{
		{s.PeerListen, sec.peers, n.PeerHandler(), func(l net.Listener) *accept.Listener {
			return accept.NewForNodes(l, clock, log, accept.MaxCallers(files), memory)
		}},
		{s.CallerListen, sec.callers, n.CallerHandler(), func(l net.Listener) *accept.Listener { return accept.New(l, clock, log, files) }},
		{s.AdminListen, sec.callers, admin.Handler(admin.Options{Node: n, TokenHashes: s.AdminTokenHashes, Drain: drain}), func(l net.Listener) *accept.Listener {
			return accept.NewBounded(l, clock, log, operatorPlaces)
		}},
	}
	const callers, operators = 1, 2 // the indices of their listeners
	// All listeners are open before one is served: a node that answers callers answers operators, too.
	listeners := make([]*accept.Listener, len(servers))
	for i, v := range servers {
		l, err := net.Listen("tcp", v.address)
		if err != nil {
			return err
		}
		listeners[i] = v.accept(l)
		listeners[i].UseTLS(v.tls)
	}
	for _, i := range []int{callers, operators} {
		listeners[i].SetHeadMemory(int64(accept.HeadShare*float64(memory)) / int64(len(servers)))
	}
	budget.OnShort(listeners[callers].MakeRoom)
	var open []*http.Server
	for i, v := range servers {
		h := server(listeners[i].Handler(v.handler))
		h.ConnState, h.ConnContext = listeners[i].ObserveState, listeners[i].ConnContext
		open = append(open, h)
		go func() { _ = h.Serve(listeners[i]) }()
	}
	n.Start()
	<-stop
	x, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	go func() {
		<-stop // the second signal
		cancel()
	}()
	n.Drain(x)
	if err := accept.DrainAll(x, listeners...); err != nil {
		for i, l := range listeners {
			log.Info("callers_cut_off", zap.String("address", servers[i].address), zap.Int("connections", l.Open()), zap.String("cause", err.Error()))
		}
	}
	for _, h := range open {
		_ = h.Close() // the listener is closed
	}
	n.Stop()
	return nil
}

// maxDescriptors returns how many descriptors the process may open; 0: unknown.
func maxDescriptors() int {
	var v syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &v) != nil {
		return 0
	}
	return int(min(v.Cur, math.MaxInt32))
}

// operatorPlaces is how many connections operators may have.
const operatorPlaces = 64

// Limits of the listeners: a caller that is slow to ask is cut off, one that reads
// a long stream isn't.
const (
	maxHeader     = 64 << 10
	headerTimeout = 10 * time.Second
	bodyTimeout   = 60 * time.Second
	idleTimeout   = 90 * time.Second
)

func server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
}
