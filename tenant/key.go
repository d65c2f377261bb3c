package tenant

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"

	"basaltwall/api"
)

// KeyID is a key's public part, by which it is found.
type KeyID string

// Key is what is kept of a key: its secret is shown once and kept as a hash. The secret is
// 256 bits of random, so that the hash needs neither salt nor cost.
type Key struct {
	ID      KeyID        `json:"id"`
	Name    string       `json:"name"`
	Hash    []byte       `json:"hash"`
	Created api.WallTime `json:"created"`           // in milliseconds since 1970
	Expires api.WallTime `json:"expires,omitempty"` // the same; 0: never
}

const (
	secretPrefix = "bw1" // tells a key of ours where one is found in the wrong place
	keyIDBytes   = 8
	secretBytes  = 32
	// RandomBytes is how many bytes of random a new key takes.
	RandomBytes = keyIDBytes + secretBytes
)

// Secret is a key as its holder has it.
type Secret struct {
	ID   KeyID
	data [secretBytes]byte
}

// String is the secret as it is shown, once.
func (s Secret) String() string {
	return secretPrefix + "." + string(s.ID) + "." + base64.RawURLEncoding.EncodeToString(s.data[:])
}

// Key is the record of a key that opens with the secret and never expires.
func (s Secret) Key(name string) Key {
	hash := sha256.Sum256(s.data[:])
	return Key{ID: s.ID, Name: name, Hash: hash[:]}
}

// ParseSecret reads what a request brings. An error says nothing of what was brought.
func ParseSecret(text string) (Secret, error) {
	var s Secret
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] != secretPrefix {
		return s, &Error{Status: 401, Reason: "not a key"}
	}
	id, err := hex.DecodeString(parts[1])
	if err != nil || len(id) != keyIDBytes {
		return s, &Error{Status: 401, Reason: "not a key"}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if err != nil || len(data) != secretBytes {
		return s, &Error{Status: 401, Reason: "not a key"}
	}
	s.ID = KeyID(parts[1])
	copy(s.data[:], data)
	if s.String() != text {
		return Secret{}, &Error{Status: 401, Reason: "not a key"} // the decoder skips line ends
	}
	return s, nil
}

// NewKey makes a key of random bytes.
func NewKey(random [RandomBytes]byte, name string, now, expires api.WallTime) (Key, Secret, error) {
	s := Secret{ID: KeyID(hex.EncodeToString(random[:keyIDBytes]))}
	copy(s.data[:], random[keyIDBytes:])
	k := s.Key(name)
	k.Created, k.Expires = now, expires
	if expires != 0 && expires <= now {
		return k, s, invalid("expires", "is past")
	}
	if err := k.check(); err != nil {
		return k, s, err
	}
	return k, s, nil
}

func (k *Key) check() *Error {
	if err := CheckName("keys.name", k.Name); err != nil {
		return err
	}
	if id, err := hex.DecodeString(string(k.ID)); err != nil || len(id) != keyIDBytes || len(k.Hash) != sha256.Size {
		return invalid("keys", "%q is damaged", k.Name)
	}
	return nil
}

// Verify reports whether a secret is the key's and the key is not expired. The clock may be
// off by an error: a key that has expired by true time opens nothing anywhere, so it
// may be refused by up to twice the error too soon.
func (k *Key) Verify(s Secret, now api.WallTime, clockError time.Duration) bool {
	hash := sha256.Sum256(s.data[:])
	hashMatches := subtle.ConstantTimeCompare(hash[:], k.Hash) == 1
	return hashMatches && k.ID == s.ID && (k.Expires == 0 || now+api.WallTime(clockError.Milliseconds()) < k.Expires)
}
