// Expected durations of outages, learned from past ones.

package zonehealth

// OutlastProbability is the probability that an outage that has lasted elapsedSeconds lasts longer
// than target seconds in all. Without history an outage lasts as long again with probability one
// half; each past outage that lasted longer counts as much as that prior.
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

// ExpectedRemaining is how much longer an outage is expected to last, in seconds, that has lasted
// elapsedSeconds: as long again, averaged with what past outages lasted beyond that.
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
