package invariant

// Rule names a rule in the checker's output.
type Rule string

// The rules, each by what violates it. Those from RulePromised on are checked by the emulators, which see
// what is needed for them.
const (
	RuleRanTwice        Rule = "ran_twice"       // a task is on two machines at a time
	RuleQuota           Rule = "quota"           // a team uses more than its limit
	RuleWrongPlace      Rule = "wrong_place"     // a task is on a machine or in a zone that its job does not allow
	RuleRanCancelled    Rule = "ran_cancelled"   // a task runs on after the time that a cancellation may take
	RuleBeganCancelled  Rule = "began_cancelled" // a task begins after its job's cancellation was acknowledged
	RuleAcceptedInvalid Rule = "accepted_bad"    // an invalid job is accepted, or refused without naming the field
	RuleLeftWaiting     Rule = "left_waiting"    // a job waits though there is free capacity for it
	RuleForgotten       Rule = "forgotten"       // an accepted job is called unknown or invalid
	RuleInvented        Rule = "invented"        // a job that nobody submitted is known
	RuleWentBack        Rule = "went_back"       // a final state changes, or a job is cancelled that nobody cancelled
	RuleNotDone         Rule = "not_done"        // a job is called done before all its tasks are
	RuleUnacknowledged  Rule = "untold"          // a cancellation is not acknowledged
	RuleUnanswered      Rule = "unknown"         // queries about an accepted job are not answered
	RuleMoved           Rule = "moved"           // a replica that was stopped for a move does not start again
	RulePromised        Rule = "promised"        // a reservation is granted twice or lost
	RulePool            Rule = "pool"            // more units of a pool are held than there are
	RuleHeld            Rule = "held"            // work of a suspended tenant is accepted or starts
	RuleUnguarded       Rule = "unguarded"       // a write is not conditional on what it depends on
)
