package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults of Options.
const (
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxPartBytes   = 256 << 10
	DefaultMaxLineBytes   = 256 << 10
	DefaultMaxHeaderBytes = 64 << 10
	DefaultStreamIdle     = 10 * time.Second
	DefaultDialTimeout    = 2 * time.Second

	// AdminTimeout bounds every call to an engine other than a completion.
	AdminTimeout = 5 * time.Second

	idleConnsPerUpstream = 256
	idleConnTimeout      = 60 * time.Second
)

// Options configures a Client.
type Options struct {
	// Dial opens connections; default a net.Dialer with DefaultDialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAnswerBytes bounds a whole answer; default DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// MaxPartBytes bounds the data of one streamed part; default
	// DefaultMaxPartBytes.
	MaxPartBytes int
	// MaxLineBytes bounds one line of a stream; default DefaultMaxLineBytes.
	MaxLineBytes int
	// MaxHeaderBytes bounds the header of an answer; default
	// DefaultMaxHeaderBytes.
	MaxHeaderBytes int64
	// StreamIdle bounds the time between two parts of a stream; default
	// DefaultStreamIdle. The wait for the first part is bounded by the deadline.
	StreamIdle time.Duration
}

// Client sends calls to engines and plain services. It is safe for concurrent
// use.
type Client struct {
	o         Options
	transport *http.Transport
}

// New returns a client with a connection pool of its own.
func New(o Options) *Client {
	o = o.withDefaults()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Client{o: o, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := o.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gateConn{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
	}}
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.MaxPartBytes == 0 {
		o.MaxPartBytes = DefaultMaxPartBytes
	}
	if o.MaxLineBytes == 0 {
		o.MaxLineBytes = DefaultMaxLineBytes
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.StreamIdle == 0 {
		o.StreamIdle = DefaultStreamIdle
	}
	return o
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call is one attempt of a request to an engine.
type Call struct {
	// URL is the base URL of the engine.
	URL       string
	RequestID string
	// AttemptID is unique per call, also among the calls of one request.
	AttemptID string
	Model     string
	Version   string
	// Deadline bounds the call; zero means none beyond that of the context.
	Deadline time.Time
	// Priority is passed to the engine; higher goes first.
	Priority int
	// Body is the OpenAI-compatible request.
	Body []byte
	// BeforeWrite, when set, runs right before the first byte of the request is
	// written. When it fails nothing is sent, and its error is returned with
	// Ran "no".
	BeforeWrite func() error
}

// Part is one numbered part of a streamed answer. Data is valid until the emit
// function returns.
type Part struct {
	Number int
	Data   []byte
}

// Result describes an answer. With an error it describes what was received
// before it; Parts then says from where a stream can be resumed.
type Result struct {
	Status int
	Header http.Header
	// Body is a whole answer; nil for a stream.
	Body    []byte
	Model   string
	Version string
	// PromptTokens and CompletionTokens count the whole answer, also when the
	// call resumed it.
	PromptTokens     int
	CompletionTokens int
	// Parts is the number of the last part delivered.
	Parts int
	// FirstToken is the time until the first part, or until the header of a
	// whole answer.
	FirstToken time.Duration
	Total      time.Duration
}

// Complete sends a call and returns the whole answer.
func (c *Client) Complete(ctx context.Context, call Call) (Result, error) {
	x, err := c.sendCall(ctx, call, 0)
	if err != nil {
		return Result{}, err
	}
	defer x.release()
	res := Result{Status: x.resp.StatusCode, Header: x.resp.Header, Version: call.Version, FirstToken: time.Since(x.start)}
	body, err := x.readAll(c.o.MaxAnswerBytes)
	res.Total = time.Since(x.start)
	if err != nil {
		return res, err
	}
	answer, err := parseAnswer(body)
	if err != nil {
		return res, err
	}
	res.Body, res.Model = body, answer.Model
	res.PromptTokens, res.CompletionTokens = answer.Usage.PromptTokens, answer.Usage.CompletionTokens
	return res, nil
}
