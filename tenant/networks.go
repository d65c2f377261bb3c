// This file defines lists of IP networks, which restrict client addresses, and determines the client
// address behind proxies.

package tenant

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"

	"basaltwall/internal/exactjson"
)

// maxNetworks is the maximum number of networks in a list.
const maxNetworks = 10_000

// ipv4MappedBits is the prefix length of the IPv4-mapped IPv6 addresses.
const ipv4MappedBits = 96

// Networks is a sorted list of IP networks with a lookup table for addresses. The zero value is an empty
// list.
type Networks struct {
	list  []netip.Prefix
	table *bart.Lite
}

// NewNetworks returns a sorted list without duplicates. It converts IPv4-mapped IPv6 networks to IPv4
// networks. It refuses a network with bits set beyond its prefix length, which is probably a typing
// error.
func NewNetworks(prefixes []netip.Prefix) (Networks, error) {
	if len(prefixes) > maxNetworks {
		return Networks{}, invalid("networks", "at most %d", maxNetworks)
	}
	n := Networks{}
	for _, p := range prefixes {
		if !p.IsValid() || p.Addr().Zone() != "" {
			return Networks{}, invalid("networks", "%v is not a network", p)
		}
		if p.Addr().Is4In6() {
			if p.Bits() < ipv4MappedBits {
				return Networks{}, invalid("networks", "%v is wider than the IPv4-mapped addresses", p)
			}
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-ipv4MappedBits)
		}
		if p != p.Masked() {
			return Networks{}, invalid("networks", "%v has bits set beyond its prefix length; did you mean %v?", p, p.Masked())
		}
		n.list = append(n.list, p)
	}
	slices.SortFunc(n.list, func(a, b netip.Prefix) int {
		if c := a.Addr().Compare(b.Addr()); c != 0 {
			return c
		}
		return a.Bits() - b.Bits()
	})
	n.list = slices.Compact(n.list)
	if len(n.list) > 0 {
		n.table = &bart.Lite{}
		for _, p := range n.list {
			n.table.Insert(p)
		}
	}
	return n, nil
}

// ParseNetworks parses a list of networks, such as 10.0.0.0/8 or 2001:db8::/32, and single addresses.
func ParseNetworks(texts []string) (Networks, error) {
	if len(texts) > maxNetworks {
		return Networks{}, invalid("networks", "at most %d", maxNetworks)
	}
	out := make([]netip.Prefix, 0, len(texts))
	for _, s := range texts {
		if !strings.Contains(s, "/") {
			a, err := netip.ParseAddr(s)
			if err != nil {
				return Networks{}, invalid("networks", "%q: %v", s, err)
			}
			out = append(out, netip.PrefixFrom(a.WithZone(""), a.BitLen()))
			continue
		}
		p, err := netip.ParsePrefix(s)
		if err != nil {
			return Networks{}, invalid("networks", "%q: %v", s, err)
		}
		out = append(out, p)
	}
	return NewNetworks(out)
}

// Len returns the number of networks.
func (n Networks) Len() int { return len(n.list) }

// IsZero reports whether the list is empty.
func (n Networks) IsZero() bool { return len(n.list) == 0 }

// Prefixes returns the networks, sorted.
func (n Networks) Prefixes() []netip.Prefix { return slices.Clone(n.list) }

// Contains reports whether an address is in one of the networks.
func (n Networks) Contains(a netip.Addr) bool {
	return n.table != nil && a.IsValid() && n.table.Contains(a.Unmap().WithZone(""))
}

// Allows reports whether an address is allowed: an empty list allows any.
func (n Networks) Allows(a netip.Addr) bool { return n.IsZero() || n.Contains(a) }

// MarshalJSON encodes the networks as a list of strings; an empty list is [], not null.
func (n Networks) MarshalJSON() ([]byte, error) {
	return json.Marshal(append([]netip.Prefix{}, n.list...))
}

// UnmarshalJSON decodes a list of strings.
func (n *Networks) UnmarshalJSON(b []byte) error {
	var texts []string
	if err := exactjson.Decode(b, &texts); err != nil {
		return fmt.Errorf("networks: %w", err)
	}
	read, err := ParseNetworks(texts)
	if err != nil {
		return err
	}
	*n = read
	return nil
}

// ClientAddr returns the client address of a request. It uses the X-Forwarded-For header, forwarded, only
// if the connection comes from a trusted proxy. It then reads the header from its end and returns the
// first address that is not a trusted proxy.
func ClientAddr(conn netip.Addr, forwarded string, proxies Networks) netip.Addr {
	addr := conn.Unmap()
	if !proxies.Contains(addr) || forwarded == "" {
		return addr
	}
	hops := strings.Split(forwarded, ",")
	for _, hop := range slices.Backward(hops) {
		a, err := netip.ParseAddr(strings.TrimSpace(hop))
		if err != nil {
			return addr // malformed address, which no trusted proxy added
		}
		if addr = a.Unmap().WithZone(""); !proxies.Contains(addr) {
			return addr
		}
	}
	return addr
}
