package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	deadline = 1200 * time.Millisecond // of the consumers' requests
)

var cases = map[string]func(r *recorder, trouble bool) (bool, error){
	"poison":       runPoison,
	"poison-dark":  runPoisonDark,
	"double-slash": runDoubleSlash,
	"leave":        runLeave,
	"uploads":      runUploads,
}

// main plays one case: stand NAME FOLDER.
func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return notRun
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, with the disruption: %v", os.Args[1], trouble)
	ok, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case !ok:
		r.line("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return held
}

// post sends an unsafe request on a connection of its own.
func post(address, path, id, body string) (status int, signed bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, false, err
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, false, err
	}
	return resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", nil
}
