package tenancy

// This file authenticates tenants and operators by the keys that their requests bring.

import (
	"net/netip"
	"time"

	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// errInvalidKey says as little of a key that opens nothing as of one that is not there.
var errInvalidKey = &tenant.Error{Status: 401, Reason: "not a key that opens anything"}

// errAddressNotAllowed refuses a good key from outside the networks that it is bound to.
var errAddressNotAllowed = &tenant.Error{Status: 403, Reason: "not from this address"}

// errReadOnlyKey refuses a change by an operators' key that may only read.
var errReadOnlyKey = &tenant.Error{Status: 403, Reason: "this key may not change anything"}

// OperatorKeyCacheTTL is for how long an operators' key that was good when the state was last
// read is believed without it, for questions about the controller alone. Whoever looks at
// a service in trouble needs answers from the controllers that are cut off.
const OperatorKeyCacheTTL = time.Minute

// clientAddr is where a request comes from: what a proxy says is believed from those only that
// the operators have named.
func (ts *Service) clientAddr(c message.Caller) netip.Addr {
	return tenant.ClientAddr(c.From, c.Forwarded, ts.hosted.operators.Proxies)
}

// authenticateTenant finds the tenant whose key a caller brings, as far as the cluster state has
// been read.
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

// withTenant does something for the tenant whose key a caller brings, by what is current
// now: a revoked key opens nothing on any controller that answers, and one that can't know
// passes the request on or says so.
func (ts *Service) withTenant(req message.ReqID, c message.Caller, callback func(*tenant.Entry), forward func()) {
	ts.siblings.Follower.LinearizableRead(func() {
		entry, err := ts.authenticateTenant(c)
		if err != nil {
			ts.core.RefuseError(req, err)
			return
		}
		callback(entry)
	}, forward)
}

// authenticateOperator finds what an operator may do by the key that a request brings, as far as
// the cluster state has been read.
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

// WithOperator does what an operator of a hosted service asks if the key that comes with it
// may: by what is current. A controller that can't know what is answers questions about
// itself alone, for a while, by what it knew last; the file's key lies beside it and needs
// no state.
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
	ts.siblings.Follower.LinearizableRead(serve, func() {
		if !aboutController || !ts.core.Loaded || !ts.trustsWithoutRead(c.Caller) {
			ts.core.ReplyError(c.Req, 503, reasonStoreUnreachable)
			return
		}
		serve()
	})
}

// asksAboutController reports whether a request asks only for what the controller that answers knows.
func asksAboutController(c message.AdminRequest) bool {
	switch c.What {
	case "metrics", "members", "parts", "machines", "teams", "jobs", "job", "settings":
		return true
	}
	return false
}

// asksAboutRecords reports whether a request asks for records without changing any.
func asksAboutRecords(c message.AdminRequest) bool {
	switch c.What {
	case "tenants", "tenant", "usage", "operators", "pools", "pool", "audit", "skips":
		return true
	}
	return false
}

// trustsWithoutRead reports whether an operators' key may be judged by what was read before: for
// a while, and the file's key always.
func (ts *Service) trustsWithoutRead(c message.Caller) bool {
	if lastReadAt := ts.siblings.Follower.LastReadAt(); lastReadAt != 0 && ts.core.Now.Sub(lastReadAt) <= OperatorKeyCacheTTL {
		return true
	}
	secret, err := c.BearerSecret()
	return err == nil && secret.ID == ts.hosted.adminKey.ID
}
