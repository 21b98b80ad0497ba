package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// LogPath is where the log service answers.
	LogPath = "/log"
	// ListPath is where the list of backend servers answers.
	ListPath = "/instances"

	// OldestHeader names the oldest record when the one asked for has lapsed.
	OldestHeader = "Log-Oldest"

	maxAnswerBytes = 64 << 20
)

// Client is the HTTP adapter of Log and Listing.
type Client struct {
	base string
	http *http.Client
}

// batchAnswer is the wire format of a read.
type batchAnswer struct {
	Oldest  uint64   `json:"oldest"`
	End     uint64   `json:"end"`
	First   uint64   `json:"first"`
	Entries [][]byte `json:"entries"`
}

// NewClient returns a client of the platform at base, for example
// "http://127.0.0.1:8000".
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	var a struct {
		Offset uint64 `json:"offset"`
	}
	err := c.call(ctx, http.MethodPost, LogPath, bytes.NewReader(data), &a)
	return a.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, offset uint64, wait time.Duration) (Batch, error) {
	var a batchAnswer
	path := LogPath + "?from=" + strconv.FormatUint(offset, 10) + "&wait=" + wait.String()
	if err := c.call(ctx, http.MethodGet, path, nil, &a); err != nil {
		return Batch{}, err
	}
	return Batch(a), nil
}

// call sends a request and decodes the body of its response.
func (c *Client) call(ctx context.Context, method, path string, body io.Reader, into any) error {
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into); err != nil {
		return fmt.Errorf("platform: %s %s: %w", method, path, err)
	}
	return nil
}

// send sends a request and returns its response, whose body the caller must close. A status
// other than 200 is an error.
func (c *Client) send(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Unreachable.Wrap(err, "the platform at %s does not answer", c.base)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusGone {
		oldest, err := strconv.ParseUint(resp.Header.Get(OldestHeader), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("platform: %s %s answered %s without %s", method, path, resp.Status, OldestHeader)
		}
		return nil, &TruncatedError{Oldest: oldest}
	}
	return nil, Unreachable.New("the platform at %s answered %s %s with %s", c.base, method, path, resp.Status)
}
