package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	platformstandin "github.com/savoryshift/savoryshift/infra/standin"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
	"github.com/savoryshift/savoryshift/workload"
)

// listenOption is the flag that all stand-in commands share.
type listenOption struct {
	Listen string `long:"listen" required:"true" description:"address to listen on, for example 127.0.0.1:7000"`
}

// platformCommand implements `savoryctl standin platform`.
type platformCommand struct {
	listenOption
	Writes float64       `long:"writes-per-second" default:"400" description:"limit of table and object writes"`
	Reads  float64       `long:"reads-per-second" default:"2000" description:"limit of reads"`
	VMLag  time.Duration `long:"vm-list-lag" default:"1s" description:"age of the list of VMs"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serveUntilSignal(c.Listen, platformstandin.New(platformstandin.Options{
		WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, VMListLag: c.VMLag,
	}))
}

// engineCommand implements `savoryctl standin engine`.
type engineCommand struct {
	listenOption
	Workload      string        `long:"workload" description:"workload file with the profiles of the versions"`
	Hold          []string      `long:"hold" description:"version held at the start; may be given several times (default: every version of the workload, or any version without one)"`
	Slots         int           `long:"slots" default:"8" description:"requests that run at once"`
	SpeedFactor   float64       `long:"speed-factor" default:"1" description:"multiplies the speed of every version"`
	CacheTokens   int           `long:"cache-tokens" default:"200000" description:"memory of the prefix cache in tokens"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	LoadLag       time.Duration `long:"load-lag" default:"200ms" description:"age of load reports"`
	LoadTime      time.Duration `long:"load-time" default:"0s" description:"time to load a version after an order"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of errors and answers"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	options.End = func() { os.Exit(exitEngineEnded) }
	return serveUntilSignal(c.Listen, engine.New(options))
}

// exitEngineEnded is the exit code of an engine that a prompt has ended.
const exitEngineEnded = 70

func (c *engineCommand) options() (engine.Options, error) {
	o := engine.Options{
		Hold: c.Hold, Slots: c.Slots, CacheTokens: c.CacheTokens, ChecksFencing: c.ChecksFencing,
		LoadLag: c.LoadLag, LoadTime: c.LoadTime, Seed: c.Seed,
	}
	if c.SpeedFactor <= 0 {
		return o, fmt.Errorf("--speed-factor is %g, it must be above 0", c.SpeedFactor)
	}
	if c.Workload == "" {
		return o, nil
	}
	w, err := workload.Load(c.Workload)
	if err != nil {
		return o, err
	}
	o.Versions = versionProfiles(w, c.SpeedFactor)
	return o, nil
}

// versionProfiles returns the engine profile of each version of a workload, with
// the token rates multiplied and the times to the first token divided by speed. The
// quality of a version is its mean over the
// request classes, weighted by their shares.
func versionProfiles(w *workload.Workload, speed float64) map[string]engine.Profile {
	out := map[string]engine.Profile{}
	for _, v := range w.Versions {
		quality, shares := 0.0, 0.0
		for _, class := range w.Classes {
			quality += class.Share * v.GoodAnswer[class.Name]
			shares += class.Share
		}
		out[v.Version] = engine.Profile{
			TokensPerSecond: v.OutputTokensPerSSlot * speed,
			FirstToken:      time.Duration(v.FirstTokenMs / speed * float64(time.Millisecond)),
			Quality:         quality / max(shares, 1e-9),
		}
	}
	return out
}

// serviceCommand implements `savoryctl standin service`.
type serviceCommand struct{ listenOption }

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error { return serveUntilSignal(c.Listen, service.New()) }

// addStandinCommand declares `savoryctl standin platform|engine|service`.
func addStandinCommand(parser *flags.Parser) error {
	standin, err := parser.AddCommand("standin", "Run a stand-in for an external system",
		"Serves a stand-in from memory until SIGTERM or SIGINT and then lets the calls in flight finish.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"platform", "Table service, object store, list of VMs, ratings and weights", &platformCommand{}},
		{"engine", "Model engine", &engineCommand{}},
		{"service", "Plain booking service", &serviceCommand{}},
	} {
		if _, err := standin.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			return err
		}
	}
	return nil
}
