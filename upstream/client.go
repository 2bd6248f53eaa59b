package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/sockopt"
)

// Defaults of Options.
const (
	DefaultMaxResponseBytes = 16 << 20
	DefaultMaxBuffered      = 24 << 20
	DefaultMaxPartBytes     = 256 << 10
	DefaultMaxLineBytes     = 256 << 10
	DefaultMaxHeaderBytes   = 64 << 10
	DefaultStreamIdle       = 10 * time.Second
	DefaultDialTimeout      = 2 * time.Second

	// AdminTimeout bounds every call to an engine other than a completion, and
	// the call of CheckReachable.
	AdminTimeout = 5 * time.Second

	// unackedTimeout bounds the time for which the bytes of a call may be
	// unacknowledged. It is above the pauses of a sound upstream.
	unackedTimeout = 10 * time.Second

	idleConnsPerUpstream = 256
	idleConnTimeout      = 60 * time.Second
)

// Options configures a Client.
type Options struct {
	// Dial opens connections; by default a net.Dialer with DefaultDialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxResponseBytes bounds the body of a response that is not streamed;
	// default DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// MaxPartBytes bounds the data of one streamed part; default
	// DefaultMaxPartBytes.
	MaxPartBytes int
	// MaxLineBytes bounds one line of a stream; default DefaultMaxLineBytes.
	MaxLineBytes int
	// MaxHeaderBytes bounds the header of a response; default
	// DefaultMaxHeaderBytes.
	MaxHeaderBytes int64
	// MaxBuffered bounds the memory, in bytes, for all responses that are being read;
	// default DefaultMaxBuffered.
	MaxBuffered int64
	// StreamIdle bounds the time between two parts of a stream, unless the call
	// has OnIdle; default DefaultStreamIdle. The wait for the first part is bounded
	// only by the deadline of the call.
	StreamIdle time.Duration
}

// Client sends calls to engines and plain services. It is safe for concurrent
// use.
type Client struct {
	options   Options
	transport *http.Transport
	singleUse *http.Transport // uses each connection for one request
	buffers   *bodybudget.Budget
}

// New returns a client with its own connection pool.
func New(options Options) *Client {
	options = options.withDefaults()
	singleUse := newTransport(options)
	singleUse.DisableKeepAlives = true
	return &Client{options: options, transport: newTransport(options), singleUse: singleUse, buffers: bodybudget.New(options.MaxBuffered)}
}

func newTransport(options Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := options.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if err := sockopt.SetUnacked(conn, unackedTimeout); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: options.MaxHeaderBytes,
	}
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	if o.MaxBuffered == 0 {
		o.MaxBuffered = DefaultMaxBuffered
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
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

// Call is one attempt to run a request on an engine.
type Call struct {
	// URL is the base URL of the engine.
	URL       string
	RequestID string
	// AttemptID is unique per call, also among the calls of one request.
	AttemptID string
	Model     string
	Version   string
	// Deadline bounds the call; if it is zero, only the context bounds the call.
	Deadline time.Time
	// Priority is passed to the engine; a higher one is served first.
	Priority int
	// Body is the OpenAI-compatible request.
	Body []byte
	// BeforeWrite, if set, is called immediately before the first byte of the
	// request is written. If it fails, nothing is sent, and its error is
	// returned with Ran "no".
	BeforeWrite func() error
	// OnIdle, if set, is called once for each time that a stream sends no part for
	// StreamIdle. The call then goes on, so that the caller can end it once another
	// one continues the stream.
	OnIdle func()
}

// Part is one numbered part of a streamed response. Data is valid only until
// the emit function returns.
type Part struct {
	Number int
	Data   []byte
}

// Result describes the response to a call. If the call failed, it describes
// what was received before the failure, and a stream can be resumed after part
// number Parts.
type Result struct {
	Status int
	Header http.Header
	// Body is a whole answer; nil for a stream.
	Body    []byte
	Model   string
	Version string
	// PromptTokens and CompletionTokens count the complete response, also when
	// the call resumed a stream.
	PromptTokens     int
	CompletionTokens int
	// Parts is the number of the last part delivered.
	Parts int
	// FirstToken is the time until the first part of a stream, or until the
	// header of a response that is not streamed.
	FirstToken time.Duration
	Total      time.Duration
}

// Complete makes a call and returns the complete response.
func (c *Client) Complete(ctx context.Context, call Call) (Result, error) {
	x, err := c.sendCall(ctx, call, 0)
	if err != nil {
		return Result{}, err
	}
	defer x.release()
	res := Result{Status: x.resp.StatusCode, Header: x.resp.Header, Version: call.Version, FirstToken: time.Since(x.start)}
	body, err := x.readAll(c.buffers, c.options.MaxResponseBytes)
	res.Total = time.Since(x.start)
	if err != nil {
		return res, err
	}
	answer, err := parseCompletion(body)
	if err != nil {
		return res, err
	}
	res.Body, res.Model = body, answer.Model
	res.PromptTokens, res.CompletionTokens = answer.Usage.PromptTokens, answer.Usage.CompletionTokens
	return res, nil
}
