// Keys of the ledger in the key-value store.

package reservation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
)

// Keys of the ledger. They lie outside of the keys that controllers follow all the time, so that a
// restart reads them only once a request for a skip comes.
const (
	Root     = "s/"
	keyRound = Root + "r/" // SHARD/SLOT
	keyBlock = Root + "b/" // SHARD/BLOCK
)

// The archive of dropped bookings. Its keys are ordered by the time of that in milliseconds, and no
// controller follows them.
const (
	KeyArchive       = "skipold/" // TIME/SHARD-RECORD
	ArchiveRetention = 5 * 366 * 24 * time.Hour
)

// roundKey is the key of a record in the ring of its shard.
func roundKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", keyRound, shard, seq%RingSize)
}

// blockKey is the key of a block.
func blockKey(shard int, blockID BlockID) string {
	return fmt.Sprintf("%s%d/%d", keyBlock, shard, blockID)
}

// archiveKey is the key of the bookings that a record drops.
func archiveKey(at api.WallTime, shard int, seq uint64) string {
	return fmt.Sprintf("%s%013d/%d-%d", KeyArchive, at, shard, seq)
}

// parseShardKey parses PREFIX SHARD/NUMBER; ok is false if the key does not have that form.
func (g *Ledger) parseShardKey(key, prefix string) (shard int, number uint64, ok bool) {
	name, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, 0, false
	}
	shardText, numberText, _ := strings.Cut(name, "/")
	shard, shardErr := strconv.Atoi(shardText)
	number, numberErr := strconv.ParseUint(numberText, 10, 64)
	return shard, number, shardErr == nil && numberErr == nil && shard >= 0 && shard < len(g.shards)
}
