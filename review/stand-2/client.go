package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller got for one request.
type answer struct {
	status    int // 0 without a complete response
	signature string
	body      string
	close     bool // the connection ends with this response
	err       error
	took      time.Duration
}

// send sends one request on a new connection, which ends with it.
func send(to, method, host, path, id string, timeLimit time.Duration, headers, body string) answer {
	started := time.Now()
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	defer c.Close()
	return sendOn(c, method, host, path, id, timeLimit, headers, body)
}

// sendOn sends one request on an open connection.
func sendOn(c net.Conn, method, host, path, id string, timeLimit time.Duration, headers, body string) answer {
	started := time.Now()
	_ = c.SetDeadline(started.Add(timeLimit + 500*time.Millisecond))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, host, id, timeLimit.Milliseconds(), len(body), headers, body)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	return answer{status: r.StatusCode, signature: r.Header.Get("X-Response-Signature"), body: string(data), close: r.Close, took: time.Since(started)}
}
