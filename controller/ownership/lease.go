package ownership

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file keeps the controller's member key alive: a lease is granted, the key is written under it,
// and the lease is renewed.

// keyRewriteDelay is how long after its member key was written this controller waits for the log to
// show it, before it takes the key for lost.
const keyRewriteDelay = time.Second

// memberLease is the lease that the member key is tied to.
type memberLease struct {
	id           api.LeaseID // 0: none
	callInFlight bool
	nextCallAt   api.Time
	registered   bool // the member key is written under the lease
	registeredAt api.Time
}

// MaintainLease sends the next call that keeps the member key alive, if one is due.
func (m *Manager) MaintainLease() {
	if m.memberKeyLost() {
		m.lease.registered = false
	}
	if m.lease.callInFlight || m.core.Now < m.lease.nextCallAt {
		return
	}
	m.lease.callInFlight = true
	switch {
	case m.lease.id == 0:
		m.grantLease()
	case !m.lease.registered:
		m.register()
	default:
		m.renewLease()
	}
}

// memberKeyLost reports whether the member key is gone, or names another incarnation, although it was
// written: the lease of this controller's former incarnation may have taken the key along, or a late
// write of that incarnation has tied the key to it.
func (m *Manager) memberKeyLost() bool {
	member, exists := m.core.State.Members[m.core.Config.Label]
	current := exists && member.Incarnation == m.core.Incarnation
	return m.lease.registered && m.core.Loaded && !current && m.core.Now.Sub(m.lease.registeredAt) > keyRewriteDelay
}

// leaseCallDone ends the call in flight; the next one is due after a delay.
func (m *Manager) leaseCallDone(delay time.Duration) {
	m.lease.callInFlight = false
	m.lease.nextCallAt = m.core.Now.Add(delay)
}

func (m *Manager) grantLease() {
	m.core.CallStore(message.StoreCall{GrantLease: m.core.MemberLeaseTTL}, func(response message.StoreResponse) {
		if response.Status != api.StatusOK {
			m.leaseCallDone(core.RetryDelay)
			return
		}
		m.lease.id, m.lease.registered = response.Lease, false
		m.leaseCallDone(0)
	})
}

// register writes the member key under the lease.
func (m *Manager) register() {
	value, _ := json.Marshal(clusterstate.MemberValue{Incarnation: m.core.Incarnation, Format: clusterstate.Format})
	write := api.Write{Put: clusterstate.KeyMember + string(m.core.Config.Label), Value: value, Lease: m.lease.id}
	m.core.CallStoreTxn(api.Txn{Writes: []api.Write{write}}, func(response message.StoreResponse) {
		switch response.Status {
		case api.StatusOK:
			m.lease.registered, m.lease.registeredAt = true, m.core.Now
			m.leaseCallDone(m.core.LeaseRenewInterval)
		case api.StatusBadRequest: // the lease has expired
			m.lease.id = 0
			m.leaseCallDone(0)
		default:
			m.leaseCallDone(core.RetryDelay)
		}
	})
}

func (m *Manager) renewLease() {
	m.core.CallStore(message.StoreCall{RenewLease: m.lease.id, Timeout: core.RenewTimeout}, func(response message.StoreResponse) {
		switch response.Status {
		case api.StatusOK:
			m.leaseCallDone(m.core.LeaseRenewInterval)
		case api.StatusNotFound: // the lease has expired
			m.lease.id, m.lease.registered = 0, false
			m.leaseCallDone(0)
		default:
			m.leaseCallDone(core.RetryDelay)
		}
	})
}
