// Package golden is for tests of what a version reads that another has written: it keeps bytes
// as they were written in a file, fills values so that no field of them is zero, and compares
// values field by field.
//
// A section stays as it was written, for versions that wrote it run beside this one during an
// upgrade, and what they stored is read after it. A type that gets a field gets a section more;
// the one it had is then compared with a value that has not the field. Only for what no other
// version reads, as answers that are shown to people, a section may be replaced, by removing it
// and adding it again.
package golden

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// Variable is the environment variable that, set to add, has tests add to the file what it
// lacks. What is there is never overwritten: other versions have written it and read it.
const Variable = "BASALTWALL_GOLDEN"

// File is what earlier versions wrote, in sections with names.
type File struct {
	t       testing.TB
	path    string
	archive *txtar.Archive
	asked   map[string]bool
	added   bool
}

// Open reads the file of a test. At its end each section must have been asked for.
func Open(t testing.TB) *File {
	t.Helper()
	path := filepath.Join("testdata", "golden", t.Name()+".txtar")
	f := &File{t: t, path: path, archive: &txtar.Archive{Comment: []byte("What a version wrote that others must read. It is added to, not changed.\n")}, asked: map[string]bool{}}
	data, err := os.ReadFile(path)
	switch {
	case err == nil:
		f.archive = txtar.Parse(data)
	case !errors.Is(err, fs.ErrNotExist):
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return f
}

func (f *File) close() {
	for _, s := range f.archive.Files {
		if !f.asked[s.Name] {
			f.t.Errorf("nothing reads section %q of %s", s.Name, f.path)
		}
	}
	if !f.added {
		return
	}
	err := os.MkdirAll(filepath.Dir(f.path), 0o755)
	if err == nil {
		err = os.WriteFile(f.path, txtar.Format(f.archive), 0o644)
	}
	if err != nil {
		f.t.Error(err)
	}
}

// Section is what a section holds, without the end of its last line; where the file lacks it, it
// is what is written today.
func (f *File) Section(name, today string) string {
	f.t.Helper()
	if f.asked[name] {
		f.t.Fatalf("section %q is asked for twice", name)
	}
	f.asked[name] = true
	for _, s := range f.archive.Files {
		if s.Name == name {
			return strings.TrimSuffix(string(s.Data), "\n")
		}
	}
	if os.Getenv(Variable) != "add" {
		f.t.Fatalf("%s has no section %q; %s=add adds it", f.path, name, Variable)
	}
	f.added = true
	f.archive.Files = append(f.archive.Files, txtar.File{Name: name, Data: []byte(today + "\n")})
	return today
}

// Text requires that today's text is the section's.
func (f *File) Text(name, today string) {
	f.t.Helper()
	if golden := f.Section(name, today); golden != today {
		f.t.Errorf("%s: today it is\n%s\nand was\n%s", name, today, golden)
	}
}

// JSON requires that today's writing of a value is the section, and that the section is read as
// the value. It returns the section.
func JSON[T any](f *File, name string, want T) []byte {
	f.t.Helper()
	today, err := json.Marshal(want)
	if err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
	golden := f.Section(name, string(today))
	if golden != string(today) {
		f.t.Errorf("%s: it is written today as\n%s\nand was as\n%s", name, today, golden)
	}
	var got T
	if err := json.Unmarshal([]byte(golden), &got); err != nil {
		f.t.Errorf("%s: %v", name, err)
	}
	Same(f.t, name, got, want)
	return []byte(golden)
}

// Gob requires that the section, which encoding/gob wrote, is read as a value, and that the
// type Old, a copy of the value's type as it was, reads the same from the section and from
// today's writing, and is read as the same. It returns the section. The bytes themselves are not
// compared, as maps have no order in them.
func Gob[T, Old any](f *File, name string, want T) []byte {
	f.t.Helper()
	today := encode(f.t, name, want)
	golden, err := base64.StdEncoding.DecodeString(f.Section(name, base64.StdEncoding.EncodeToString(today)))
	if err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
	var old, written Old
	var got, back T
	decode(f.t, name+", as it was", golden, &got)
	Same(f.t, name+", as it was", got, want)
	decode(f.t, name+", as it was, by the type that was", golden, &old)
	Same(f.t, name+", as it was, by the type that was", old, want)
	decode(f.t, name+", as it is, by the type that was", today, &written)
	Same(f.t, name+", as it is, by the type that was", written, want)
	decode(f.t, name+", written by the type that was", encode(f.t, name, old), &back)
	Same(f.t, name+", written by the type that was", back, want)
	return golden
}

func encode(t testing.TB, name string, v any) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return b.Bytes()
}

func decode(t testing.TB, name string, data []byte, to any) {
	t.Helper()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(to); err != nil {
		t.Errorf("%s: %v", name, err)
	}
}

// Filled is a value of which no exported field is zero, and numbers and texts differ from each
// other. They are the same each time and do not depend on the names of types and fields. Where a
// field is of the type of one of the values in own, that is what it gets.
func Filled[T any](t testing.TB, own ...any) T {
	t.Helper()
	f := filler{t: t, own: map[reflect.Type]reflect.Value{}, within: map[reflect.Type]int{}}
	for _, v := range own {
		f.own[reflect.TypeOf(v)] = reflect.ValueOf(v)
	}
	var v T
	f.fill(reflect.ValueOf(&v).Elem())
	return v
}

