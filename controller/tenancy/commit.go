package tenancy

// This file holds the common steps of operators' changes: new keys, the commit and the answer.

import (
	"log/slog"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// errNoRandom refuses to create a key for a request without random bytes.
var errNoRandom = &tenant.Error{Status: 503, Reason: "no random bytes"}

// newKey creates a key from the random bytes of a request.
func (ts *Service) newKey(c message.AdminRequest, name string, expires api.WallTime) (tenant.Key, *NewKeyView, error) {
	if c.Random == nil {
		return tenant.Key{}, nil, errNoRandom
	}
	k, secret, err := tenant.NewKey(*c.Random, name, ts.core.WallClock, expires)
	if err != nil {
		return k, nil, err
	}
	return k, &NewKeyView{KeyView: viewKey(k), Secret: secret.String()}, nil
}

// CommitChange writes an operator's change and answers with view of the new revision; what names the
// record in refusals.
func (ts *Service) CommitChange(c message.AdminRequest, txn api.Txn, what string, view func(api.Revision) any) {
	ts.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		if response.Status == 200 {
			slog.Info("operator change committed", "what", c.What, "id", c.ID, "key", c.KeyID, "from", ts.clientAddr(c.Caller), "revision", response.Txn.Revision)
		}
		ts.ReplyChange(c.Req, response.Status, response.Txn.Revision, what, view)
	})
}

// ReplyChange answers an operator's change by the status of its write: with view of the new revision
// after a success, otherwise with an error in which what names the record.
func (ts *Service) ReplyChange(req message.ReqID, status int, revision api.Revision, what string, view func(api.Revision) any) {
	switch status {
	case 200:
		ts.core.Reply(req, 200, view(revision), 0)
		ts.deps.Follower.LinearizableRead(func() {}, func() {})
	case 400:
		ts.core.ReplyError(req, 400, what+" become too large for the state service")
	case 409:
		ts.core.ReplyError(req, 409, "revision: "+what+" changed since")
	default:
		ts.core.ReplyError(req, 503, "state service not reachable; the change may or may not have been made")
	}
}
