package state

import (
	"net/url"
	"strings"
	"testing"

	"basaltwall/controller/message"
)

// hostileValues are values that must not become parameters of their own or end the request line.
var hostileValues = []string{
	"", "0", "0%26under%3Dhistory", "0&under=history", "a=b", "%", "%25", "%2526", "#x", "+", "?", "a b", "\r\nHost: x", ";", "à", strings.Repeat("&x=", 60),
}

// checkPageQuery checks that the state service reads exactly the parameters that are meant.
func checkPageQuery(t *testing.T, prefix, after string) {
	t.Helper()
	_, target, _, err := Request(message.StoreCall{Page: &message.PageRequest{Prefix: prefix, After: after, Limit: 7}})
	if err != nil {
		t.Fatal(err)
	}
	_, query, _ := strings.Cut(target, "?")
	if strings.ContainsAny(target, " \r\n#") {
		t.Errorf("prefix %q, after %q: request line %q", prefix, after, target)
	}
	got, err := url.ParseQuery(query)
	want := url.Values{"under": {prefix}, "limit": {"7"}}
	if prefix == "" {
		want.Set("under", watchedPrefix)
	}
	if after != "" {
		want.Set("since", after)
	}
	if err != nil || got.Encode() != want.Encode() {
		t.Errorf("prefix %q, after %q: the service reads %v, %v", prefix, after, got, err)
	}
}

// A cursor with an escaped "&" added a parameter of its own, and a tenant read other tenants' history (review/3).
func TestQueryValuesAreEscaped(t *testing.T) {
	for _, prefix := range hostileValues {
		for _, after := range hostileValues {
			checkPageQuery(t, prefix, after)
		}
	}
	_, target, _, _ := Request(message.StoreCall{Page: &message.PageRequest{Prefix: "b/job/", Limit: 7}})
	if !strings.Contains(target, "under=b/job/") {
		t.Errorf("the slashes of a key are escaped: %s", target)
	}
}

func FuzzQueryValues(f *testing.F) {
	for _, value := range hostileValues {
		f.Add("history/a/", value)
	}
	f.Fuzz(checkPageQuery)
}
