// Command spurhall-standin runs the stand-ins for the platform, a model engine
// or a plain service, for tests and the local demo.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/plot"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := &cli.Command{
		Name:     "spurhall-standin",
		Usage:    "stand-ins for the platform, a model engine and a plain service (never for production)",
		Commands: []*cli.Command{platformCommand(), engineCommand(), plainCommand(), demoCommand(), plotCommand()},
	}
	if err := c.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "spurhall-standin:", err)
		os.Exit(1)
	}
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name: "plot", Usage: "read the output of benchmarks at several sizes, and write an SVG image of how their figures grow",
		Action: func(context.Context, *cli.Command) error {
			list, err := plot.Read(os.Stdin)
			if err != nil {
				return err
			}
			return plot.Write(os.Stdout, list)
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379", Usage: "address to listen on"}
}

func vmFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.StringFlag{Name: "platform", Usage: "platform to register with, such as http://127.0.0.1:2379"},
		&cli.StringFlag{Name: "id", Usage: "VM id"},
		&cli.StringFlag{Name: "pool", Usage: "service of this VM"},
		&cli.StringFlag{Name: "hall", Value: "hall-a"},
		&cli.StringFlag{Name: "zone", Value: "zone-1"},
		&cli.StringFlag{Name: "class", Value: "standard"},
		&cli.BoolFlag{Name: "reclaimable"},
		&cli.FloatFlag{Name: "price", Value: 1, Usage: "money per hour"},
		&cli.IntFlag{Name: "slots", Value: 8},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "key-value service, VM list and cloud", Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), standin.NewPlatform(timer.Real()).Handler(), nil)
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: append(vmFlags(),
			&cli.DurationFlag{Name: "prefill", Value: 50 * time.Microsecond, Usage: "time per uncached prompt token"},
			&cli.DurationFlag{Name: "decode", Value: 10 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "transfer", Value: 5 * time.Microsecond, Usage: "time per exported token"},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of the load that is reported"},
			&cli.IntFlag{Name: "cache-tokens", Value: 100000},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			e := standin.NewEngine(timer.Real(), standin.EngineOptions{
				ID: c.String("id"), Slots: c.Int("slots"), Prefill: c.Duration("prefill"), Decode: c.Duration("decode"),
				Transfer: c.Duration("transfer"), LoadLag: c.Duration("load-lag"), CacheTokens: c.Int("cache-tokens"),
			})
			return serve(ctx, c.String("listen"), e.Handler(), func() error { return register(c) })
		},
	}
}

func plainCommand() *cli.Command {
	return &cli.Command{
		Name: "plain", Usage: "a plain service that counts its runs",
		Flags: append(vmFlags(), &cli.DurationFlag{Name: "work", Value: time.Millisecond, Usage: "time per call"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			p := standin.NewPlain(c.String("pool"), timer.Real(), c.Duration("work"))
			return serve(ctx, c.String("listen"), p.Handler(), func() error { return register(c) })
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "the callers of the local demo, see scripts/demo.sh",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform"}, &cli.StringSliceFlag{Name: "node"}, &cli.StringFlag{Name: "plain"},
			&cli.StringMapFlag{Name: "engine", Usage: "VM id=address"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			d := &standin.Demo{
				Platform: c.String("platform"), Nodes: c.StringSlice("node"), Engines: c.StringMap("engine"),
				Plain: c.String("plain"), Out: os.Stdout, Clock: timer.Real(),
			}
			return d.Run(ctx)
		},
	}
}

func register(c *cli.Command) error {
	if c.String("platform") == "" {
		return nil
	}
	b, err := json.Marshal(store.VM{
		ID: c.String("id"), Role: store.RoleUpstream, Service: c.String("pool"), Address: c.String("listen"),
		Hall: c.String("hall"), Zone: c.String("zone"), Class: c.String("class"), State: store.VMLive,
		Reclaimable: c.Bool("reclaimable"), Price: c.Float("price"), Slots: c.Int("slots"),
		Incarnation: uint64(timer.Real().Now().UnixMicro()),
	})
	if err != nil {
		return err
	}
	r, err := http.Post(c.String("platform")+"/standin/vms", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return r.Body.Close()
}

func serve(ctx context.Context, address string, h http.Handler, ready func() error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if ready != nil {
		if err := ready(); err != nil {
			return err
		}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
