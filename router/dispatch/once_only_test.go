package dispatch

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/record"
)

// uuid7 returns an idempotency key that contains the time of its creation.
func uuid7(createdAt time.Time) string {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], uint64(createdAt.UnixMilli())<<16)
	raw[6], raw[8] = 0x70, 0x80
	h := hex.EncodeToString(raw[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

// resultOf returns the name of the result code of err, or body when err has
// none.
func resultOf(body string, err error) string {
	var e *code.Error
	if errors.As(err, &e) {
		return e.Code.String()
	}
	return body
}

// Within the retention time, a repeat of a once-only request must not run it
// again, even if instances that stored its idempotency record were lost. Each
// fleet has two instances in each of two failure domains; e1-a dispatches.
func TestOnceOnly(t *testing.T) {
	const requestURI = "/billing/7"
	errReset := errors.New("connection reset")
	repeatAfter := func(change func(f *testFleet)) func(f *testFleet) []string {
		return func(f *testFleet) []string {
			first := resultOf(f.do("k", requestURI))
			synctest.Wait()
			change(f)
			return []string{first, resultOf(f.do("k", requestURI)), resultOf(f.do("new", requestURI))}
		}
	}
	repeatAfterReset := func(change func(f *testFleet)) func(f *testFleet) []string {
		return func(f *testFleet) []string {
			f.backend.update(func(b *fakeBackend) { b.failure = errReset })
			first := resultOf(f.do("k", requestURI))
			f.backend.update(func(b *fakeBackend) { b.failure = nil })
			synctest.Wait()
			change(f)
			return []string{first, resultOf(f.do("k", requestURI))}
		}
	}
	noChange := func(*testFleet) {}
	// The replica holders of the dispatcher e1-a are in the other failure domain.
	killAllHolders := func(f *testFleet) { f.takeOver("e1-b", "e1-a", "e2-a", "e2-b") }
	tests := []struct {
		name   string
		run    func(f *testFleet) []string
		want   []string
		starts int // of requests with idempotency key k
	}{
		{"repeat after the response", repeatAfter(noChange), []string{"ran k", "ran k", "ran new"}, 1},
		{"repeat after an unknown result", repeatAfterReset(noChange), []string{"backend-reset", "backend-reset"}, 1},
		{"repeat after a request that did not run", func(f *testFleet) []string {
			f.backend.update(func(b *fakeBackend) { b.refuseConnections = true })
			first := resultOf(f.do("k", requestURI))
			f.backend.update(func(b *fakeBackend) { b.refuseConnections = false })
			time.Sleep(time.Minute)
			return []string{first, resultOf(f.do("k", requestURI))}
		}, []string{"backend-unreachable", "ran k"}, 1},
		{"repeat while the request runs", func(f *testFleet) []string {
			release, got := make(chan struct{}), make(chan string)
			f.backend.update(func(b *fakeBackend) { b.release = release })
			for range 3 {
				go func() { got <- resultOf(f.do("k", requestURI)) }()
			}
			synctest.Wait()
			close(release)
			return []string{<-got, <-got, <-got}
		}, []string{"ran k", "ran k", "ran k"}, 1},
		{"same idempotency key for another request key runs too", func(f *testFleet) []string {
			return []string{resultOf(f.do("k", requestURI)), resultOf(f.do("k", requestURI+"?x"))}
		}, []string{"ran k", "ran k"}, 2},
		{"repeat after the retention time", repeatAfter(func(*testFleet) { time.Sleep(defaultRecordRetention + time.Second) }), []string{"ran k", "ran k", "ran new"}, 2},
		{"dispatcher lost after the response", repeatAfter(func(f *testFleet) { f.takeOver("e2-b", "e1-a") }), []string{"ran k", "ran k", "ran new"}, 1},
		{"dispatcher lost after an unknown result", repeatAfterReset(func(f *testFleet) { f.takeOver("e1-b", "e1-a") }), []string{"backend-reset", "backend-reset"}, 1},
		{"failure domain of the dispatcher lost", repeatAfter(func(f *testFleet) { f.takeOver("e2-b", "e1-a", "e1-b") }), []string{"ran k", "ran k", "ran new"}, 1},
		{"all replicas lost", repeatAfter(killAllHolders), []string{"ran k", "mark-lost", "mark-lost"}, 1},
		{"all replicas lost, new request with an idempotency key created later", repeatAfter(func(f *testFleet) {
			killAllHolders(f)
			time.Sleep(2 * maxCallerClockSkew)
			if got := resultOf(f.do(uuid7(time.Now()), requestURI)); got[:3] != "ran" {
				f.t.Errorf("new request with an idempotency key created after the loss: got %s, want a response", got)
			}
		}), []string{"ran k", "mark-lost", "mark-lost"}, 1},
		{"all replicas lost, after the retention time", repeatAfter(func(f *testFleet) {
			killAllHolders(f)
			time.Sleep(defaultRecordRetention + time.Second)
		}), []string{"ran k", "ran k", "ran new"}, 2},
		{"dispatcher lost while the request runs", func(f *testFleet) []string {
			release, got := make(chan struct{}), make(chan string)
			f.backend.update(func(b *fakeBackend) { b.release = release })
			earlier := f.dispatchers[writer("e1-a")]
			go func() { got <- resultOf(sendOnceOnly(earlier, "k", requestURI, "")) }()
			synctest.Wait()
			f.takeOver("e2-b", "e1-a")
			results := []string{resultOf(f.do("k", requestURI))}
			close(release)
			return append(results, <-got)
		}, []string{"mark-lost", "ran k"}, 1},
		{"each dispatcher hands over before it leaves", repeatAfter(func(f *testFleet) {
			for i, name := range []string{"e1-a", "e2-a", "e1-b"} {
				if err := f.dispatchers[writer(name)].HandOverRecords(f.t.Context()); err != nil {
					f.t.Error(err)
				}
				f.takeOver([]string{"e2-a", "e1-b", "e2-b"}[i], name)
			}
			time.Sleep(singleDomainGrace)
		}), []string{"ran k", "ran k", "ran new"}, 1},
		{"idempotency key older than the retention time", func(f *testFleet) []string {
			return []string{resultOf(f.do(uuid7(time.Now().Add(-defaultRecordRetention)), requestURI))}
		}, []string{"mark-lost"}, 0},
		{"one peer is unreachable", func(f *testFleet) []string {
			f.mu.Lock()
			f.unreachable = map[record.Writer]bool{writer("e2-b"): true}
			f.mu.Unlock()
			return []string{resultOf(f.do("k", requestURI))}
		}, []string{"ran k"}, 1},
		{"dispatcher lost and a peer of the other failure domain unreachable", func(f *testFleet) []string {
			f.mu.Lock()
			f.unreachable = map[record.Writer]bool{writer("e2-b"): true}
			f.mu.Unlock()
			f.takeOver("e1-b", "e1-a")
			return []string{resultOf(f.do("k", requestURI))}
		}, []string{"mark-not-replicated"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "e1-a", "e1-b", "e2-a", "e2-b")
				synctest.Wait()
				if diff := cmp.Diff(tt.want, tt.run(f)); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.starts, f.backend.startCount("k")); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A full table must refuse further records and must not drop a record before
// the end of its retention time.
func TestRecordTableLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newRecordTable(clock.System{}, time.Minute, 2)
		newRecord := func(i int) IdempotencyRecord {
			return IdempotencyRecord{RecordKey: RecordKey{IdempotencyKey: fmt.Sprint(i)}, Sequence: 1}
		}
		var got []string
		put := func(i int) {
			_, err := table.put(newRecord(i))
			got = append(got, resultOf("stored", err))
		}
		put(1)
		time.Sleep(30 * time.Second)
		put(2)
		put(3)
		time.Sleep(31 * time.Second)
		put(3)
		put(4)
		if diff := cmp.Diff([]string{"stored", "stored", "marks-full", "stored", "marks-full"}, got); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
	})
}
