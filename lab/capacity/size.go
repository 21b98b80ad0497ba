// Package capacity works out what each role costs at the size that the fleet
// is to reach, from slopes measured on this machine.
package capacity

// Size is a fleet and what it does.
type Size struct {
	Instances         float64
	BackendServers    float64
	Services          float64
	Keys              float64
	Slots             float64 // of the key space, over all services
	Requests          float64 // a second
	RequestBytes      float64 // of a small request with its answer
	ForwardedShare    float64 // of requests whose dispatcher is another instance
	ConfigChanges     float64 // a day
	Restarts          float64 // instances restarted or replaced a day
	Failures          float64 // instances failed a day
	FailureDomains    float64
	HotKeyMoves       float64 // a second
	GrantsPerSecond   float64 // to each backend server
	BeatsPerSecond    float64 // to each witness
	Witnesses         float64 // of each instance
	CallerConnections float64 // to each instance
}

const (
	secondsPerDay    = 86_400
	slotsPerServer   = 64
	serversPerNode   = 38.0 / 8 // as the first users have it
	hotKeys          = 50
	hotKeyTurnover   = 180 // seconds in which the hottest keys change
	smallRequest     = 1200
	callersPerSecond = 0.5 // requests a second on one caller connection
)

// Today is the fleet of one of the first users.
func Today() Size {
	return size(8, 1900, 50, 1_000_000, 16)
}

// TwoYears is the fleet that the design is for.
func TwoYears() Size {
	s := size(1700, 8_400_000, 1900, 1_200_000_000, 130)
	s.Failures, s.FailureDomains = 9, 12
	return s
}

func size(instances, requests, changes, keys, restarts float64) Size {
	servers := instances * serversPerNode
	return Size{
		Instances: instances, BackendServers: servers, Services: 3, Keys: keys,
		Slots: powerOfTwo(servers * slotsPerServer), Requests: requests, RequestBytes: smallRequest,
		ForwardedShare: 1 - 1/instances, ConfigChanges: changes, Restarts: restarts, Failures: 1, FailureDomains: 6,
		HotKeyMoves: hotKeys / float64(hotKeyTurnover), GrantsPerSecond: 1 / 0.123, BeatsPerSecond: 1 / 0.153,
		Witnesses: 3, CallerConnections: requests / instances / callersPerSecond,
	}
}

// powerOfTwo returns the smallest power of two that is at least x.
func powerOfTwo(x float64) float64 {
	p := 1.0
	for p < x {
		p *= 2
	}
	return p
}
