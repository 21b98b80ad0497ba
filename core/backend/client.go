package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"bronzewind.example/core/httpresponse"
)

const (
	maxAnswerHeadBytes = 64 << 10
	maxAnswerBytes     = 64 << 10
)

type (
	// Client sends grants to backend servers over HTTP. A renewal that grants
	// what an accepted one listed names that one and lists nothing again.
	Client struct {
		http *http.Client

		mu     sync.Mutex
		listed map[target]Grant // last accepted grant that listed its slots; guarded by mu
	}

	target struct{ service, server, address string }
)

// errNoRun means that an answer does not say which run of the server gave it.
var errNoRun = errors.New("grant answer names no incarnation")

// NewClient returns a client that keeps one connection to each backend server.
func NewClient() *Client {
	return &Client{
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxAnswerHeadBytes}},
		listed: map[target]Grant{},
	}
}

// Grant sends g to the backend server at address. A server that checks no
// grants may answer anything; its answer is returned as far as it can be read.
func (c *Client) Grant(ctx context.Context, address string, g Grant, checks bool) (GrantAnswer, error) {
	to := target{service: g.Service, server: g.Server, address: address}
	short, ok := c.shorten(to, g)
	if !ok {
		return c.list(ctx, to, g, checks)
	}
	a, err := c.put(ctx, address, short, checks)
	if err == nil && a.Unlisted {
		return c.list(ctx, to, g, checks)
	}
	return a, err
}

// list sends g with all that it grants, and remembers it once it is accepted.
func (c *Client) list(ctx context.Context, to target, g Grant, checks bool) (GrantAnswer, error) {
	a, err := c.put(ctx, to.address, g, checks)
	if err == nil && a.Accepted {
		c.remember(to, g)
	}
	return a, err
}

// remember keeps the newest accepted listing; answers may come out of order.
func (c *Client) remember(to target, g Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.listed[to]
	if old.Epoch < g.Epoch || old.Epoch == g.Epoch && old.Sequence < g.Sequence {
		c.listed[to] = g
	}
}

// shorten returns g without its lists when the server has accepted the same
// ones before.
func (c *Client) shorten(to target, g Grant) (Grant, bool) {
	c.mu.Lock()
	old, ok := c.listed[to]
	c.mu.Unlock()
	same := ok && g.Incarnation != 0 && old.Epoch == g.Epoch && old.Incarnation == g.Incarnation &&
		slices.Equal(old.Slots, g.Slots) && slices.Equal(old.Keys, g.Keys) && slices.Equal(old.Except, g.Except)
	if !same {
		return g, false
	}
	g.SameAs, g.Slots, g.Keys, g.Except = old.Sequence, nil, nil, nil
	return g, true
}

func (c *Client) put(ctx context.Context, address string, g Grant, checks bool) (GrantAnswer, error) {
	var a GrantAnswer
	data, err := json.Marshal(g)
	if err != nil {
		return a, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+GrantPath, bytes.NewReader(data))
	if err != nil {
		return a, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if err := httpresponse.Check(resp); err != nil {
		return a, fmt.Errorf("grant answer: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil && checks {
		return a, fmt.Errorf("grant answer: %w", err)
	}
	if a.Incarnation == 0 && checks {
		return a, errNoRun
	}
	return a, nil
}
