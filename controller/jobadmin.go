package controller

// This file answers what operators ask of jobs.

import (
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// HandleAdminRequest answers a message.AdminJobs or message.AdminJob.
func (js *JobService) HandleAdminRequest(c message.AdminRequest) {
	if c.What == message.AdminJob {
		js.replyJob(c)
		return
	}
	team := api.Team(c.Team)
	if _, known := js.core.Teams[team]; team != "" && !known {
		js.core.ReplyError(c.Req, 404, fmt.Sprintf("team: there is no team %q", team))
		return
	}
	js.core.Reply(c.Req, 200, js.ViewJobs(team, c.Limit), 0)
}

// replyJob shows a job that is not over.
func (js *JobService) replyJob(c message.AdminRequest) {
	j := js.core.State.Jobs[api.JobID(c.ID)]
	if j == nil {
		js.core.ReplyError(c.Req, 404, "no such job, or it is over")
		return
	}
	js.core.Reply(c.Req, 200, js.ViewJob(j, js.FreeCapacityGroups()), 0)
}
