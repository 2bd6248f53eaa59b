package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/savoryshift/savoryshift/bench"
)

// benchOptions are the flags of "savoryctl bench".
type benchOptions struct {
	Workload string   `long:"workload" required:"true" description:"workload file"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of all randomness"`
	Seeds    string   `long:"seeds" description:"range of seeds, for example 1-10; replaces --seed"`
	Levels   []string `long:"level" description:"level of arrivals; repeat for several (default: all)"`
	Faults   []string `long:"fault" description:"name of a fault; repeat for several (default: all)"`
	Routers  []string `long:"router" description:"router; repeat for several (default: all)"`
	Rate     float64  `long:"rate" description:"arrivals per second in place of the level's"`
	Surge    float64  `long:"surge" description:"factor on the arrivals per second during a surge"`
	SurgeAt  float64  `long:"surge-at" default:"40" description:"start of the surge in seconds"`
	SurgeFor float64  `long:"surge-for" default:"30" description:"length of the surge in seconds"`
	JSON     bool     `long:"json" description:"print JSON"`
	Plot     string   `long:"plot" description:"also write a plot to this file, for example results.svg"`
}

func (o *benchOptions) run() error {
	w, err := bench.Load(o.Workload)
	if err != nil {
		return err
	}
	seeds, err := parseSeeds(o.Seeds, o.Seed)
	if err != nil {
		return err
	}
	cells, err := bench.Run(bench.Options{
		Workload: w, Routers: o.Routers, Levels: o.Levels, Faults: o.Faults, Seeds: seeds, Rate: o.Rate,
		Surge: bench.Surge{Factor: o.Surge, FromS: o.SurgeAt, ForS: o.SurgeFor},
	})
	if err != nil {
		return err
	}
	if o.Plot != "" {
		if err := bench.WritePlot(o.Plot, cells); err != nil {
			return err
		}
	}
	if o.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", " ")
		return enc.Encode(cells)
	}
	return bench.WriteTable(os.Stdout, cells)
}

// parseSeeds reads a range such as "1-10" or a single seed.
func parseSeeds(text string, single uint64) ([]uint64, error) {
	if text == "" {
		return []uint64{single}, nil
	}
	low, high, ranged := strings.Cut(text, "-")
	first, err := strconv.ParseUint(low, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("--seeds %q: want a number or a range such as 1-10", text)
	}
	last := first
	if ranged {
		if last, err = strconv.ParseUint(high, 10, 64); err != nil || last < first {
			return nil, fmt.Errorf("--seeds %q: want a number or a range such as 1-10", text)
		}
	}
	var seeds []uint64
	for s := first; s <= last; s++ {
		seeds = append(seeds, s)
	}
	return seeds, nil
}
