package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// channel is a channel of a client, which may send several requests on it.
type channel struct {
	net.Conn
	r *bufio.Reader
}

func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// request is a request of a client. It has no parts of a prompt on plain routes.
type request struct {
	id, path string
	parts    []string
	body     []byte
	patience time.Duration
}

// answer is what a client got for a request. err is the reason why it is not complete.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, not complete: %v", a.status, a.err)
	}
	return fmt.Sprintf("%d, complete, %d events", a.status, a.events())
}

// events counts the whole events of a stream.
func (a answer) events() int { return strings.Count(a.body, "data: text\n\n") }

// send sends a request and reads the answer.
func (c *channel) send(q request) answer {
	_ = c.SetDeadline(time.Now().Add(q.patience))
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		q.path, hostName, headers.Attempt, q.id, headers.Credential, key, headers.Deadline, q.patience.Milliseconds(), len(q.body))
	if len(q.parts) > 0 {
		tokens := 0
		var parts []string
		for _, p := range q.parts {
			parts, tokens = append(parts, p+":100"), tokens+100
		}
		fmt.Fprintf(&text, "%s: *\r\n%s: %d,80\r\n%s: %s\r\n", headers.Model, headers.Tokens, tokens, headers.Prefix, strings.Join(parts, ","))
	}
	text.WriteString("\r\n")
	text.Write(q.body)
	if _, err := c.Write(text.Bytes()); err != nil {
		return answer{err: fmt.Errorf("sending: %w", err)}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: fmt.Errorf("no answer: %w", err)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// hexPart returns the ID of a part of a prompt, in hexadecimal.
func hexPart(kind, n int) string { return strconv.FormatInt(int64(kind)<<24|int64(n), 16) }
