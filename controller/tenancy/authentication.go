package tenancy

// This file authenticates tenants and operators by the keys in their requests.

import (
	"net/netip"
	"time"

	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// errInvalidKey refuses unknown, revoked and expired keys alike, so that it reveals nothing about
// them.
var errInvalidKey = &tenant.Error{Status: 401, Reason: "invalid key"}

// errAddressNotAllowed refuses a valid key from outside the allowed networks.
var errAddressNotAllowed = &tenant.Error{Status: 403, Reason: "client address is not allowed"}

// errReadOnlyKey refuses a change with an operator key of a read-only role.
var errReadOnlyKey = &tenant.Error{Status: 403, Reason: "this key may not change anything"}

// OperatorKeyCacheTTL is the time since the last read of the log for which operator keys stay valid
// without a new read, for queries about the controller itself. Operators need these answers also
// from a controller that is cut off from the state service.
const OperatorKeyCacheTTL = time.Minute

// clientAddr returns the client's address. A forwarded address is trusted only from the proxies in
// the operators' record.
func (ts *Service) clientAddr(c message.Caller) netip.Addr {
	return tenant.ClientAddr(c.From, c.Forwarded, ts.hosted.operators.Proxies)
}

// authenticateTenant returns the tenant of a caller's key, by the cluster state of the last read.
func (ts *Service) authenticateTenant(c message.Caller) (*tenant.Entry, error) {
	secret, err := c.BearerSecret()
	if err != nil {
		return nil, err
	}
	entry, key := ts.hosted.tenants.Find(secret.ID)
	if entry == nil || !key.Verify(secret, ts.core.WallClock, ts.core.MaxClockError()) {
		return nil, errInvalidKey
	}
	if !entry.Networks.Allows(ts.clientAddr(c)) {
		return nil, errAddressNotAllowed
	}
	ts.recordKeyUse(entry.Name, key.ID)
	return entry, nil
}

// withTenant authenticates a caller after a linearizable read, so that no controller accepts a
// revoked key, and calls callback with the tenant. If the read fails, it calls forward.
func (ts *Service) withTenant(req message.ReqID, c message.Caller, callback func(*tenant.Entry), forward func()) {
	ts.deps.Follower.LinearizableRead(func() {
		entry, err := ts.authenticateTenant(c)
		if err != nil {
			ts.core.RefuseError(req, err)
			return
		}
		callback(entry)
	}, forward)
}

// authenticateOperator returns the id and the role of an operator's key, by the cluster state of the
// last read.
func (ts *Service) authenticateOperator(c message.Caller) (tenant.KeyID, tenant.Role, error) {
	secret, err := c.BearerSecret()
	if err != nil {
		return "", "", err
	}
	role, ok := ts.hosted.operators.Authenticate(ts.hosted.adminKey, secret, ts.core.WallClock, ts.core.MaxClockError())
	if !ok {
		return "", "", errInvalidKey
	}
	if !ts.hosted.operators.Networks.Allows(ts.clientAddr(c)) {
		return "", "", errAddressNotAllowed
	}
	return secret.ID, role, nil
}

// WithOperator authorizes an operator's request to a hosted service after a linearizable read, and
// calls callback. If the read fails, it serves only queries about this controller: with the admin
// key of the configuration always, with other keys up to OperatorKeyCacheTTL after the last read.
func (ts *Service) WithOperator(c message.AdminRequest, callback func(message.AdminRequest)) {
	aboutController := asksAboutController(c)
	readOnly := aboutController || asksAboutRecords(c)
	serve := func() {
		id, role, err := ts.authenticateOperator(c.Caller)
		if err == nil && !readOnly && role != tenant.RoleChange {
			err = errReadOnlyKey
		}
		if err != nil {
			ts.core.RefuseError(c.Req, err)
			return
		}
		ts.recordKeyUse(OperatorsHolder, id)
		c.KeyID = id
		callback(c)
	}
	ts.deps.Follower.LinearizableRead(serve, func() {
		if !aboutController || !ts.core.Loaded || !ts.trustsWithoutRead(c.Caller) {
			ts.core.ReplyError(c.Req, 503, reasonStoreUnreachable)
			return
		}
		serve()
	})
}

// asksAboutController reports whether a request is a query about the controller that answers.
func asksAboutController(c message.AdminRequest) bool {
	switch c.What {
	case "metrics", "members", "parts", "machines", "teams", "jobs", "job", "settings":
		return true
	}
	return false
}

// asksAboutRecords reports whether a request only reads records.
func asksAboutRecords(c message.AdminRequest) bool {
	switch c.What {
	case "tenants", "tenant", "usage", "operators", "pools", "pool", "audit", "skips":
		return true
	}
	return false
}

// trustsWithoutRead reports whether a caller's key may be verified without a new read: the admin key
// of the configuration always, other keys up to OperatorKeyCacheTTL after the last read.
func (ts *Service) trustsWithoutRead(c message.Caller) bool {
	if lastReadAt := ts.deps.Follower.LastReadAt(); lastReadAt != 0 && ts.core.Now.Sub(lastReadAt) <= OperatorKeyCacheTTL {
		return true
	}
	secret, err := c.BearerSecret()
	return err == nil && secret.ID == ts.hosted.adminKey.ID
}
