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

// uuid7 returns an idempotency key that tells when it was made.
func uuid7(made time.Time) string {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], uint64(made.UnixMilli())<<16)
	raw[6], raw[8] = 0x70, 0x80
	h := hex.EncodeToString(raw[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

// resultOf returns a body, or the name of a code.
func resultOf(body string, err error) string {
	var e *code.Error
	if errors.As(err, &e) {
		return e.Code.String()
	}
	return body
}

// TestOnceOnly takes once-only work through repeats and losses. A fleet is two
// instances in each of two failure domains; e1-a dispatches.
func TestOnceOnly(t *testing.T) {
	const target = "/billing/7"
	broken := errors.New("connection reset")
	repeatAfter := func(change func(f *markFleet)) func(f *markFleet) []string {
		return func(f *markFleet) []string {
			first := resultOf(f.do("k", target))
			synctest.Wait()
			change(f)
			return []string{first, resultOf(f.do("k", target)), resultOf(f.do("new", target))}
		}
	}
	failed := func(change func(f *markFleet)) func(f *markFleet) []string {
		return func(f *markFleet) []string {
			f.backend.set(func(b *fakeBackend) { b.fail = broken })
			first := resultOf(f.do("k", target))
			f.backend.set(func(b *fakeBackend) { b.fail = nil })
			synctest.Wait()
			change(f)
			return []string{first, resultOf(f.do("k", target))}
		}
	}
	nothing := func(*markFleet) {}
	bothLost := func(f *markFleet) { f.takeOver("e1-b", "e1-a", "e2-a", "e2-b") }
	tests := []struct {
		name   string
		run    func(f *markFleet) []string
		want   []string
		starts int // of key k
	}{
		{"repeat after the end", repeatAfter(nothing), []string{"ran k", "ran k", "ran new"}, 1},
		{"repeat after an unknown end", failed(nothing), []string{"backend-reset", "backend-reset"}, 1},
		{"repeat after not run", func(f *markFleet) []string {
			f.backend.set(func(b *fakeBackend) { b.refuse = true })
			first := resultOf(f.do("k", target))
			f.backend.set(func(b *fakeBackend) { b.refuse = false })
			time.Sleep(time.Minute)
			return []string{first, resultOf(f.do("k", target))}
		}, []string{"backend-unreachable", "ran k"}, 1},
		{"repeat while it runs", func(f *markFleet) []string {
			release, got := make(chan struct{}), make(chan string)
			f.backend.set(func(b *fakeBackend) { b.release = release })
			for range 3 {
				go func() { got <- resultOf(f.do("k", target)) }()
			}
			synctest.Wait()
			close(release)
			return []string{<-got, <-got, <-got}
		}, []string{"ran k", "ran k", "ran k"}, 1},
		{"key of another request", func(f *markFleet) []string {
			return []string{resultOf(f.do("k", target)), resultOf(f.do("k", target+"?x"))}
		}, []string{"ran k", "ran k"}, 2},
		{"repeat after the retention time", repeatAfter(func(*markFleet) { time.Sleep(defaultRecordRetention + time.Second) }), []string{"ran k", "ran k", "ran new"}, 2},
		{"dispatcher lost after the end", repeatAfter(func(f *markFleet) { f.takeOver("e2-b", "e1-a") }), []string{"ran k", "ran k", "ran new"}, 1},
		{"dispatcher lost after an unknown end", failed(func(f *markFleet) { f.takeOver("e1-b", "e1-a") }), []string{"backend-reset", "backend-reset"}, 1},
		{"failure domain of the dispatcher lost", repeatAfter(func(f *markFleet) { f.takeOver("e2-b", "e1-a", "e1-b") }), []string{"ran k", "ran k", "ran new"}, 1},
		{"all copies lost", repeatAfter(bothLost), []string{"ran k", "mark-lost", "mark-lost"}, 1},
		{"all copies lost, first try of a key made later", repeatAfter(func(f *markFleet) {
			bothLost(f)
			time.Sleep(2 * maxCallerClockSkew)
			if got := resultOf(f.do(uuid7(time.Now()), target)); got[:3] != "ran" {
				f.t.Errorf("fresh key: %s", got)
			}
		}), []string{"ran k", "mark-lost", "mark-lost"}, 1},
		{"all copies lost, after the retention time", repeatAfter(func(f *markFleet) {
			bothLost(f)
			time.Sleep(defaultRecordRetention + time.Second)
		}), []string{"ran k", "ran k", "ran new"}, 2},
		{"dispatcher lost while it ran", func(f *markFleet) []string {
			release, got := make(chan struct{}), make(chan string)
			f.backend.set(func(b *fakeBackend) { b.release = release })
			old := f.sets[writer("e1-a")]
			go func() { got <- resultOf(bill(old, "k", target, "")) }()
			synctest.Wait()
			f.takeOver("e2-b", "e1-a")
			out := []string{resultOf(f.do("k", target))}
			close(release)
			return append(out, <-got)
		}, []string{"mark-lost", "ran k"}, 1},
		{"handed over in turn", repeatAfter(func(f *markFleet) {
			for i, name := range []string{"e1-a", "e2-a", "e1-b"} {
				if err := f.sets[writer(name)].HandOver(f.t.Context()); err != nil {
					f.t.Error(err)
				}
				f.takeOver([]string{"e2-a", "e1-b", "e2-b"}[i], name)
			}
			time.Sleep(singleDomainGrace)
		}), []string{"ran k", "ran k", "ran new"}, 1},
		{"key older than marks are kept", func(f *markFleet) []string {
			return []string{resultOf(f.do(uuid7(time.Now().Add(-defaultRecordRetention)), target))}
		}, []string{"mark-lost"}, 0},
		{"a peer does not answer", func(f *markFleet) []string {
			f.mu.Lock()
			f.silent = map[record.Writer]bool{writer("e2-b"): true}
			f.mu.Unlock()
			return []string{resultOf(f.do("k", target))}
		}, []string{"ran k"}, 1},
		{"peers of two failure domains do not answer", func(f *markFleet) []string {
			f.mu.Lock()
			f.silent = map[record.Writer]bool{writer("e2-b"): true}
			f.mu.Unlock()
			f.takeOver("e1-b", "e1-a")
			return []string{resultOf(f.do("k", target))}
		}, []string{"mark-not-replicated"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMarkFleet(t, "e1-a", "e1-b", "e2-a", "e2-b")
				synctest.Wait()
				if diff := cmp.Diff(tt.want, tt.run(f)); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.starts, f.backend.started("k")); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestMarksBounds fills a table: it takes no more and forgets nothing before
// its time.
func TestMarksBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRecordTable(clock.System{}, time.Minute, 2)
		mark := func(i int) IdempotencyRecord {
			return IdempotencyRecord{RecordKey: RecordKey{IdempotencyKey: fmt.Sprint(i)}, Sequence: 1}
		}
		var got []string
		put := func(i int) {
			_, err := m.put(mark(i))
			got = append(got, resultOf("kept", err))
		}
		put(1)
		time.Sleep(30 * time.Second)
		put(2)
		put(3)
		time.Sleep(31 * time.Second)
		put(3)
		put(4)
		if diff := cmp.Diff([]string{"kept", "kept", "marks-full", "kept", "marks-full"}, got); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
	})
}
