package member

import (
	"testing"
	"time"

	"basaltwall/api"
)

// One restart and another cost no trust; who keeps ending waits longer and longer, and is
// trusted again when it has lived for a while.
func TestTrustShrinksWithEnds(t *testing.T) {
	var l Lives
	at := func(s int) api.Time { return api.Time(time.Duration(s) * time.Second) }
	if !l.Saw("a", 1, at(0)) || l.Saw("a", 1, at(1)) || !l.Saw("a", 2, at(10)) {
		t.Error("lives are not told apart")
	}
	for i, want := range []int{5, 10, 20, 40, 60, 60} {
		if got := l.Settle("a", at(10+i), 5*time.Second); got != time.Duration(want)*time.Second {
			t.Errorf("after %d lives: %v, expected %d s", i+2, got, want)
		}
		l.Saw("a", int64(3+i), at(10+i))
	}
	if got := l.Settle("a", at(200), 5*time.Second); got != 5*time.Second {
		t.Errorf("two minutes later: %v", got)
	}
	if got := l.Settle("b", at(0), 5*time.Second); got != 5*time.Second {
		t.Errorf("of one never seen: %v", got)
	}
}
