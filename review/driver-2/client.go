package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id       string
	status   int // Zero if there was none.
	header   textproto.MIMEHeader
	body     string
	complete bool
	err      error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, complete %t, %d bytes", a.status, a.complete, len(a.body))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// attempt is one client attempt.
type attempt struct {
	method, target, body string
	headers              map[string]string
	deadline             time.Duration
	onEvent              func(number int) // Called after each event of a stream.
}

// send sends an attempt to a hall on a new connection, byte by byte as a client does.
func send(address string, a attempt) answer {
	id := newID()
	result := answer{id: id}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(a.deadline))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", a.method, a.target, routeHost, id, a.deadline.Milliseconds(), apiKey)
	for name, value := range a.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if a.body != "" || a.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(a.body))
	}
	fmt.Fprintf(&text, "\r\n%s", a.body)
	if _, err := conn.Write(text.Bytes()); err != nil {
		result.err = err
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		result.err = err
		return result
	}
	result.status, result.header = response.StatusCode, textproto.MIMEHeader(response.Header)
	if a.onEvent == nil {
		body, err := io.ReadAll(response.Body)
		result.body, result.complete, result.err = string(body), err == nil, err
		return result
	}
	reader, events := bufio.NewReader(response.Body), 0
	for {
		line, err := reader.ReadString('\n')
		result.body += line
		if err != nil {
			result.complete = err == io.EOF
			result.err = err
			return result
		}
		if line == "\n" && strings.HasSuffix(result.body, "\n\n") {
			events++
			a.onEvent(events)
		}
	}
}
