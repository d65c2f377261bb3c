package exactjson_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"unicode"

	"basaltwall/api"
	"basaltwall/cloud"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/httpx"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/golden"
	"basaltwall/peer"
	"basaltwall/pool"
	"basaltwall/priority"
	"basaltwall/skipledger"
	"basaltwall/state"
	"basaltwall/tenant"
	"basaltwall/worker"
	"basaltwall/zonehealth"
)

// receivedMessage is a kind of message or stored record, with the code that decodes it.
type receivedMessage struct {
	name   string
	data   []byte
	decode func([]byte) (any, error)
	// opaque names the fields whose objects contain no fields of the message: maps, and values that are
	// passed on as they are.
	opaque []string
}

// record returns a stored record.
func record[T any](t testing.TB, name string, value T, opaque ...string) receivedMessage {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	decode := func(data []byte) (any, error) {
		var v T
		err := exactjson.Decode(data, &v)
		return v, err
	}
	return receivedMessage{name, data, decode, opaque}
}

// filled returns a stored record without empty fields.
func filled[T any](t testing.TB, name string, opaque ...string) receivedMessage {
	t.Helper()
	networks, err := tenant.ParseNetworks([]string{"10.0.0.0/8"})
	if err != nil {
		t.Fatal(err)
	}
	return record(t, name, golden.Filled[T](t, networks), opaque...)
}

// storeResponse returns a response of the key-value store with status 200.
func storeResponse[T any](t testing.TB, name string, call message.StoreCall) receivedMessage {
	t.Helper()
	m := filled[T](t, "response of the key-value store: "+name, "data")
	m.decode = func(data []byte) (any, error) {
		response := state.ParseResponse(call, httpx.Response{Status: api.StatusOK, Body: data}, nil)
		return response, requireStatus(response.Status)
	}
	return m
}

// cloudResponse returns a response of the cloud.
func cloudResponse(name, data string, status int, call message.CloudCall) receivedMessage {
	decode := func(data []byte) (any, error) {
		response := cloud.ParseResponse(call, httpx.Response{Status: status, Body: data}, nil)
		return response, requireStatus(response.Status)
	}
	return receivedMessage{"response of the cloud: " + name, []byte(data), decode, nil}
}

// requireStatus returns an error for the status of a malformed response.
func requireStatus(status int) error {
	if status == 0 {
		return fmt.Errorf("response is malformed")
	}
	return nil
}

// outsideMessages returns the messages of users, workers, the cloud, the key-value store and other controllers,
// and the settings file.
func outsideMessages(t testing.TB) []receivedMessage {
	t.Helper()
	const submission = `{"ref":"run-7","mestiere":"render","bottega":"red","forma":"ensemble","urgenza":"critical","pezzi":3,"cores":1.5,"gpus":2,` +
		`"ram_gb":4.25,"stampo":"img/x","image_gb":5.5,"banchi":["c8","g8"],"cortile":"b","together":true,"scatter":true,"avanzi":true,` +
		`"stima_s":6.5,"tappa_s":7.5,"salvo_s":8.5,"consegna_s":9.5,"gettoni":[{"nome":"routing","a_pezzo":10,"a_lavoro":11}]}`
	const settings = `{"label":"stone-1","domain":"a","api_addr":"127.0.0.1:1","peer_listen":"127.0.0.1:2",` +
		`"peers":[{"label":"stone-2","domain":"b","peer_addr":"127.0.0.1:3"}],"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},` +
		`"deployment":{"initial_size":2,"zones":["a","b"],"teams":[{"name":"red","cpus":4,"gpus":1,"cpus_max":8,"gpus_max":2}],` +
		`"objectives":[{"kind":"wait","class":"render","within_s":4,"share":0.5,"times":2}],` +
		`"workers":{"report_s":3,"lease_s":40,"gang_wait_s":60,"gang_peer_s":4,"cancel_s":60},` +
		`"state":{"rps":500,"write_rps":200,"value_kb":16,"txn_ops":32},"cloud":{"rps":10,"list_lag_s":2},` +
		`"limits":{"cpu_share":1,"memory_mb":512,"fd_limit":1024},"clock_error_ms":250}}`
	heartbeat := filled[api.Heartbeat](t, "heartbeat")
	heartbeat.decode = func(data []byte) (any, error) { return worker.ParseHeartbeat(data) }
	skips := filled[message.AdminRequest](t, "forwarded request", "Caller")
	skips.decode = func(data []byte) (any, error) {
		command := peer.Command(message.PeerMessage{Forward: &message.Forward{Kind: message.ForwardSkips, Body: data}}, 1, nil)
		if command == nil {
			return nil, fmt.Errorf("request is malformed")
		}
		return command, nil
	}
	return []receivedMessage{
		{"submission", []byte(submission), func(data []byte) (any, error) { return api.ParseJob(data) }, nil},
		{"settings", []byte(settings), func(data []byte) (any, error) { return config.Parse(data) }, nil},
		heartbeat, skips,
		storeResponse[api.KeyValue](t, "value", message.StoreCall{Get: "b/x"}),
		storeResponse[api.KeyPage](t, "page", message.StoreCall{Page: &message.PageRequest{}}),
		storeResponse[api.TxnResponse](t, "transaction", message.StoreCall{Txn: &api.Txn{}}),
		storeResponse[api.LeaseResponse](t, "lease", message.StoreCall{GrantLease: 1}),
		storeResponse[api.Changes](t, "changes", message.StoreCall{Changes: &message.ChangesRequest{}}),
		cloudResponse("machine types", `{"banchi":[{"name":"g8","cores":96,"gpus":8,"ram_gb":768,"cache_gb":200,"fetch_gb_per_s":1.0,`+
			`"price":12.0,"spot_price":4.5,"ready_s":45,"cortili":["a","b"]}]}`, api.StatusOK, message.CloudCall{Types: true}),
		cloudResponse("list", `{"torni":[{"ref":"i-000231","address":"10.1.0.232:9000","banco":"g8","cortile":"a","avanzi":true,`+
			`"stato":"running","age_s":61.5}],"more":true}`, api.StatusOK, message.CloudCall{List: &message.ListRequest{}}),
		cloudResponse("machines", `{"torni":["i-000231"]}`, api.StatusOK, message.CloudCall{Create: &api.ScaleOutRequest{}}),
		cloudResponse("no capacity", `{"error":"no capacity"}`, api.StatusServiceUnavailable, message.CloudCall{Create: &api.ScaleOutRequest{}}),
	}
}

