package message

import (
	"net/netip"
	"strings"

	"basaltwall/tenant"
)

// Caller is who sends a request, as far as the connection and the request say.
type Caller struct {
	Auth      string // the Authorization header
	From      netip.Addr
	Forwarded string // the X-Forwarded-For header
}

// BearerSecret reads a caller's key.
func (c Caller) BearerSecret() (tenant.Secret, error) {
	text, ok := strings.CutPrefix(c.Auth, "Bearer ")
	if !ok {
		return tenant.Secret{}, &tenant.Error{Status: 401, Reason: "Authorization: a key is needed, as Bearer"}
	}
	return tenant.ParseSecret(strings.TrimSpace(text))
}
