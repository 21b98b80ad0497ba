package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// witnessCount is the number of witnesses of a member, if the fleet has at
	// least that many other members.
	witnessCount = 3
	// minWitnesses is the least number of witnesses. A single witness would be a
	// majority by itself and could vote its member lost alone, so a member
	// without two witnesses renews through the log.
	minWitnesses = 2
	// witnessCheckInterval is the time between two checks of all members'
	// witnesses.
	witnessCheckInterval = 100 * time.Millisecond
	// maxWitnessRows bounds the number of rows in one record.
	maxWitnessRows = 64
)

// decideWitnesses assigns witnesses to members that lack some. The coordinator
// of the first service does so for all members, and each member replaces its
// own witnesses that voted it lost.
func (c *Core) decideWitnesses(now time.Time) []Effect {
	if now.Sub(c.witnessesCheckedAt) < witnessCheckInterval {
		return nil
	}
	c.witnessesCheckedAt = now
	if row, ok := c.replaceOwnWitnesses(); ok {
		return c.propose("refused", record.WitnessesNamed{Rows: []record.WitnessRow{row}}, now)
	}
	if services := c.state.ServicesInOrder(); len(services) == 0 || services[0].Coordinator != c.self {
		return nil
	}
	var rows []record.WitnessRow
	counts := c.watchedCounts()
	for _, name := range c.state.MemberNames() {
		row, ok := c.nextWitnesses(c.state.Members[name], counts, now)
		if ok && c.state.MayName(row) {
			rows = append(rows, row)
		}
		if len(rows) == maxWitnessRows {
			break
		}
	}
	if len(rows) == 0 {
		return nil
	}
	return c.propose("witnesses", record.WitnessesNamed{Rows: rows}, now)
}

// watchedCounts returns how many members each instance witnesses.
func (c *Core) watchedCounts() map[string]int {
	counts := make(map[string]int, len(c.state.Members))
	for _, m := range c.state.Members {
		for _, w := range m.Witnesses {
			counts[w.Instance]++
		}
	}
	return counts
}

// wantedWitnesses returns how many witnesses each member should have.
func (c *Core) wantedWitnesses() int {
	n := min(witnessCount, len(c.state.Members)-1)
	if n < minWitnesses {
		return 0
	}
	return n
}

// nextWitnesses returns the witnesses that m should have, and false if it keeps
// its present ones. A witness whose membership ended is replaced once its
// promises have expired. The first witnesses are assigned only shortly after a
// renewal through the log, so that the lease does not expire before the
// witnesses have promised it.
func (c *Core) nextWitnesses(m state.Member, counts map[string]int, now time.Time) (record.WitnessRow, bool) {
	row := record.WitnessRow{Member: m.Writer, Base: m.LeaseVersion}
	for _, w := range m.Witnesses {
		if c.state.IsMember(w) || !c.promisesExpired(w, now) {
			row.Witnesses = append(row.Witnesses, w)
		}
	}
	want := c.wantedWitnesses()
	recentlyRenewed := now.Sub(c.witness.logLeases[m.Writer].readAt) < c.timing().Lease.Std()/2
	switch {
	case len(m.Witnesses) == 0 && !recentlyRenewed:
		return row, false
	case want == 0:
		row.Witnesses = nil
	default:
		row.Witnesses = c.fillWitnesses(m, row.Witnesses, want, counts)
	}
	return row, !slices.Equal(row.Witnesses, m.Witnesses)
}

// replaceOwnWitnesses returns the instance's own row with the witnesses that
// voted it lost replaced, and false if none has or the row is not allowed.
func (c *Core) replaceOwnWitnesses() (record.WitnessRow, bool) {
	m := c.state.Members[c.self.Instance]
	row := record.WitnessRow{Member: c.self, Base: m.LeaseVersion}
	for _, w := range m.Witnesses {
		if slices.Contains(c.witness.votedLostBy, w) {
			row.Refused = append(row.Refused, w)
			continue
		}
		row.Witnesses = append(row.Witnesses, w)
	}
	if len(row.Refused) == 0 {
		return row, false
	}
	row.Witnesses = c.fillWitnesses(m, row.Witnesses, c.wantedWitnesses(), c.watchedCounts())
	return row, c.state.MayName(row)
}

// fillWitnesses adds witnesses to chosen until there are want of them or no
// candidate is left.
func (c *Core) fillWitnesses(m state.Member, chosen []record.Writer, want int, counts map[string]int) []record.Writer {
	for len(chosen) < want {
		w, ok := c.pickWitness(m, chosen, counts)
		if !ok {
			break
		}
		counts[w.Instance]++
		chosen = append(chosen, w)
	}
	return chosen
}

// witnessScore orders candidates; the lowest is the best.
type witnessScore struct {
	sharedDomains int    // number of the member and chosen witnesses that share the candidate's failure domain
	sharedRegions int    // number of chosen witnesses in the candidate's region
	watchedCount  int    // number of members that the candidate witnesses
	hash          uint64 // breaks ties in a different order for each member
}

func (s witnessScore) less(o witnessScore) bool {
	switch {
	case s.sharedDomains != o.sharedDomains:
		return s.sharedDomains < o.sharedDomains
	case s.sharedRegions != o.sharedRegions:
		return s.sharedRegions < o.sharedRegions
	case s.watchedCount != o.watchedCount:
		return s.watchedCount < o.watchedCount
	default:
		return s.hash < o.hash
	}
}

// pickWitness returns the best candidate among the other members that are not
// chosen yet.
func (c *Core) pickWitness(m state.Member, chosen []record.Writer, counts map[string]int) (record.Writer, bool) {
	var best state.Member
	var least witnessScore
	for _, o := range c.state.Members {
		if o.Writer.Instance == m.Writer.Instance || o.Leaving || slices.Contains(chosen, o.Writer) || slices.Contains(c.votedLostBy(m), o.Writer) {
			continue
		}
		s := c.scoreWitness(m, o, chosen, counts)
		if best.Writer.Instance == "" || s.less(least) {
			best, least = o, s
		}
	}
	return best.Writer, best.Writer.Instance != ""
}

// votedLostBy returns the witnesses that are known to have voted m lost.
func (c *Core) votedLostBy(m state.Member) []record.Writer {
	if m.Writer == c.self {
		return c.witness.votedLostBy
	}
	return nil
}

func (c *Core) scoreWitness(m, o state.Member, chosen []record.Writer, counts map[string]int) witnessScore {
	s := witnessScore{
		watchedCount: counts[o.Writer.Instance],
		hash:         xxhash.Sum64String(m.Writer.Instance + "/" + o.Writer.Instance),
	}
	if o.Joined.FailureDomain == m.Joined.FailureDomain {
		s.sharedDomains++
	}
	for _, w := range chosen {
		joined := c.state.Members[w.Instance].Joined
		if joined.FailureDomain == o.Joined.FailureDomain {
			s.sharedDomains++
		}
		if joined.Region == o.Joined.Region {
			s.sharedRegions++
		}
	}
	return s
}
