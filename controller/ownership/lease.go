package ownership

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file maintains the lease of this controller's member key: it requests the lease, writes the key
// under it and renews it.

// keyRewriteDelay is the time after the write of the member key within which the log must contain it.
// Otherwise the key counts as lost and is rewritten.
const keyRewriteDelay = time.Second

// memberLease is the state of the lease under which the member key is written.
type memberLease struct {
	id           api.LeaseID // 0 if there is none
	callInFlight bool
	nextCallAt   api.Time
	registered   bool // whether the member key is written under the lease
	registeredAt api.Time
}

// MaintainLease sends the next call that maintains the lease and the member key, if one is due.
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

// memberKeyLost reports whether the member key is missing or names another incarnation although it was
// written. The key may have been deleted with the expired lease of a former incarnation, or overwritten
// by a delayed write of that incarnation.
func (m *Manager) memberKeyLost() bool {
	member, exists := m.core.State.Members[m.core.Config.Label]
	current := exists && member.Incarnation == m.core.Incarnation
	return m.lease.registered && m.core.Loaded && !current && m.core.Now.Sub(m.lease.registeredAt) > keyRewriteDelay
}

// leaseCallDone marks the call in flight as completed and schedules the next one.
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
