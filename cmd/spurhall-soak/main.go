// Command spurhall-soak plays days of faults against daemons and stand-ins as separate processes on loopback, and
// checks what callers and upstreams see (docs/SOAK.md).
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/soak"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/platform/platformtest"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "spurhall-soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "spurhall-soak",
		Usage: "play days of faults against real processes on loopback",
		Description: "Each seed draws a day. A day that breaks a promise leaves its folder, with all logs, what was drawn and what failed.\n\n" +
			"Example:\n  spurhall-soak --daemon bin/spurhalld --seed 1 --seeds 50",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed; 0: a fresh one"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after the other from the first"},
			&cli.StringFlag{Name: "regressions", Usage: "play the seeds of this file instead; each line has a seed and why it failed once"},
			&cli.IntFlag{Name: "at-once", Value: 1, Usage: "days played at the same time"},
			&cli.IntFlag{Name: "daemons", Usage: "daemons of each day; 0: drawn"},
			&cli.BoolFlag{Name: "takeover", Usage: "play days alone on which the large daemons of a hall stop together"},
			&cli.BoolFlag{Name: "endless", Usage: "play days alone on which upstreams send without end"},
			&cli.BoolFlag{Name: "outlived", Usage: "play days alone on which streams outlast what daemons know of their engines"},
			&cli.BoolFlag{Name: "row", Usage: "play days alone on which daemons start while the store is away and a workspace asks for many times its quota"},
			&cli.BoolFlag{Name: "crowd", Usage: "play days alone on which crowds of callers that don't behave come to daemons on small VMs"},
			&cli.DurationFlag{Name: "traffic", Usage: "length of each day; 0: the usual"},
			&cli.StringFlag{Name: "daemon", Value: "bin/spurhalld", Usage: "path of spurhalld"},
			&cli.StringFlag{Name: "beside", Usage: "path of another build, which every other daemon runs; engines are then of one version, by which a build may not keep streams"},
			&cli.StringFlag{Name: "dir", Value: "target/soak", Usage: "folder for failed days"},
			&cli.BoolFlag{Name: "shrink", Usage: "leave out faults of a failed day while it still fails"},
			&cli.BoolFlag{Name: "stop", Usage: "begin no day after one that failed"},
			&cli.BoolFlag{Name: "draw", Usage: "print the day, and don't play it"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the folders of days that pass, too"},
		},
		Action:   run,
		Commands: []*cli.Command{platformCommand(), upstreamCommand()},
	}
}

// errFailed says that some days broke promises; which ones was printed.
var errFailed = errors.New("promises were broken")

// player plays days.
type player struct {
	clock    *timer.Service
	programs soak.Programs
	dir      string
	keep     bool
	stop     bool
}

func run(ctx context.Context, c *cli.Command) error {
	clock := timer.Real()
	o, first := soak.Options{Daemons: c.Int("daemons"), Traffic: c.Duration("traffic"), OneVersion: c.String("beside") != "", Takeover: c.Bool("takeover"), Endless: c.Bool("endless"), Outlived: c.Bool("outlived"), Row: c.Bool("row"), Crowd: c.Bool("crowd")}, c.Uint64("seed")
	if first == 0 {
		first = uint64(clock.Wall().UnixNano())
	}
	if c.Bool("draw") {
		return json.NewEncoder(os.Stdout).Encode(soak.Draw(first, o))
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p := &player{clock: clock, programs: soak.Programs{Daemon: c.String("daemon"), Beside: c.String("beside"), Self: self}, dir: c.String("dir"), keep: c.Bool("keep"), stop: c.Bool("stop")}
	if _, err := os.Stat(p.programs.Daemon); err != nil {
		return fmt.Errorf("--daemon: %w", err)
	}
	seeds := make([]uint64, c.Int("seeds"))
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	if f := c.String("regressions"); f != "" {
		if seeds, err = readSeeds(f); err != nil {
			return fmt.Errorf("--regressions: %w", err)
		}
		if len(seeds) == 0 {
			fmt.Println("no seeds in", f)
			return nil
		}
	}
	return p.playAll(ctx, seeds, max(1, c.Int("at-once")), o, c.Bool("shrink"))
}

// readSeeds reads the first word of each line that isn't a comment.
func readSeeds(path string) ([]uint64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var seeds []uint64
	for i, line := range strings.Split(string(b), "\n") {
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word == "" || strings.HasPrefix(word, "#") {
			continue
		}
		n, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %q is no seed", path, i+1, word)
		}
		seeds = append(seeds, n)
	}
	return seeds, nil
}

