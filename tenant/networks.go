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

// Networks is a list of IP networks with a table to look addresses up in. The zero value
// holds none.
type Networks struct {
	list  []netip.Prefix
	table *bart.Lite
}

// NewNetworks makes a list, in order and each once. Addresses of IPv4 in the form of IPv6
// are those of IPv4. A network that has bits set beyond its length is refused: more
// likely than not it is another than was meant.
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
			if p.Bits() < 96 {
				return Networks{}, invalid("networks", "%v holds more than IPv4", p)
			}
			p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
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

// ParseNetworks reads a list in text form, as 10.0.0.0/8, 2001:db8::/32 or an address.
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

// Len is how many networks the list holds.
func (n Networks) Len() int { return len(n.list) }

// IsZero reports whether the list holds none.
func (n Networks) IsZero() bool { return len(n.list) == 0 }

// Prefixes are the networks, in order.
func (n Networks) Prefixes() []netip.Prefix { return slices.Clone(n.list) }

// Contains reports whether an address lies in one of the networks.
func (n Networks) Contains(a netip.Addr) bool {
	return n.table != nil && a.IsValid() && n.table.Contains(a.Unmap().WithZone(""))
}

// Allows reports whether an address may come: where there are no networks, any may.
func (n Networks) Allows(a netip.Addr) bool { return n.IsZero() || n.Contains(a) }

// MarshalJSON writes the networks as a list of texts, an empty one for none.
func (n Networks) MarshalJSON() ([]byte, error) {
	return json.Marshal(append([]netip.Prefix{}, n.list...))
}

// UnmarshalJSON reads the networks from texts.
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

// ClientAddr is the address that a request comes from. What a proxy says in X-Forwarded-For is
// believed only if the connection comes from a proxy, and from its end on only as long as
// each one named is a proxy too: the first that is none is the origin.
func ClientAddr(conn netip.Addr, forwarded string, proxies Networks) netip.Addr {
	addr := conn.Unmap()
	if !proxies.Contains(addr) || forwarded == "" {
		return addr
	}
	hops := strings.Split(forwarded, ",")
	for _, hop := range slices.Backward(hops) {
		a, err := netip.ParseAddr(strings.TrimSpace(hop))
		if err != nil {
			return addr // what can't be read is no proxy's word
		}
		if addr = a.Unmap().WithZone(""); !proxies.Contains(addr) {
			return addr
		}
	}
	return addr
}
