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

// Environment variables for manual runs, for example
//
//	SOAK_FIRST=100 SOAK_SEEDS=50 SOAK_SECONDS=30 go test -race ./soak -run TestSoak/seeds -timeout 2h
const (
	firstVariable   = "SOAK_FIRST"
	seedsVariable   = "SOAK_SEEDS"
	secondsVariable = "SOAK_SECONDS"
	vmsVariable     = "SOAK_VMS"
	// keepLogsVariable, if set, keeps the logs of runs that pass as well.
	keepLogsVariable = "SOAK_KEEP_LOGS"
	// seedsFile lists the seeds that have failed, each with its cause.
	seedsFile = "seeds.txt"
)

// Guards the guarantees of the platform against faults that repeat and overlap. It
// makes a short run for each of the first seeds and for each seed that has failed.
func TestSoak(t *testing.T) {
	var flags []string
	if raceEnabled {
		flags = []string{"-race"}
	}
	binaries, output, err := e2e.Build(t.TempDir(), flags...)
	assert.NilError(t, err, "%s", output)
	shape := Shape{VMs: e2e.EnvInt(t, vmsVariable, 4), Zones: 2, Upstreams: 2, Length: time.Duration(e2e.EnvInt(t, secondsVariable, 12)) * time.Second}
	first := e2e.EnvInt(t, firstVariable, 0)
	t.Run("seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 2) {
			runSeed(t, binaries.Daemon, uint64(first+seed), shape)
		}
	})
	blind := shape
	blind.VMs += undisruptedVMs
	t.Run("blind seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 1) {
			runSeed(t, binaries.Daemon, uint64(firstBlindSeed+first+seed), blind)
		}
	})
	t.Run("pause seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 0) {
			runSeed(t, binaries.Daemon, uint64(firstPauseSeed+first+seed), shape)
		}
	})
	t.Run("stop seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 0) {
			runSeed(t, binaries.Daemon, uint64(firstStopSeed+first+seed), shape)
		}
	})
	t.Run("answer seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 0) {
			runSeed(t, binaries.Daemon, uint64(firstAnswerSeed+first+seed), shape)
		}
	})
	fatal := shape
	fatal.Engines, fatal.Length = true, max(shape.Length, minFatalLength)
	t.Run("fatal seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 1) {
			runFatalSeed(t, binaries.Daemon, uint64(firstFatalSeed+first+seed), fatal)
		}
	})
	t.Run("restart seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 1) {
			runFatalSeed(t, binaries.Daemon, uint64(firstRestartSeed+first+seed), fatal)
		}
	})
	t.Run("unsent seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 1) {
			runSeed(t, binaries.Daemon, uint64(firstUnsentSeed+first+seed), shape)
		}
	})
	t.Run("platform seeds", func(t *testing.T) {
		for seed := range e2e.EnvInt(t, seedsVariable, 2) {
			runSeed(t, binaries.Daemon, uint64(firstPlatformSeed+first+seed), shape)
		}
	})
	t.Run("seeds that failed", func(t *testing.T) {
		for _, seed := range failedSeeds(t) {
			if seed >= firstFatalSeed && seed < firstUnsentSeed {
				runFatalSeed(t, binaries.Daemon, seed, fatal)
				continue
			}
			if seed >= firstBlindSeed && seed < firstPauseSeed {
				runSeed(t, binaries.Daemon, seed, blind)
				continue
			}
			runSeed(t, binaries.Daemon, seed, shape)
		}
	})
}

// runSeed runs the plan of one seed and checks what was observed.
func runSeed(t *testing.T, binary string, seed uint64, shape Shape) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		shape = shape.ofSeed(seed)
		plan := NewPlan(seed, shape)
		s := Start(t, binary, shape)
		record := s.Run(seed, plan, shape.Length)
		violations := record.Violations()
		complete, balanced, outcomes := 0, 0, map[string]int{}
		for _, c := range record.Calls {
			outcomes[fmt.Sprintf("status %d complete %t abandoned %t direct %t", c.Status, c.Complete, c.Abandoned, c.Direct)]++
			if c.Direct || c.Key > 0 {
				continue // a VM that stops refuses most of them, as every VM does with withdrawn keys
			}
			balanced++
			if c.Complete && c.Status == 200 {
				complete++
			}
		}
		if shape.Platform {
			t.Log(record.platformSummary())
		}
		t.Logf("%d steps, %d calls, %d runs, %d refusals of upstreams, outcomes %v", len(plan), len(record.Calls), len(record.Runs), len(record.Refusals), outcomes)
		// A run in which most calls fail would check almost nothing.
		assert.Check(t, complete*2 > balanced)
		for _, violation := range violations {
			t.Error(violation)
		}
		if t.Failed() {
			t.Logf("plan: %+v", plan)
		}
		if t.Failed() || os.Getenv(keepLogsVariable) != "" {
			s.saveLogs(seed)
		}
	})
}

// runFatalSeed runs the plan of a seed with requests that end engines.
func runFatalSeed(t *testing.T, binary string, seed uint64, shape Shape) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		shape.Length = max(shape.Length, newFatalLoad(seed).length())
		plan := NewPlan(seed, shape)
		s := Start(t, binary, shape)
		for _, violation := range s.runFatal(seed, plan, shape.Length) {
			t.Error(violation)
		}
		if t.Failed() {
			t.Logf("plan: %+v", plan)
		}
		if t.Failed() || os.Getenv(keepLogsVariable) != "" {
			s.saveLogs(seed)
		}
	})
}

// saveLogs copies the logs of a failed run to a directory that is not removed after
// the test.
func (s *System) saveLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
	if err == nil {
		err = os.CopyFS(dir, os.DirFS(s.dir))
	}
	s.t.Logf("logs of the VMs in %s: %v", dir, err)
}

// failedSeeds reads seedsFile, which has on each line a seed and its cause of failure.
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
