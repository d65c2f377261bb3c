package rounds

import (
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// A record gets as many quota transfers as fit into a value beside its other entries, in their order.
func TestQuotaTransfersFitTheRecord(t *testing.T) {
	s := newTestScheduler(t, 3)
	var transfers []clusterstate.QuotaTransfer
	for i := range 300 {
		transfers = append(transfers, clusterstate.QuotaTransfer{To: 1, Team: api.Team(fmt.Sprintf("%s-%03d", strings.Repeat("x", 60), i)), Amount: api.Resources{CPU: api.ToQuantity(1e6)}})
	}
	for _, c := range []struct {
		txnBytesLeft int
		few, many    bool // whether few or many of the transfers fit
	}{{1000, true, false}, {api.MaxTxnBytes, false, true}} {
		b := &roundBuilder{round: &core.PendingRound{Record: clusterstate.RoundRecord{Seq: 1}}, txnBytesLeft: c.txnBytesLeft}
		s.addQuotaTransfers(b, transfers)
		added := len(b.round.Record.QuotaTransfers)
		if size := core.EncodedBytes(b.round.Record); size > s.core.MaxValueBytes() || size > c.txnBytesLeft+recordReserveBytes {
			t.Errorf("%d transfers make a record of %d bytes", added, size)
		}
		if few, many := added > 0 && added < 20, added > 40 && added < len(transfers); few != c.few || many != c.many {
			t.Errorf("%d of %d transfers fit with %d bytes left in the transaction", added, len(transfers), c.txnBytesLeft)
		}
		if added > 0 && b.round.Record.QuotaTransfers[added-1] != transfers[added-1] {
			t.Error("the transfers are not the first ones")
		}
	}
}
