package fleet

import (
	"fmt"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/state"
)

// Explanation says where a key of one service is served, and why.
type Explanation struct {
	Service         string `json:"service"`
	Key             string `json:"key"`
	Slot            uint32 `json:"slot"`
	Owner           string `json:"owner"`
	Next            string `json:"next-owner,omitempty"`
	Epoch           uint64 `json:"epoch"`
	Address         string `json:"address"`
	Dispatcher      string `json:"dispatcher"`
	DispatcherEpoch uint64 `json:"dispatcher-epoch"`
	Coordinator     string `json:"coordinator"`
	Why             string `json:"why"`
}

// Explain returns the explanation of key in each service of s, or in the one
// called service.
func Explain(s *state.State, service, key string) ([]Explanation, error) {
	var out []Explanation
	for _, v := range s.ServicesInOrder() {
		if service == "" || service == v.Name {
			out = append(out, explain(v, key))
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no service %q is configured", service)
	}
	return out, nil
}

func explain(v *state.Service, key string) Explanation {
	hash := keyspace.NewHash(key)
	slot, row := hash.Slot(len(v.Slots)), v.Row(hash)
	server := v.Servers[row.Owner]
	e := Explanation{
		Service: v.Name, Key: key, Slot: uint32(slot),
		Owner: row.Owner, Next: row.Next, Epoch: row.Epoch, Address: server.Row.Address,
		Dispatcher: server.Row.Dispatcher.Instance, DispatcherEpoch: server.Epoch,
		Coordinator: v.Coordinator.Instance,
	}
	switch {
	case row.Owner == "":
		e.Why = "no backend server owns the slot at present; the coordinator assigns it once one is up"
	case row.Next != "":
		e.Why = fmt.Sprintf("the slot moves from %s to %s; new work is held until the running work has ended", row.Owner, row.Next)
	case v.Hot(hash):
		e.Why = fmt.Sprintf("the key is hot and has a row of its own, which %s has owned since version %d of the service's state", row.Owner, row.Epoch)
	default:
		e.Why = fmt.Sprintf("the key's hash falls into slot %d of %d, which %s has owned since version %d of the service's state", slot, len(v.Slots), row.Owner, row.Epoch)
	}
	return e
}