// storedRecords returns the values of keys in the key-value store.
func storedRecords(t testing.TB) []receivedMessage {
	t.Helper()
	packed := clusterstate.RoundRecord{Seq: 3, Jobs: []clusterstate.JobDelta{{Job: "run-7", Completed: []int{1},
		Starts: clusterstate.TaskStarts{{Task: 4, Machine: "i-1", Epoch: 2}, {Task: 5, Machine: "i-1", Epoch: 2}}}}}
	starts, err := packed.Jobs[0].Starts.Pack()
	if err != nil {
		t.Fatal(err)
	}
	packed.SetPacked("run-7", starts)
	data, err := packed.Encode()
	if err != nil {
		t.Fatal(err)
	}
	packedRound := filled[clusterstate.RoundRecord](t, "round with packed starts")
	packedRound.data = data
	return []receivedMessage{
		filled[clusterstate.JobValue](t, "job"),
		filled[clusterstate.MemberValue](t, "member"),
		filled[clusterstate.PartitionValue](t, "partition"),
		filled[clusterstate.CheckpointHeadValue](t, "checkpoint head"),
		filled[clusterstate.LoanValue](t, "loan"),
		filled[clusterstate.RoundRecord](t, "round"),
		packedRound,
		filled[api.MachineTypes](t, "recorded machine types"),
		filled[core.Settings](t, "operators' settings"),
		filled[priority.Shortage](t, "shortage"),
		filled[zonehealth.Record](t, "zone"),
		filled[pool.Pool](t, "pool", "guaranteed"),
		filled[tenant.Tenant](t, "tenant"),
		filled[tenant.Operators](t, "operators"),
		filled[tenant.Team](t, "team"),
		filled[tenant.GuaranteedTotal](t, "guaranteed total"),
		filled[tenancy.FinishedJob](t, "finished job"),
		filled[tenancy.AuditEntry](t, "audit entry", "before", "after"),
		filled[skipledger.Block](t, "block of skips"),
		filled[skipledger.Record](t, "record of skips"),
	}
}

// fieldSource returns the fields, as JSON text, to add to an object with the given names.
type fieldSource func(names []string) []string

// addFields adds fields behind the fields of every object in data that is not opaque.
func addFields(t testing.TB, m receivedMessage, fields fieldSource) []byte {
	t.Helper()
	type object struct {
		names  []string
		array  bool
		opaque bool
		isName bool // the next token is a name
	}
	var out []byte
	var open []object
	copied := int64(0)
	tokens := json.NewDecoder(strings.NewReader(string(m.data)))
	tokens.UseNumber()
	for tokens.More() || len(open) > 0 {
		token, err := tokens.Token()
		if err != nil {
			t.Fatal(err)
		}
		top := len(open) - 1
		switch token {
		case json.Delim('{'), json.Delim('['):
			next := object{array: token == json.Delim('['), isName: true}
			if top >= 0 {
				next.opaque = open[top].opaque || len(open[top].names) > 0 && slices.Contains(m.opaque, open[top].names[len(open[top].names)-1])
				open[top].isName = true
			}
			open = append(open, next)
			continue
		case json.Delim('}'), json.Delim(']'):
			if !open[top].array && !open[top].opaque {
				end := tokens.InputOffset() - 1
				out = append(out, m.data[copied:end]...)
				copied = end
				for i, field := range fields(open[top].names) {
					if i > 0 || len(open[top].names) > 0 {
						out = append(out, ',')
					}
					out = append(out, field...)
				}
			}
			open = open[:top]
			continue
		}
		if top >= 0 && !open[top].array {
			if open[top].isName {
				open[top].names = append(open[top].names, token.(string))
			}
			open[top].isName = !open[top].isName
		}
	}
	return append(out, m.data[copied:]...)
}

