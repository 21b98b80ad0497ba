package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/record"
)

const (
	historySeeds   = 20
	historyCallers = 6
	historyRounds  = 5
	historyKeys    = 4 // of each caller and round
	historyTries   = 4 // of each key at most
	historyLosses  = 3 // of each round at most
)

var historyInstances = []string{"e1-a", "e1-b", "e2-a", "e2-b", "e3-a", "e3-b"}

type (
	// try is one request of a caller and what it learnt.
	try struct {
		key, id string
		body    string
		err     error
	}

	// world is a fleet that callers use while instances are lost and restart.
	world struct {
		*markFleet
		random *rand.Rand   // of the losses
		change sync.RWMutex // held while instances change
		runs   uint64       // incarnations so far

		mu    sync.Mutex
		tries []try
	}
)

// TestOnceHistories runs callers that repeat their requests while dispatchers
// and keepers of marks are lost, alone and in pairs, and restart, and the
// backend server fails before and after the start. Then the history is checked.
func TestOnceHistories(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{markFleet: newMarkFleet(t, historyInstances...), random: rand.New(rand.NewPCG(seed, 0)), runs: 1}
				for round := range historyRounds {
					synctest.Wait()
					var callers sync.WaitGroup
					for i := range historyCallers {
						callers.Go(func() { w.call(round, i, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
					}
					for range 1 + w.random.IntN(historyLosses) {
						time.Sleep(time.Duration(w.random.IntN(150)) * time.Millisecond)
						w.lose()
					}
					callers.Wait()
					time.Sleep(defaultRecordRetention + time.Second) // then no loss of the round leaves doubt
				}
				if diff := cmp.Diff([]string(nil), w.check()); diff != "" {
					t.Errorf("violations (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// call places one order after the other and repeats what is not done.
func (w *world) call(round, caller int, random *rand.Rand) {
	for i := range historyKeys {
		key := fmt.Sprintf("%d-%d-%d", round, caller, i)
		for n := range historyTries {
			id := fmt.Sprintf("%s-%d", key, n)
			w.change.RLock()
			set := w.sets[w.service().Servers[testServer].Row.Dispatcher]
			w.change.RUnlock()
			body, err := w.bill(set, key, id)
			w.mu.Lock()
			w.tries = append(w.tries, try{key: key, id: id, body: body, err: err})
			w.mu.Unlock()
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			if err == nil && random.IntN(3) > 0 {
				break
			}
		}
	}
}

// bill runs one try; a caller whose dispatcher is lost hears of that at once,
// while the run may go on.
func (w *world) bill(set *Set, key, id string) (string, error) {
	got := make(chan try, 1)
	go func() {
		body, err := bill(set, key, "/billing/"+key, id)
		got <- try{body: body, err: err}
	}()
	select {
	case t := <-got:
		return t.body, t.err
	case <-set.replicas.stop:
		return "", code.NewError(code.DispatcherLost, "lost")
	}
}

// lose loses one to three instances, lets the earlier ones restart, and cuts up
// to two off from the others.
func (w *world) lose() {
	w.change.Lock()
	defer w.change.Unlock()
	w.backend.set(func(b *fakeBackend) {
		b.refuse, b.fail, b.takes = w.random.IntN(4) == 0, nil, time.Duration(w.random.IntN(80))*time.Millisecond
		if w.random.IntN(3) == 0 {
			b.fail = errors.New("connection reset")
		}
	})
	w.runs++
	for _, name := range historyInstances {
		if !slices.Contains(w.state.MemberNames(), name) {
			w.join(record.Writer{Instance: name, Incarnation: w.runs})
		}
	}
	w.publish()
	members := w.state.MemberNames()
	w.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	lost := members[:1+w.random.IntN(3)]
	next := w.state.Members[members[3]].Writer
	w.apply(next, record.CoordinatorClaimed{Service: testService, Term: w.service().Term + 1})
	for _, name := range lost {
		w.markFleet.lose(w.state.Members[name].Writer)
	}
	if !w.state.IsMember(w.service().Servers[testServer].Row.Dispatcher) {
		w.place(next)
	}
	w.markFleet.mu.Lock()
	w.silent = map[record.Writer]bool{}
	for _, name := range members[len(members)-w.random.IntN(3):] {
		w.silent[w.state.Members[name].Writer] = true
	}
	w.markFleet.mu.Unlock()
	w.publish()
}

// check returns what the history shows to be wrong.
func (w *world) check() []string {
	var wrong []string
	w.backend.mu.Lock()
	defer w.backend.mu.Unlock()
	for key, n := range w.backend.starts {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	for _, t := range w.tries {
		var e *code.Error
		switch {
		case t.err == nil && t.body != "ran "+t.key:
			wrong = append(wrong, fmt.Sprintf("%s got %q", t.id, t.body))
		case t.err == nil && w.backend.starts[t.key] != 1:
			wrong = append(wrong, t.id+" is done and never ran")
		case t.err != nil && !errors.As(t.err, &e):
			wrong = append(wrong, t.id+" got no code: "+t.err.Error())
		case t.err != nil && e.Code.Outcome() == code.NotRun && w.backend.tries[t.id] > 0:
			wrong = append(wrong, t.id+" ran and was told "+e.Error())
		}
	}
	slices.Sort(wrong)
	return wrong
}
