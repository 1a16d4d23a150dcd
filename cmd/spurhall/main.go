// Command spurhall is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/command"
	"spurhall.example/spurhall/platform"
)

func main() {
	checks := map[string]command.Check{"settings": platform.CheckSettings, "deploy": platform.CheckDeploy}
	err := command.New(os.Stdout, os.Stderr, checks).Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "spurhall:", err)
	var e cli.ExitCoder
	if errors.As(err, &e) {
		os.Exit(e.ExitCode())
	}
	os.Exit(command.ExitFailed)
}
