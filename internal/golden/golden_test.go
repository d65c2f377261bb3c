package golden

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

type inner struct {
	A int
	B string
}

type all struct {
	Int   int
	Uint  uint16
	Float float64
	Text  string
	Flag  bool
	Bytes []byte
	Raw   json.RawMessage
	Addr  netip.Addr
	To    *inner
	List  []inner
	By    map[inner]float64
	Few   [2]int
	Self  *all
	inner
}

// renamed is a copy of all with other names.
type renamed struct {
	V1  int
	V2  uint16
	V3  float64
	V4  string
	V5  bool
	V6  []byte
	V7  json.RawMessage
	V8  netip.Addr
	V9  *renamedInner
	V10 []renamedInner
	V11 map[renamedInner]float64
	V12 [2]int
	V13 *renamed
	renamedInner
}

type renamedInner struct {
	X int
	Y string
}

// TestFilled checks that filled values have no zero fields, are deterministic and do not depend on names.
func TestFilled(t *testing.T) {
	v := Filled[all](t)
	var zero func(at string, v reflect.Value)
	zero = func(at string, v reflect.Value) {
		if v.Type() == reflect.TypeFor[all]() {
			for i := range v.NumField() {
				if f := v.Type().Field(i); f.IsExported() {
					zero(at+"."+f.Name, v.Field(i))
				}
			}
			return
		}
		switch {
		case v.IsZero() && !strings.HasSuffix(at, ".Self.Self"):
			t.Errorf("%s is zero", at)
		case v.Kind() == reflect.Pointer && !v.IsNil():
			zero(at, v.Elem())
		case v.Kind() == reflect.Slice:
			for i := range v.Len() {
				zero(at, v.Index(i))
			}
		}
	}
	zero("", reflect.ValueOf(v))
	if v.Self == nil || v.Self.Self != nil {
		t.Error("recursive type is not filled to its second level")
	}
	if again := Filled[all](t); !reflect.DeepEqual(again, v) {
		t.Errorf("%+v, then %+v", v, again)
	}
	Same(t, "with other names", Filled[renamed](t), v)
	if preset := Filled[all](t, inner{7, "own"}); *preset.To != (inner{7, "own"}) {
		t.Errorf("%+v", preset.To)
	}
}

// TestDiffer checks that each difference is found.
func TestDiffer(t *testing.T) {
	for what, change := range map[string]func(*all){
		".Int": func(v *all) { v.Int = 0 }, ".Uint": func(v *all) { v.Uint++ }, ".Float": func(v *all) { v.Float = 0 }, ".Text": func(v *all) { v.Text += "x" },
		".Flag": func(v *all) { v.Flag = false }, ".Bytes[1]": func(v *all) { v.Bytes[1]++ }, ".Raw": func(v *all) { v.Raw = nil }, ".Addr": func(v *all) { v.Addr = netip.Addr{} },
		".To.B": func(v *all) { v.To.B = "" }, ".To": func(v *all) { v.To = nil }, ".List[1].A": func(v *all) { v.List[1].A = 0 }, ".List": func(v *all) { v.List = v.List[:1] },
		".By": func(v *all) { v.By = nil }, ".By[": func(v *all) {
			for k := range v.By {
				v.By[k] = -1
			}
		}, ".Few[0]": func(v *all) { v.Few[0] = -1 }, ".Self.Text": func(v *all) { v.Self.Text = "" }, ".inner.A": func(v *all) { v.A = 1 },
	} {
		got := Filled[all](t)
		change(&got)
		if d := differ("", reflect.ValueOf(got), reflect.ValueOf(Filled[all](t))); !strings.HasPrefix(d, what) {
			t.Errorf("%s: %q", what, d)
		}
	}
}
