package exactjson

import (
	"strings"
	"testing"
)

type example struct {
	Known int `json:"known"`
}

// Guards against refusing a message for an unknown field that is nested deeply.
func TestDeeplyNestedUnknownField(t *testing.T) {
	for _, open := range []string{"[", `{"a":`, `{"known":[`} {
		closing := map[byte]string{'[': "]", '{': "}"}
		var end string
		for _, c := range open {
			if c == '[' || c == '{' {
				end = closing[byte(c)] + end
			}
		}
		const repetitions = 20_000
		nested := strings.Repeat(open, repetitions) + "1" + strings.Repeat(end, repetitions)
		var got example
		if err := Decode([]byte(`{"x":`+nested+`,"y":[`+nested+`],"known":7}`), &got); err != nil {
			t.Errorf("%s: %v", open, err)
		}
		if got.Known != 7 {
			t.Errorf("%s: known is %d, expected 7", open, got.Known)
		}
	}
}

func TestSyntaxErrors(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, text := range []string{"", "{", "{}x", `{"known":1}}`, "\ufeff{}", `{"x":` + nested, `{"x":` + nested + `}{}`, `{"x":` + nested[1:] + `}`} {
		var got example
		if err := Decode([]byte(text), &got); err == nil {
			t.Errorf("%.20q is accepted", text)
		}
	}
}

func TestStrict(t *testing.T) {
	for text, want := range map[string]string{
		`{"known":1}`:             "",
		`{"KNOWN":1}`:             `json: unknown field "KNOWN"`,
		`{"known":1,"other":2}`:   `json: unknown field "other"`,
		`{"other":2,"known":"x"}`: "json: cannot unmarshal string into Go struct field example.known of type int",
	} {
		var got example
		err := DecodeStrict([]byte(text), &got)
		if err == nil && want != "" || err != nil && err.Error() != want {
			t.Errorf("%s: %v, expected %q", text, err, want)
		}
	}
}

// The last occurrence of a name counts, as in earlier versions: a repeated submission must be accepted by every
// version or by none.
func TestLastOccurrenceOfANameCounts(t *testing.T) {
	var got example
	if err := Decode([]byte(`{"known":1,"known":2}`), &got); err != nil || got.Known != 2 {
		t.Errorf("decoded %d, %v, expected 2", got.Known, err)
	}
}
