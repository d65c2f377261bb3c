package tenant

import (
	"encoding/json"
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

// Contains and Allows agree with a linear scan of the networks, also after encoding and decoding.
func TestNetworksAgainstLinearScan(t *testing.T) {
	addr := rapid.Custom(func(t *rapid.T) netip.Addr {
		if rapid.Bool().Draw(t, "ipv6") {
			var a [16]byte
			copy(a[:], rapid.SliceOfN(rapid.ByteRange(0, 3), 16, 16).Draw(t, "bytes"))
			a[0] = 0x20
			return netip.AddrFrom16(a)
		}
		var a [4]byte
		copy(a[:], rapid.SliceOfN(rapid.ByteRange(0, 3), 4, 4).Draw(t, "bytes"))
		return netip.AddrFrom4(a)
	})
	rapid.Check(t, func(t *rapid.T) {
		var list []netip.Prefix
		for range rapid.IntRange(0, 40).Draw(t, "networks") {
			a := addr.Draw(t, "network")
			p, err := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, p)
		}
		n, err := NewNetworks(list)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Networks
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			a := addr.Draw(t, "address")
			want := false
			for _, p := range list {
				want = want || p.Contains(a)
			}
			mapped := netip.AddrFrom16(a.As16())
			if n.Contains(a) != want || decoded.Contains(a) != want || a.Is4() && n.Contains(mapped) != want {
				t.Errorf("%v is in %v: %v, expected %v", a, list, n.Contains(a), want)
			}
			if n.Allows(a) != (want || len(list) == 0) {
				t.Errorf("%v is allowed: %v", a, n.Allows(a))
			}
		}
	})
}

func TestIPv4MappedNetworks(t *testing.T) {
	n, err := ParseNetworks([]string{"::ffff:10.0.0.0/104"})
	if err != nil || !n.Contains(netip.MustParseAddr("10.1.2.3")) || n.Contains(netip.MustParseAddr("11.1.2.3")) {
		t.Errorf("%v: %v", n.Prefixes(), err)
	}
}

func TestNetworksRefused(t *testing.T) {
	for _, s := range []string{"", "10.0.0.1/8", "10.0.0.0/33", "300.1.1.1", "fe80::1%eth0/64", "::ffff:0:0/90", "10.0.0.0 /8", "localhost"} {
		var e *Error
		if _, err := ParseNetworks([]string{"192.0.2.0/24", s}); !errors.As(err, &e) || e.Field != "networks" {
			t.Errorf("%q: %v", s, err)
		}
	}
	if _, err := NewNetworks(make([]netip.Prefix, maxNetworks+1)); err == nil {
		t.Error("more networks than allowed are accepted")
	}
}

func TestClientAddr(t *testing.T) {
	proxies, err := ParseNetworks([]string{"10.0.0.0/8", "2001:db8::/32"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ conn, forwarded, want string }{
		{"192.0.2.1", "", "192.0.2.1"},
		{"192.0.2.1", "198.51.100.7", "192.0.2.1"}, // the connection is not from a proxy: the header is ignored
		{"10.0.0.1", "", "10.0.0.1"},
		{"10.0.0.1", "198.51.100.7", "198.51.100.7"},
		{"::ffff:10.0.0.1", "198.51.100.7", "198.51.100.7"},
		{"10.0.0.1", "203.0.113.9, 198.51.100.7", "198.51.100.7"}, // the client may have set the first address
		{"10.0.0.1", "203.0.113.9, 10.0.0.2", "203.0.113.9"},
		{"10.0.0.1", "203.0.113.9, 2001:db8::5 ,10.0.0.2", "203.0.113.9"},
		{"10.0.0.1", "unknown, 10.0.0.2", "10.0.0.2"},
		{"10.0.0.1", "203.0.113.9:443", "10.0.0.1"},
	} {
		if got := ClientAddr(netip.MustParseAddr(c.conn), c.forwarded, proxies); got != netip.MustParseAddr(c.want) {
			t.Errorf("client of %q behind %s: %v, expected %s", c.forwarded, c.conn, got, c.want)
		}
	}
}
