package load

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

// Arrivals is the distribution of the times between arrivals of requests.
type Arrivals string

// Distributions of arrivals.
const (
	Poisson  Arrivals = "poisson"
	Constant Arrivals = "constant"
)

// Bounds and defaults of Options.
const (
	MaxRate            = 50_000.0
	MaxDuration        = time.Hour
	MaxRequests        = 10_000_000
	DefaultMaxInFlight = 2_000
	DefaultModel       = "small"
	DefaultDeadline    = 30 * time.Second
	DefaultBookingPath = "/hire-desk/bookings"
)

// Options configures a run.
type Options struct {
	// URL is the base URL of the target; its host is a loopback address.
	URL string
	// Key is the API key; empty sends none.
	Key string
	// Rate is the mean number of requests per second. Range: above 0 to MaxRate.
	Rate float64
	// Duration is the time during which requests arrive. Range: above 0 to MaxDuration.
	Duration time.Duration
	// Requests bounds the number of requests; default MaxRequests.
	Requests int
	// Arrivals defaults to Poisson.
	Arrivals Arrivals
	// Classes are the classes of requests; default one class named "default".
	Classes []workload.Class
	// Model is the model that requests name; default DefaultModel.
	Model string
	// StreamShare is the share of model requests that are streamed.
	StreamShare float64
	// BookingShare is the share of requests that are bookings.
	BookingShare float64
	// BookingPath is the path to which bookings are posted; default DefaultBookingPath.
	BookingPath string
	// BookingRetries is the maximum number of retries of a failed booking, which have
	// the same idempotency key. Range: 0 to 10.
	BookingRetries int
	// EngineVersion, if not empty, adds the headers of the engine protocol with this
	// model version, so that the target can be an engine.
	EngineVersion string
	// MaxInFlight bounds the requests in flight. Requests above it are sent late, and
	// that delay is part of their latency. Default DefaultMaxInFlight.
	MaxInFlight int
	// Seed determines the arrivals and the requests.
	Seed uint64
	// Dial opens connections; the default refuses addresses other than loopback ones.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// OptionError reports a value outside its range.
type OptionError struct {
	Option, Value, Range string
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Option, e.Value, e.Range)
}

func (o Options) withDefaults() Options {
	if o.Requests == 0 {
		o.Requests = MaxRequests
	}
	if o.Arrivals == "" {
		o.Arrivals = Poisson
	}
	if len(o.Classes) == 0 {
		o.Classes = []workload.Class{{
			Name: "default", Share: 1, PromptTokens: workload.Lognormal{Median: 100}, OutputTokens: workload.Lognormal{Median: 16},
			DeadlineMs: workload.Lognormal{Median: float64(DefaultDeadline.Milliseconds())}, PrefixGroups: 1, PrefixShare: 0.5,
		}}
	}
	if o.Model == "" {
		o.Model = DefaultModel
	}
	if o.BookingPath == "" {
		o.BookingPath = DefaultBookingPath
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.Dial == nil {
		o.Dial = dialLoopback
	}
	return o
}

func (o Options) validate() error {
	u, err := url.Parse(o.URL)
	if err != nil || u.Scheme != "http" || !isLoopback(u.Hostname()) {
		return &OptionError{"url", fmt.Sprintf("%q", o.URL), "http URLs with a loopback address as host"}
	}
	for _, c := range []struct {
		name    string
		value   float64
		ok      bool
		allowed string
	}{
		{"rate", o.Rate, o.Rate > 0 && o.Rate <= MaxRate, fmt.Sprintf("above 0 to %g", MaxRate)},
		{"duration in seconds", o.Duration.Seconds(), o.Duration > 0 && o.Duration <= MaxDuration, fmt.Sprintf("above 0 to %g", MaxDuration.Seconds())},
		{"requests", float64(o.Requests), o.Requests > 0 && o.Requests <= MaxRequests, fmt.Sprintf("1 to %d", MaxRequests)},
		{"stream share", o.StreamShare, o.StreamShare >= 0 && o.StreamShare <= 1, "0 to 1"},
		{"booking share", o.BookingShare, o.BookingShare >= 0 && o.BookingShare <= 1, "0 to 1"},
		{"booking retries", float64(o.BookingRetries), o.BookingRetries >= 0 && o.BookingRetries <= 10, "0 to 10"},
		{"max in flight", float64(o.MaxInFlight), o.MaxInFlight > 0 && o.MaxInFlight <= 20_000, "1 to 20000"},
	} {
		if !c.ok {
			return &OptionError{c.name, fmt.Sprintf("%g", c.value), c.allowed}
		}
	}
	if o.Arrivals != Poisson && o.Arrivals != Constant {
		return &OptionError{"arrivals", fmt.Sprintf("%q", o.Arrivals), "poisson, constant"}
	}
	return nil
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// dialLoopback opens a connection and checks its remote address, because a name like
// localhost can resolve to any address.
func dialLoopback(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); !ok || !tcp.IP.IsLoopback() {
		_ = conn.Close()
		return nil, &OptionError{"url", conn.RemoteAddr().String(), "loopback addresses"}
	}
	return conn, nil
}
