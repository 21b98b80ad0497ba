package direct

import (
	"testing"
	"time"
)

func TestReportedLoadDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	l := serverLoad{inFlight: 2}
	l.observe(attemptSample{outcome: outcomeDone, status: 200, report: LoadReport{Running: 6, Waiting: 4, Slots: 6, Valid: true}}, now)
	if got := l.activeRequests(now); got != 9 {
		t.Errorf("%v active requests, want 9: 2 of this instance and 7 of others", got)
	}
	if got := l.activeRequests(now.Add(reportDecayTime)); got != 2 {
		t.Errorf("%v active requests %v after the report, want the 2 of this instance", got, reportDecayTime)
	}
}
