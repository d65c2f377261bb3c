// IP networks: from where tenants and operators may connect, and the client address behind proxies.

package tenant

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"
)

// maxNetworks bounds the networks of a list.
const maxNetworks = 10_000

// ipv4MappedBits is the prefix length of the IPv4-mapped IPv6 addresses.
const ipv4MappedBits = 96

// Networks is a sorted list of IP networks with a table to look addresses up in. The zero value
// is empty.
type Networks struct {
	list  []netip.Prefix
	table *bart.Lite
}

// NewNetworks makes a list, sorted and without duplicates. IPv4-mapped IPv6 networks become IPv4
// networks. A network with bits set beyond its prefix length is refused: most likely a different one
// was meant.
func NewNetworks(prefixes []netip.Prefix) (Networks, error) {
	if len(prefixes) > maxNetworks {
		return Networks{}, invalid("networks", "at most %d", maxNetworks)
	}
	n := Networks{}
	for _, p := range prefixes {
		if !p.IsValid() || p.Addr().Zone() != "" {
			return Networks{}, invalid("networks", "%v is none", p)
		}
		if p.Addr().Is4In6() {
			if p.Bits() < ipv4MappedBits {
				return Networks{}, invalid("networks", "%v holds more than IPv4", p)
			}
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-ipv4MappedBits)
		}
		if p != p.Masked() {
			return Networks{}, invalid("networks", "%v has bits beyond its length; %v?", p, p.Masked())
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

// Len is the number of networks.
func (n Networks) Len() int { return len(n.list) }

// IsZero reports whether the list is empty.
func (n Networks) IsZero() bool { return len(n.list) == 0 }

// Prefixes are the networks, sorted.
func (n Networks) Prefixes() []netip.Prefix { return slices.Clone(n.list) }

// Contains reports whether an address is in one of the networks.
func (n Networks) Contains(a netip.Addr) bool {
	return n.table != nil && a.IsValid() && n.table.Contains(a.Unmap().WithZone(""))
}

// Allows reports whether an address is allowed: an empty list allows any.
func (n Networks) Allows(a netip.Addr) bool { return n.IsZero() || n.Contains(a) }

// MarshalJSON writes the networks as a list of strings, an empty one for none.
func (n Networks) MarshalJSON() ([]byte, error) {
	return json.Marshal(append([]netip.Prefix{}, n.list...))
}

// UnmarshalJSON reads the networks from a list of strings.
func (n *Networks) UnmarshalJSON(b []byte) error {
	var texts []string
	if err := json.Unmarshal(b, &texts); err != nil {
		return fmt.Errorf("networks: %w", err)
	}
	read, err := ParseNetworks(texts)
	if err != nil {
		return err
	}
	*n = read
	return nil
}

// ClientAddr is the address that a request comes from. X-Forwarded-For is trusted only if the
// connection comes from a proxy, and from its end on only as long as each address is a proxy too:
// the first that is not is the client.
func ClientAddr(conn netip.Addr, forwarded string, proxies Networks) netip.Addr {
	addr := conn.Unmap()
	if !proxies.Contains(addr) || forwarded == "" {
		return addr
	}
	hops := strings.Split(forwarded, ",")
	for _, hop := range slices.Backward(hops) {
		a, err := netip.ParseAddr(strings.TrimSpace(hop))
		if err != nil {
			return addr // not written by one of the proxies
		}
		if addr = a.Unmap().WithZone(""); !proxies.Contains(addr) {
			return addr
		}
	}
	return addr
}
