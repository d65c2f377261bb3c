// API keys: their records, their secrets and the check of one against the other.

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

// KeyID is the public part of a key, by which it is looked up.
type KeyID string

// Key is the record of an API key: its secret is shown once and stored as a hash. The secret is
// 256 random bits, so the hash needs neither salt nor a work factor.
type Key struct {
	ID      KeyID        `json:"id"`
	Name    string       `json:"name"`
	Hash    []byte       `json:"hash"`
	Created api.WallTime `json:"created"`           // in milliseconds since 1970
	Expires api.WallTime `json:"expires,omitempty"` // in milliseconds since 1970; 0: never
}

const (
	secretPrefix = "bw1" // identifies a leaked key as one of this service
	secretFields = 3     // prefix, id and random data, separated by dots
	keyIDBytes   = 8
	secretBytes  = 32
	// RandomBytes is how many random bytes a new key needs.
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

// Key is the record of a key with this secret that never expires.
func (s Secret) Key(name string) Key {
	hash := sha256.Sum256(s.data[:])
	return Key{ID: s.ID, Name: name, Hash: hash[:]}
}

// errNotAKey is the error of a text that is not a secret. It says nothing of the text, which may
// be a secret of something else.
func errNotAKey() *Error { return &Error{Status: StatusUnauthorized, Reason: "not a key"} }

// ParseSecret parses the credential of a request. The error says nothing of its text.
func ParseSecret(text string) (Secret, error) {
	var s Secret
	parts := strings.Split(text, ".")
	if len(parts) != secretFields || parts[0] != secretPrefix {
		return s, errNotAKey()
	}
	id, err := hex.DecodeString(parts[1])
	if err != nil || len(id) != keyIDBytes {
		return s, errNotAKey()
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if err != nil || len(data) != secretBytes {
		return s, errNotAKey()
	}
	s.ID = KeyID(parts[1])
	copy(s.data[:], data)
	if s.String() != text {
		return Secret{}, errNotAKey() // the decoder skips line ends
	}
	return s, nil
}

// NewKey makes a key of random bytes, with its secret. The times are in milliseconds since 1970; expires
// is 0 for a key that never does.
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

// check validates the record.
func (k *Key) check() *Error {
	if err := CheckName("keys.name", k.Name); err != nil {
		return err
	}
	if id, err := hex.DecodeString(string(k.ID)); err != nil || len(id) != keyIDBytes || len(k.Hash) != sha256.Size {
		return invalid("keys", "%q is damaged", k.Name)
	}
	return nil
}

// Verify reports whether a secret is the key's and the key has not expired. The clock may be off by
// clockError: a key that has expired by true time is refused everywhere, so it may be refused by up to
// twice the error too soon.
func (k *Key) Verify(s Secret, now api.WallTime, clockError time.Duration) bool {
	hash := sha256.Sum256(s.data[:])
	hashMatches := subtle.ConstantTimeCompare(hash[:], k.Hash) == 1
	return hashMatches && k.ID == s.ID && (k.Expires == 0 || now+api.WallTime(clockError.Milliseconds()) < k.Expires)
}
