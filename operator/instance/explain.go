// Package instance asks running instances at their metrics address.
package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"bronzewind.example/core/decision"
)

const (
	maxErrorBytes       = 1 << 10 // of a failed response, for the error
	maxExplanationBytes = 16 << 20
)

// Query is a request that an instance explains instead of sending it.
type Query struct {
	Host, Path string
	Key        string // "" for none
	Caller     string // IP address; "" for a usual caller
	BodyBytes  int
	LeftMs     int // time to its deadline; 0 for the instance's default
}

// Explain asks the instance at baseURL where it would send q now.
func Explain(ctx context.Context, baseURL string, q Query) (*decision.Explanation, error) {
	values := url.Values{"host": {q.Host}, "path": {q.Path}, "key": {q.Key}, "caller": {q.Caller}, "body-bytes": {strconv.Itoa(q.BodyBytes)}, "left-ms": {strconv.Itoa(q.LeftMs)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(baseURL, "/")+"/explain?"+values.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask the instance: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // the status alone says enough
		return nil, fmt.Errorf("ask the instance: got status %d, want 200: %s", response.StatusCode, strings.TrimSpace(string(reason)))
	}
	out := &decision.Explanation{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxExplanationBytes)).Decode(out); err != nil {
		return nil, fmt.Errorf("decode the instance's explanation: %w", err)
	}
	return out, nil
}
