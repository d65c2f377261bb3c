// Package turns owns whose questions are answered while not all can be: each job has its turn
// by the clock, alike at all controllers, so that whoever asks every few seconds is answered
// within a bounded time whatever others ask. Refusing costs next to nothing; answering those
// that happen to come first would leave some unanswered for minutes, by chance. It is pure.
package turns

import (
	"hash/fnv"
	"time"

	"basaltwall/api"
)

// Window is how long a turn lasts: longer than users wait before they ask again, and than the
// controllers' clocks can differ.
const Window = 7 * time.Second

// Most is the most ways in which questions are divided: a whole cycle is shorter than the time
// after which a job counts as forgotten, 75 s, with a turn that is missed once for its edges.
const Most = 8

// Ways is in how many ways questions are divided where so many commands wait and the owner is
// called behind from so many on.
func Ways(waiting, behind int) int {
	ways := 1
	for n := behind; waiting >= n && ways < Most; n *= 2 {
		ways *= 2
	}
	return ways
}

// Whose reports whether it is a job's turn, or how long it is until then.
func Whose(ref api.JobRef, at api.Wall, ways int) (now bool, until time.Duration) {
	h := fnv.New32a()
	h.Write([]byte(ref))
	window := api.Wall(Window.Milliseconds())
	turn, own := int(at/window)%ways, int(h.Sum32()%uint32(ways))
	if turn == own {
		return true, 0
	}
	ahead := api.Wall((own - turn + ways) % ways)
	return false, time.Duration((at/window+ahead)*window-at) * time.Millisecond
}
