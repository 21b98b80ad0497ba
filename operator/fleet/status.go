package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bronzewind.example/core/httpresponse"
	"bronzewind.example/core/state"
)

const (
	statusTimeout  = time.Second
	maxStatusBytes = 64 << 10
)

// Instance is what one instance says of itself.
type Instance struct {
	Name          string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Admin         string `json:"admin"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Configuration uint64 `json:"configuration-version"`
	Offset        uint64 `json:"log-offset"`
}

// Status asks every member of s, in order of name.
func Status(ctx context.Context, s *state.State) []Instance {
	names := s.MemberNames()
	out := make([]Instance, len(names))
	done := make(chan struct{}, len(names))
	for i, n := range names {
		j := s.Members[n].Joined
		out[i] = Instance{Name: n, Region: j.Region, FailureDomain: j.FailureDomain, Admin: j.Admin}
		go func() {
			out[i].ask(ctx)
			done <- struct{}{}
		}()
	}
	for range names {
		<-done
	}
	return out
}

// ask fills in what the instance answers.
func (i *Instance) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Admin+"/status", nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if httpresponse.Check(resp) != nil {
		return
	}
	name := i.Name
	i.Reachable = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(i) == nil && i.Name == name
	i.Name = name
}
