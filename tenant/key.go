// This file defines API keys: their records, their secrets and the verification of a secret.

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

// KeyID is the public part of a key, which identifies its record.
type KeyID string

// Key is the record of an API key. The secret is shown once, at its creation, and only its hash is
// stored. The secret consists of 256 random bits, so the hash needs neither salt nor a work factor.
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
	// KeyRandomBytes is the number of random bytes in a new key.
	KeyRandomBytes = keyIDBytes + secretBytes
)

// Secret is the confidential form of a key, which a client sends to authenticate.
type Secret struct {
	ID   KeyID
	data [secretBytes]byte
}

// String returns the text form of the secret.
func (s Secret) String() string {
	return secretPrefix + "." + string(s.ID) + "." + base64.RawURLEncoding.EncodeToString(s.data[:])
}

// Key returns the record of a key with this secret that does not expire.
func (s Secret) Key(name string) Key {
	hash := sha256.Sum256(s.data[:])
	return Key{ID: s.ID, Name: name, Hash: hash[:]}
}

// errMalformedKey returns the error for a malformed key. The error does not contain the text, which may
// be the secret of another service.
func errMalformedKey() *Error { return &Error{Status: StatusUnauthorized, Reason: "malformed API key"} }

// ParseSecret parses the credential of a request. The error does not contain the credential.
func ParseSecret(text string) (Secret, error) {
	var s Secret
	parts := strings.Split(text, ".")
	if len(parts) != secretFields || parts[0] != secretPrefix {
		return s, errMalformedKey()
	}
	id, err := hex.DecodeString(parts[1])
	if err != nil || len(id) != keyIDBytes {
		return s, errMalformedKey()
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if err != nil || len(data) != secretBytes {
		return s, errMalformedKey()
	}
	s.ID = KeyID(parts[1])
	copy(s.data[:], data)
	if s.String() != text {
		return Secret{}, errMalformedKey() // the base64 decoder ignores line breaks
	}
	return s, nil
}

// NewKey returns a key and its secret, derived from random bytes. Times are in milliseconds since 1970;
// expires is 0 for a key that does not expire.
func NewKey(random [KeyRandomBytes]byte, name string, now, expires api.WallTime) (Key, Secret, error) {
	s := Secret{ID: KeyID(hex.EncodeToString(random[:keyIDBytes]))}
	copy(s.data[:], random[keyIDBytes:])
	k := s.Key(name)
	k.Created, k.Expires = now, expires
	if expires != 0 && expires <= now {
		return k, s, invalid("expires", "must be in the future")
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
		return invalid("keys", "%q has an invalid id or hash", k.Name)
	}
	return nil
}

// Verify reports whether the secret matches the key and the key has not expired. clockError is the
// maximum error of the clock: an expired key is always refused, and a key may be refused up to twice the
// clock error before its expiry.
func (k *Key) Verify(s Secret, now api.WallTime, clockError time.Duration) bool {
	hash := sha256.Sum256(s.data[:])
	hashMatches := subtle.ConstantTimeCompare(hash[:], k.Hash) == 1
	return hashMatches && k.ID == s.ID && (k.Expires == 0 || now+api.WallTime(clockError.Milliseconds()) < k.Expires)
}