type filler struct {
	t      testing.TB
	own    map[reflect.Type]reflect.Value
	last   int
	within map[reflect.Type]int // structs that are being filled
}

// fill reports whether it filled the value: of a type that holds itself only two levels are.
func (f *filler) fill(v reflect.Value) bool {
	if own, ok := f.own[v.Type()]; ok {
		v.Set(own)
		return true
	}
	f.last++
	switch v.Interface().(type) {
	case netip.Addr:
		v.Set(reflect.ValueOf(netip.AddrFrom4([4]byte{10, 0, byte(f.last >> 8), byte(f.last)})))
		return true
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, f.last))
		return true
	}
	switch v.Kind() {
	case reflect.Pointer:
		to := reflect.New(v.Type().Elem())
		if !f.fill(to.Elem()) {
			return false
		}
		v.Set(to)
		return true
	case reflect.Slice:
		return f.fillSlice(v)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
		return true
	case reflect.Map:
		return f.fillMap(v)
	case reflect.Struct:
		return f.fillStruct(v)
	default:
		f.fillScalar(v)
		return true
	}
}

func (f *filler) fillScalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.last))
	case reflect.Uint8:
		v.SetUint(uint64(f.last%255 + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.last))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.last) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("v%d", f.last))
	default:
		f.t.Fatalf("a value of type %v can't be filled: give one", v.Type())
	}
}

func (f *filler) fillSlice(v reflect.Value) bool {
	list := reflect.MakeSlice(v.Type(), 2, 2)
	for i := range 2 {
		if !f.fill(list.Index(i)) {
			return false
		}
	}
	v.Set(list)
	return true
}

func (f *filler) fillMap(v reflect.Value) bool {
	m := reflect.MakeMap(v.Type())
	for range 2 {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		if !f.fill(key) || !f.fill(value) {
			return false
		}
		m.SetMapIndex(key, value)
	}
	v.Set(m)
	return true
}

func (f *filler) fillStruct(v reflect.Value) bool {
	if f.within[v.Type()] == 2 {
		return false
	}
	f.within[v.Type()]++
	defer func() { f.within[v.Type()]-- }()
	exported := 0
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			exported++
			f.fill(v.Field(i))
		}
	}
	if exported == 0 {
		f.t.Fatalf("a value of type %v can't be filled: give one", v.Type())
	}
	return true
}

// Same requires that two values are the same field by field. Structs of different types are
// compared by the order of their fields, whatever their names, without those that are not
// exported.
func Same(t testing.TB, what string, got, want any) {
	t.Helper()
	if d := differ("", reflect.ValueOf(got), reflect.ValueOf(want)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// differ says where two values differ, or nothing.
func differ(at string, a, b reflect.Value) string {
	if a.IsValid() != b.IsValid() {
		return mismatch(at, a, b)
	}
	if !a.IsValid() {
		return ""
	}
	if a.Kind() != b.Kind() {
		return mismatch(at, a.Type(), b.Type())
	}
	switch a.Kind() {
	case reflect.Interface, reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			if a.IsNil() != b.IsNil() {
				return mismatch(at, a, b)
			}
			return ""
		}
		if a.Kind() == reflect.Pointer && a.Pointer() == b.Pointer() {
			return ""
		}
		return differ(at, a.Elem(), b.Elem())
	case reflect.Slice, reflect.Array:
		return differInList(at, a, b)
	case reflect.Map:
		return differInMap(at, a, b)
	case reflect.Struct:
		return differInStruct(at, a, b)
	default:
		if !a.Equal(b.Convert(a.Type())) {
			return mismatch(at, a, b)
		}
		return ""
	}
}

func mismatch(at string, got, want any) string {
	return fmt.Sprintf("%s is %v, expected %v", at, got, want)
}

func differInList(at string, a, b reflect.Value) string {
	if a.Kind() == reflect.Slice && a.IsNil() != b.IsNil() || a.Len() != b.Len() {
		return mismatch(at, a, b)
	}
	for i := range a.Len() {
		if d := differ(fmt.Sprintf("%s[%d]", at, i), a.Index(i), b.Index(i)); d != "" {
			return d
		}
	}
	return ""
}

func differInMap(at string, a, b reflect.Value) string {
	if a.IsNil() != b.IsNil() || a.Len() != b.Len() {
		return mismatch(at, a, b)
	}
	for _, key := range b.MapKeys() {
		in := at + fmt.Sprintf("[%v]", key)
		value, ok := lookUp(a, key)
		if !ok {
			return in + " is missing"
		}
		if d := differ(in, value, b.MapIndex(key)); d != "" {
			return d
		}
	}
	return ""
}

func differInStruct(at string, a, b reflect.Value) string {
	if a.NumField() != b.NumField() {
		return fmt.Sprintf("%s has %d fields, expected %d", at, a.NumField(), b.NumField())
	}
	for i := range a.NumField() {
		if a.Type() != b.Type() && !b.Type().Field(i).IsExported() {
			continue
		}
		if d := differ(at+"."+b.Type().Field(i).Name, a.Field(i), b.Field(i)); d != "" {
			return d
		}
	}
	return ""
}

// lookUp finds what a map holds under a key of another map, whose type may have another name.
func lookUp(m, key reflect.Value) (reflect.Value, bool) {
	for _, k := range m.MapKeys() {
		if differ("", k, key) == "" {
			return m.MapIndex(k), true
		}
	}
	return reflect.Value{}, false
}
