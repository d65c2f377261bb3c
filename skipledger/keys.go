// This file defines the keys of the ledger in the key-value store.

package skipledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
)

// Prefixes of the keys of the ledger. Controllers do not replicate these keys all the time: a controller
// loads them with the first request for a skip after its restart.
const (
	KeyPrefix   = "s/"
	ringPrefix  = KeyPrefix + "r/" // followed by SHARD/SLOT
	blockPrefix = KeyPrefix + "b/" // followed by SHARD/BLOCK
)

// Key prefix and retention of the archive of dropped bookings. Its keys sort by the time of archiving in
// milliseconds; controllers do not replicate them.
const (
	ArchivePrefix    = "skipold/" // followed by TIME/SHARD-RECORD
	ArchiveRetention = 5 * 366 * 24 * time.Hour
)

// ringKey returns the key of a record in the ring of its shard.
func ringKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", ringPrefix, shard, seq%RingSize)
}

// blockKey returns the key of a block.
func blockKey(shard int, blockID BlockID) string {
	return fmt.Sprintf("%s%d/%d", blockPrefix, shard, blockID)
}

// archiveKey returns the key of the bookings that a record drops.
func archiveKey(at api.WallTime, shard int, seq uint64) string {
	return fmt.Sprintf("%s%013d/%d-%d", ArchivePrefix, at, shard, seq)
}

// parseShardKey parses a key that consists of a prefix, a shard and a number, as in s/r/2/17. ok is false
// if the key has another form or names an unknown shard.
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
