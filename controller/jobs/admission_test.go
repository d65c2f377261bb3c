package jobs

import (
	"testing"
	"time"

	"basaltwall/controller/core"
)

// Submissions over the write limit are refused here, because the state service would otherwise
// also refuse the renewal of the controller's lease.
func TestSubmissionsLeaveWriteBudget(t *testing.T) {
	s := newTestService(t)
	accepted := 0
	for range 10 * 20 { // 1000 submissions in 10 s
		s.core.Now = s.core.Now.Add(50 * time.Millisecond)
		for range 5 {
			if s.allowSubmission() {
				accepted++
			}
		}
	}
	if most := int(core.SubmissionWriteShare * s.core.Config.Deployment.State.WriteRPS * 11); accepted > most || accepted < most/2 {
		t.Errorf("%d of 1000 submissions in 10 s are allowed, expected at most %d and at least half of that", accepted, most)
	}
}