func (p *player) playAll(ctx context.Context, seeds []uint64, atOnce int, o soak.Options, shrink bool) error {
	var w sync.WaitGroup
	var mu sync.Mutex
	failed, played := 0, 0
	turns := make(chan struct{}, atOnce)
	for _, seed := range seeds {
		day := soak.Draw(seed, o)
		weight := min(day.Weight(), atOnce)
		for range weight {
			turns <- struct{}{}
		}
		mu.Lock()
		enough := ctx.Err() != nil || p.stop && failed > 0
		mu.Unlock()
		if enough {
			break
		}
		w.Go(func() {
			defer func() {
				for range weight {
					<-turns
				}
			}()
			ok := p.report(ctx, day, shrink)
			mu.Lock()
			defer mu.Unlock()
			played++
			if !ok {
				failed++
			}
		})
	}
	w.Wait()
	fmt.Printf("%d passed, %d failed\n", played-failed, failed)
	if failed > 0 {
		return errFailed
	}
	return ctx.Err()
}

// report plays a day and says what came of it.
func (p *player) report(ctx context.Context, d soak.Day, shrink bool) bool {
	began := p.clock.Now()
	list, stalls, dir, err := p.play(ctx, d)
	name := fmt.Sprintf("seed %d: %d daemons, %d faults, %v, %d stalls of the VM", d.Seed, d.Daemons, len(d.Faults), p.clock.Since(began).Round(time.Second), stalls)
	switch {
	case err != nil:
		fmt.Printf("FAILED %s: not played: %v (%s)\n", name, err, dir)
		return false
	case len(list) == 0:
		fmt.Println("passed", name)
		return true
	}
	fmt.Printf("FAILED %s: %d broken, such as %v (%s)\n", name, len(list), list[0], dir)
	if shrink {
		less := soak.Shrink(d, func(d soak.Day) bool {
			l, _, _, err := p.play(ctx, d)
			return err == nil && len(l) > 0
		})
		b, _ := json.Marshal(less.Faults) // plain values
		fmt.Printf("  seed %d still fails with %s\n", d.Seed, b)
	}
	return false
}

// play plays a day in a folder of its own, which is left where it failed.
func (p *player) play(ctx context.Context, d soak.Day) (list []soak.Failure, stalls int, dir string, err error) {
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return nil, 0, "", err
	}
	dir, err = os.MkdirTemp(p.dir, fmt.Sprintf("seed-%d-", d.Seed))
	if err != nil {
		return nil, 0, "", err
	}
	r, err := soak.Play(ctx, p.clock, platformtest.World(), p.programs, d, dir, func(r soak.Record) bool { return len(soak.Check(r)) > 0 })
	if err != nil {
		return nil, 0, dir, err
	}
	list = soak.Check(r)
	if len(list) == 0 {
		if !p.keep {
			err = os.RemoveAll(dir)
		}
		return nil, len(r.Stalls), dir, err
	}
	b, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		return nil, 0, dir, err
	}
	return list, len(r.Stalls), dir, os.WriteFile(filepath.Join(dir, "failures.json"), b, 0o644)
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "the platform's store and cloud, as a process of a day",
		Flags: []cli.Flag{&cli.StringFlag{Name: "host"}, &cli.IntFlag{Name: "first"}, &cli.IntFlag{Name: "faces"}, &cli.StringFlag{Name: "control"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return platformtest.ServeEndpoints(ctx, timer.Real(), c.String("host"), c.Int("first"), c.Int("faces"), c.String("control"))
		},
	}
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name: "upstream", Usage: "an upstream, as a process of a day",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id"}, &cli.StringFlag{Name: "service"}, &cli.StringFlag{Name: "hall"}, &cli.StringFlag{Name: "listen"}, &cli.StringFlag{Name: "advertise"},
			&cli.StringFlag{Name: "control"}, &cli.StringFlag{Name: "journal"}, &cli.DurationFlag{Name: "beat"}, &cli.DurationFlag{Name: "leaves"}, &cli.StringFlag{Name: "version"}, &cli.DurationFlag{Name: "pace"}, &cli.BoolFlag{Name: "bare"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return platformtest.RunWorker(ctx, timer.Real(), platformtest.WorkerOptions{
				ID: c.String("id"), Service: c.String("service"), Hall: c.String("hall"), Listen: c.String("listen"), Advertise: c.String("advertise"),
				Control: c.String("control"), Journal: c.String("journal"), HeartbeatInterval: c.Duration("beat"), DrainTime: c.Duration("leaves"),
				Version: c.String("version"), Pace: c.Duration("pace"), Bare: c.Bool("bare"),
			})
		},
	}
}
