// Expected durations of outages, estimated from past ones.

package zonehealth

// OutlastProbability returns the probability that an outage that has lasted elapsedSeconds lasts longer
// than target seconds in total. The prior is elapsedSeconds/target; it has the same weight as each past
// outage that lasted longer than elapsedSeconds.
func (r Record) OutlastProbability(target, elapsedSeconds float64) float64 {
	if elapsedSeconds <= 0 || target <= elapsedSeconds {
		return 1
	}
	total, exceeded := 1.0, elapsedSeconds/target
	for _, past := range r.OutageHistory {
		if past > elapsedSeconds {
			total++
			if past > target {
				exceeded++
			}
		}
	}
	return exceeded / total
}

// ExpectedRemaining returns the expected remaining duration, in seconds, of an outage that has lasted
// elapsedSeconds. It is the mean of elapsedSeconds, as the prior, and the remaining durations of past
// outages that lasted longer.
func (r Record) ExpectedRemaining(elapsedSeconds float64) float64 {
	total, sum := 1.0, elapsedSeconds
	for _, past := range r.OutageHistory {
		if past > elapsedSeconds {
			total++
			sum += past - elapsedSeconds
		}
	}
	return sum / total
}
