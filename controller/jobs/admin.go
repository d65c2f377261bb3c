// Operators' requests about jobs.

package jobs

import (
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// HandleAdminRequest answers a message.AdminJobs or message.AdminJob.
func (s *Service) HandleAdminRequest(c message.AdminRequest) {
	if c.What == message.AdminJob {
		s.replyJob(c)
		return
	}
	team := api.Team(c.Team)
	if _, known := s.core.Teams[team]; team != "" && !known {
		s.core.ReplyError(c.Req, 404, fmt.Sprintf("team: there is no team %q", team))
		return
	}
	s.core.Reply(c.Req, 200, s.ViewJobs(team, c.Limit), 0)
}

// replyJob answers with an unfinished job.
func (s *Service) replyJob(c message.AdminRequest) {
	j := s.core.State.Jobs[api.JobID(c.ID)]
	if j == nil {
		s.core.ReplyError(c.Req, 404, "no such job, or it has ended")
		return
	}
	s.core.Reply(c.Req, 200, s.ViewJob(j, s.deps.Capacity.FreeCapacityGroups()), 0)
}
