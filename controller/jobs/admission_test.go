package jobs

import (
	"testing"
	"time"

	"basaltwall/controller/core"
)

// Submissions beyond what the state service can write are refused at once, or the renewal of
// our lease would be refused there with them.
func TestSubmissionsLeaveWriteBudget(t *testing.T) {
	s := newTestService(t)
	accepted := 0
	for range 10 * 20 { // ten seconds, a thousand submissions
		s.core.Now = s.core.Now.Add(50 * time.Millisecond)
		for range 5 {
			if s.allowSubmission() {
				accepted++
			}
		}
	}
	if most := int(core.SubmissionWriteShare * s.core.Config.Deployment.State.WriteRPS * 11); accepted > most || accepted < most/2 {
		t.Errorf("%d of 1000 submissions in ten seconds are written, expected %d at most and not much less", accepted, most)
	}
}
