package scenario

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"basaltwall/control"
	"basaltwall/internal/standin"
)

// line writes an effect so that equal effects give equal lines.
func line(e control.Effect) string {
	p, ok := e.(control.PeerCall)
	if !ok {
		data, err := json.Marshal(e)
		return fmt.Sprintf("%T %s %v", e, data, err)
	}
	out := fmt.Sprintf("peer %d %s ", p.ID, p.To)
	if f := p.Message.Forward; f != nil {
		out += fmt.Sprintf("%+v", *f)
	}
	if g := p.Message.Gossip; g != nil {
		c := *g
		c.Parts = slices.Clone(g.Parts)
		for i := range c.Parts {
			lack, _ := json.Marshal(c.Parts[i].Lack)
			out += string(lack)
			c.Parts[i].Lack = nil
		}
		out += fmt.Sprintf("%+v", c)
	}
	return out
}

// The book becomes a package of its own with no change of conduct: every effect of
// every scenario is the same byte for byte as before.
func TestEffectsAreUnchanged(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	scripts := map[string][]byte{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		scripts[strings.TrimSuffix(filepath.Base(f), ".txtar")] = data
	}
	for seed := range 8 {
		scripts[fmt.Sprintf("random-%d", seed)] = fmt.Appendf(nil, randomScript, seed)
	}
	var mu sync.Mutex
	got := map[string]string{}
	t.Run("play", func(t *testing.T) {
		for name, data := range scripts {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				sum := fnv.New64a()
				count := 0
				if _, err := run(data, func(w *standin.World) {
					w.OnEffect = func(node string, e control.Effect) {
						count++
						fmt.Fprintln(sum, w.Now, node, line(e))
					}
				}); err != nil {
					t.Fatal(err)
				}
				mu.Lock()
				got[name] = fmt.Sprintf("%d %x", count, sum.Sum64())
				mu.Unlock()
			})
		}
	})
	var b strings.Builder
	names := []string{}
	for name := range got {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintln(&b, name, got[name])
	}
	want, err := os.ReadFile("testdata/effects.txt")
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		os.WriteFile("/tmp/effects.txt", []byte(b.String()), 0o600)
		t.Error("effects differ from testdata/effects.txt")
	}
}
