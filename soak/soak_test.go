package soak

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
)

// Variables for runs by hand, for example
//
//	SOAK_FIRST=100 SOAK_SEEDS=50 SOAK_SECONDS=30 go test -race ./soak -run TestSoak/seeds -timeout 2h
const (
	firstVariable   = "SOAK_FIRST"
	seedsVariable   = "SOAK_SEEDS"
	secondsVariable = "SOAK_SECONDS"
	vmsVariable     = "SOAK_VMS"
	// seedsFile lists the seeds that ever failed, each with its cause.
	seedsFile = "seeds.txt"
)

func number(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err, variable)
	return n
}

// Guards every promise of the platform against faults that come in series and
// overlap: a short run for each of the first seeds, and for each that ever failed.
func TestSoak(t *testing.T) {
	var flags []string
	if underRace {
		flags = []string{"-race"}
	}
	binaries, output, err := e2e.Build(t.TempDir(), flags...)
	assert.NilError(t, err, "%s", output)
	shape := Shape{VMs: number(t, vmsVariable, 4), Zones: 2, Upstreams: 2, Length: time.Duration(number(t, secondsVariable, 12)) * time.Second}
	first := number(t, firstVariable, 0)
	t.Run("seeds", func(t *testing.T) {
		for seed := range number(t, seedsVariable, 2) {
			runSeed(t, binaries.Daemon, uint64(first+seed), shape)
		}
	})
	t.Run("seeds that failed", func(t *testing.T) {
		for _, seed := range failedSeeds(t) {
			runSeed(t, binaries.Daemon, seed, shape)
		}
	})
}

func runSeed(t *testing.T, binary string, seed uint64, shape Shape) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		plan := NewPlan(seed, shape)
		s := Start(t, binary, shape)
		record := s.Run(seed, plan, shape.Length)
		broken := record.Broken()
		whole, outcomes := 0, map[string]int{}
		for _, c := range record.Calls {
			if c.Whole && c.Status == 200 {
				whole++
			}
			outcomes[fmt.Sprintf("status %d whole %t left %t", c.Status, c.Whole, c.Left)]++
		}
		t.Logf("%d steps, %d calls, %d runs, outcomes %v", len(plan), len(record.Calls), len(record.Runs), outcomes)
		// A run in which hardly anything is served checks nothing.
		assert.Check(t, whole*2 > len(record.Calls))
		for _, b := range broken {
			t.Error(b)
		}
		if t.Failed() {
			t.Logf("plan: %+v", plan)
			s.keep(seed)
		}
	})
}

// keep copies the logs of a failed run to a folder that outlives the test.
func (s *System) keep(seed uint64) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
	if err == nil {
		err = os.CopyFS(folder, os.DirFS(s.folder))
	}
	s.t.Logf("logs of the VMs in %s: %v", folder, err)
}

// failedSeeds reads the list: a seed on each line, and what was wrong.
func failedSeeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open(seedsFile)
	assert.NilError(t, err)
	defer f.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || text == "#" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		seeds = append(seeds, seed)
	}
	return seeds
}