// otherSpellings returns names that differ from a known name, but that a decoder may take for it.
func otherSpellings(name string) []string {
	folds := strings.NewReplacer("s", "ſ", "k", "\u212a", "S", "ſ", "K", "\u212a")
	title := string(unicode.ToUpper(rune(name[0]))) + name[1:]
	spellings := []string{strings.ToUpper(name), strings.ToLower(name), title, folds.Replace(name), name + "\x00", " " + name, name + "_"}
	return slices.DeleteFunc(spellings, func(s string) bool { return s == name })
}

// unknownFieldValues are values of unknown fields.
var unknownFieldValues = []string{`null`, `5`, `"x"`, `true`, `1e999`, `[1,{"a":[]}]`, `{"pezzi":5,"a":{"b":null}}`}

// fieldName returns the JSON text of a name.
func fieldName(t testing.TB, name string) string {
	t.Helper()
	text, err := json.Marshal(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// requireIgnored requires that fields added to a message change neither its decoded value nor its acceptance.
func requireIgnored(t testing.TB, m receivedMessage, what string, fields fieldSource) {
	t.Helper()
	want, err := m.decode(m.data)
	if err != nil {
		t.Fatalf("%s: %v\n%s", m.name, err, m.data)
	}
	changed := addFields(t, m, fields)
	got, err := m.decode(changed)
	if err != nil {
		t.Errorf("%s, %s: %v\n%s", m.name, what, err, changed)
		return
	}
	golden.Same(t, m.name+", "+what, got, want)
}

// Guards against unknown fields that are taken for known ones: a submission with PEZZI had the tasks of that
// field instead of those of pezzi.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, m := range slices.Concat(outsideMessages(t), storedRecords(t)) {
		requireIgnored(t, m, "a deeply nested value", func([]string) []string { return []string{`"unknown":` + nested} })
		for _, value := range unknownFieldValues {
			requireIgnored(t, m, "other spellings with value "+value, func(names []string) []string {
				var fields []string
				for _, name := range names {
					for _, spelling := range otherSpellings(name) {
						if !slices.Contains(names, spelling) {
							fields = append(fields, fieldName(t, spelling)+":"+value)
						}
					}
				}
				return fields
			})
			requireIgnored(t, m, "a name that occurs twice with value "+value, func([]string) []string {
				return []string{`"unknown":` + value, `"unknown":0`, `"":` + value}
			})
		}
	}
}

// A known name with escapes is the known name.
func TestEscapedNamesAreKnown(t *testing.T) {
	spec, err := api.ParseJob([]byte(strings.Replace(string(outsideMessages(t)[0].data), `"pezzi":3`, `"\u0070ezzi":4`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if spec.Tasks != 4 {
		t.Errorf("%d tasks, expected 4", spec.Tasks)
	}
}

// Versions before this one take a name for any other spelling of it, so no object may have two such names.
func TestNoNamesDifferInCapitalsOnly(t *testing.T) {
	for _, m := range slices.Concat(outsideMessages(t), storedRecords(t)) {
		addFields(t, m, func(names []string) []string {
			for i, name := range names {
				if slices.ContainsFunc(names[:i], func(other string) bool { return strings.EqualFold(other, name) }) {
					t.Errorf("%s: field %q differs from another in capitals only", m.name, name)
				}
			}
			return nil
		})
	}
}

// knownNames returns the names of the fields of all messages.
func knownNames(t testing.TB) map[string]bool {
	known := map[string]bool{}
	for _, m := range slices.Concat(outsideMessages(t), storedRecords(t)) {
		addFields(t, m, func(names []string) []string {
			for _, name := range names {
				known[name] = true
			}
			return nil
		})
	}
	return known
}

// A field with an unknown name, whatever it is, changes neither the decoded value nor the acceptance.
func FuzzUnknownField(f *testing.F) {
	for _, name := range []string{"PEZZI", "Turno", "ſcatter", "SIGILLO", "REGISTRO", "pezzi\x00", "", "\u212a", "DATA", "\xff"} {
		for _, value := range unknownFieldValues {
			f.Add(name, value)
		}
	}
	known := knownNames(f)
	f.Fuzz(func(t *testing.T, name, value string) {
		if !json.Valid([]byte(value)) {
			value = fieldName(t, value)
		}
		text := fieldName(t, name)
		var decoded string
		if err := json.Unmarshal([]byte(text), &decoded); err != nil {
			t.Fatal(err)
		}
		if known[decoded] {
			return
		}
		for _, m := range slices.Concat(outsideMessages(t), storedRecords(t)) {
			requireIgnored(t, m, "field "+text, func([]string) []string { return []string{text + ":" + value} })
		}
	})
}
