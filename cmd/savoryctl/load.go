package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/load"
	"github.com/savoryshift/savoryshift/workload"
)

// loadCommand runs the load generator and prints its report as JSON.
type loadCommand struct {
	URL            string        `long:"url" required:"true" description:"base URL of the target on a loopback address"`
	Key            string        `long:"key" description:"API key of an organisation"`
	Rate           float64       `long:"rate" required:"true" description:"mean requests per second"`
	Duration       time.Duration `long:"duration" required:"true" description:"how long requests arrive, for example 30s"`
	Requests       int           `long:"requests" description:"bound on the number of requests (default: 10000000)"`
	Arrivals       string        `long:"arrivals" default:"poisson" choice:"poisson" choice:"constant" description:"distribution of arrivals"`
	Workload       string        `long:"workload" description:"workload file with the classes of requests"`
	Model          string        `long:"model" default:"small" description:"model to ask for"`
	StreamShare    float64       `long:"stream-share" default:"0.5" description:"share of model requests that are streamed"`
	BookingShare   float64       `long:"booking-share" default:"0" description:"share of requests that are bookings"`
	BookingPath    string        `long:"booking-path" default:"/hire-desk/bookings" description:"path to which bookings are posted"`
	BookingRetries int           `long:"booking-retries" default:"0" description:"how often a failed booking is sent again with the same idempotency key"`
	EngineVersion  string        `long:"engine-version" description:"add the headers of the engine protocol with this version, for a target that is an engine"`
	MaxInFlight    int           `long:"max-in-flight" default:"2000" description:"bound on requests in flight"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of arrivals and requests"`

	out io.Writer
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	o := load.Options{
		URL: c.URL, Key: c.Key, Rate: c.Rate, Duration: c.Duration, Requests: c.Requests, Arrivals: load.Arrivals(c.Arrivals),
		Model: c.Model, StreamShare: c.StreamShare, BookingShare: c.BookingShare, BookingPath: c.BookingPath,
		BookingRetries: c.BookingRetries, EngineVersion: c.EngineVersion, MaxInFlight: c.MaxInFlight, Seed: c.Seed,
	}
	if c.Workload != "" {
		w, err := workload.Load(c.Workload)
		if err != nil {
			return err
		}
		if err := w.ValidateClasses(); err != nil {
			return fmt.Errorf("workload %s: %w", c.Workload, err)
		}
		o.Classes = w.Classes
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := load.Run(ctx, o)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// addLoadCommand declares `savoryctl load`.
func addLoadCommand(parser *flags.Parser) error {
	_, err := parser.AddCommand("load", "Send open-loop load to a target on loopback",
		"Sends requests at a rate that does not depend on the answers and prints a report as JSON. "+
			"Latencies are measured from the scheduled send time of each request.", &loadCommand{out: os.Stdout})
	return err
}
