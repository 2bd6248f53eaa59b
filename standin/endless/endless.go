// Package endless writes responses that have no end, as a faulty process may send them.
package endless

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// Kind names a response without end.
type Kind string

// Refusal is the response of a process that does not run the request.
const Refusal Kind = "refusal"

// form is what a response begins with and what it repeats.
type form struct{ begin, repeat string }

const (
	ok     = "HTTP/1.1 200 OK\r\n"
	chunks = ok + "Transfer-Encoding: chunked\r\n"
	events = chunks + "Content-Type: text/event-stream\r\n"
)

// forms holds all kinds. {sign} is replaced by the header fields of an accepted response.
var forms = map[Kind]form{
	"no protocol":          {"", "\x00\xffxyz"},
	"status line":          {"HTTP/1.1 200 ", "O"},
	"header line":          {ok + "X-Long: ", "x"},
	"header name":          {ok, "X"},
	"header fields":        {ok, "X-Field: x\r\n"},
	"interim responses":    {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"body with a length":   {ok + "{sign}Content-Length: 9000000000000\r\n\r\n", "x"},
	"body in chunks":       {chunks + "{sign}\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"body in tiny chunks":  {chunks + "{sign}\r\n", "1\r\nx\r\n"},
	"body without framing": {ok + "{sign}Connection: close\r\n\r\n", "x"},
	"failure":              {"HTTP/1.1 500 Failed\r\n{sign}Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	Refusal:                {"HTTP/1.1 503 Full\r\n{sign}Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"chunk extension":      {chunks + "{sign}\r\n1;", "x"},
	"chunk size":           {chunks + "{sign}\r\n", "0"},
	"trailer":              {chunks + "{sign}\r\n0\r\n", "X-Field: x\r\n"},
	"event without end":    {events + "{sign}\r\n", "400\r\n" + "data: " + strings.Repeat("x", 1017) + "\n\r\n"},
	"line without end":     {events + "{sign}\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"comments":             {events + "{sign}\r\n", "3\r\n:x\n\r\n"},
	"empty lines":          {events + "{sign}\r\n", "4\r\n\n\n\n\n\r\n"},
	"JSON array":           {ok + "{sign}Content-Type: application/json\r\nConnection: close\r\n\r\n[", "[],"},
	"JSON text":            {ok + "{sign}Content-Type: application/json\r\nConnection: close\r\n\r\n\"", "x"},
}

// Kinds returns all kinds in a fixed order.
func Kinds() []Kind { return slices.Sorted(maps.Keys(forms)) }

// Write sends a response without end over the connection of a request, until the client
// closes it. header holds the fields of an accepted response.
func Write(w http.ResponseWriter, kind Kind, header http.Header) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has disconnected
	}
	defer conn.Close()
	var sign strings.Builder
	_ = header.Write(&sign) // a strings.Builder returns no error
	f := forms[kind]
	_, err = io.WriteString(conn, strings.ReplaceAll(f.begin, "{sign}", sign.String()))
	block := strings.Repeat(f.repeat, 1+32<<10/len(f.repeat))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}
