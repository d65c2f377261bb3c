package invariant

// Rule is the name of a rule in the text of a violation.
type Rule string

// The rules, each with its violation. The emulators check those from RuleBooking on, because these rules
// need data that only the emulators have.
const (
	RuleDuplicateRun          Rule = "ran_twice"        // a task is on two machines at the same time
	RuleQuota                 Rule = "quota"            // a team uses more than its limit
	RulePlacement             Rule = "wrong_place"      // a task is on a machine or in a zone that its job does not allow
	RuleRanAfterCancelTimeout Rule = "ran_cancelled"    // a task runs or starts after the timeout of its job's cancellation
	RuleStartedAfterCancel    Rule = "began_cancelled"  // a task starts after its job's cancellation was acknowledged
	RuleAcceptedInvalid       Rule = "accepted_invalid" // an invalid job is accepted, or refused without naming the field
	RuleStarvation            Rule = "left_waiting"     // a job stays pending while there is free capacity for it
	RuleJobLost               Rule = "forgotten"        // an accepted job is reported unknown or invalid
	RuleUnsubmittedJob        Rule = "invented"         // a job that was not submitted is reported as known
	RuleStateRegression       Rule = "went_back"        // a final state changes, or a job is cancelled without a request
	RulePrematureDone         Rule = "not_done"         // a job is reported done before all its tasks are done
	RuleUnacknowledged        Rule = "untold"           // a cancellation is not acknowledged in time
	RuleUnanswered            Rule = "unanswered"       // queries about an accepted job get no response in time
	RuleReplicaNotRestarted   Rule = "moved"            // a replica that was stopped for a move does not restart in time
	RuleBooking               Rule = "promised"         // a skip is booked twice, or a booking is lost
	RulePoolSize              Rule = "pool"             // more units of a pool are held than its size
	RuleSuspension            Rule = "held"             // a suspended tenant's job is accepted, starts or does not drain
	RuleMissingWriteGuard     Rule = "unguarded"        // a write lacks a compare-and-swap condition on a key that it depends on
	RuleRejectedWrite         Rule = "rejected_write"   // the key-value store refuses a write for good: it is malformed or exceeds a limit
)
