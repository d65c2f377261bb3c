package control

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/book"
	"basaltwall/config"
	"basaltwall/tenant"
)

// Keys of what a hosted service's operators decide for all tenants.
const (
	keyOperators = book.Root + "operators"
	keyTeam      = book.Root + "team/" // made by operators, beside the platform's
	// keyGiven is what those teams are guaranteed together. It is written with each change
	// of one and with what is set aside for them, so that their sum stays within that.
	keyGiven = book.Root + "given"
)

// operatorTrust is for how long an operators' key that was good when the state was last
// read is believed without it, for questions about the controller alone. Whoever looks at
// a service in trouble needs answers from the controllers that are cut off.
const operatorTrust = time.Minute

type (
	// OperatorsAt is the operators' record as it is shown.
	OperatorsAt struct {
		First    tenant.KeyID      `json:"first"` // of the file that this controller was started with
		Retired  bool              `json:"first_retired"`
		Keys     []OperatorKeyView `json:"keys"`
		Networks tenant.Networks   `json:"networks"`
		Proxies  tenant.Networks   `json:"proxies"`
		CPUs     float64           `json:"cpus"`
		GPUs     float64           `json:"gpus"`
		Given    tenant.Given      `json:"given"`
		Revision api.Revision      `json:"revision"`
	}
	// OperatorKeyView is an operators' key as it is shown.
	OperatorKeyView struct {
		KeyView
		Role tenant.Role `json:"role"`
	}
	// TeamAt is a team that operators made, as it is shown.
	TeamAt struct {
		tenant.Team
		Tenant   tenant.Name  `json:"tenant,omitempty"` // whose it is
		Revision api.Revision `json:"revision"`
	}
	// operatorsAsk is what an act on the operators' record may bring.
	operatorsAsk struct {
		Revision *api.Revision   `json:"revision"`
		Networks tenant.Networks `json:"networks"`
		Proxies  tenant.Networks `json:"proxies"`
		CPUs     float64         `json:"cpus"`
		GPUs     float64         `json:"gpus"`
		Name     string          `json:"name"`
		Role     tenant.Role     `json:"role"`
		Expires  api.Wall        `json:"expires"`
	}
	// teamAsk is what an act on a team may bring.
	teamAsk struct {
		Revision *api.Revision `json:"revision"`
		CPUs     float64       `json:"cpus"`
		GPUs     float64       `json:"gpus"`
		CPUsMax  float64       `json:"cpus_max"`
		GPUsMax  float64       `json:"gpus_max"`
	}
)

// putTeam folds a team that operators made. A removed one is no team any more.
func (n *Node) putTeam(name string, value json.RawMessage, ver api.Revision) error {
	var t tenant.Team
	if err := json.Unmarshal(value, &t); err != nil {
		return err
	}
	if err := t.Check(); err != nil {
		return err
	}
	n.hosted.teams[api.Team(name)] = TeamAt{Team: t, Revision: ver}
	delete(n.teams, t.Name)
	if !t.Removed {
		n.teams[t.Name] = config.Team{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, CPUsMax: t.CPUsMax, GPUsMax: t.GPUsMax}
	}
	return nil
}

// platformTeams forgets the teams that operators made.
func (n *Node) platformTeams() {
	n.teams = map[api.Team]config.Team{}
	for _, t := range n.cfg.Deployment.Teams {
		n.teams[t.Name] = t
	}
}

// operator finds what an operator may do by the key that a request brings, as far as the
// book has been read.
func (n *Node) operator(c Caller) (tenant.KeyID, tenant.Role, error) {
	s, err := c.secret()
	if err != nil {
		return "", "", err
	}
	role, ok := n.hosted.operators.Opens(n.hosted.admin, s, n.wall, n.clockError())
	if !ok {
		return "", "", errKey
	}
	if !n.hosted.operators.Networks.Allows(n.origin(c)) {
		return "", "", &tenant.Error{Status: 403, Why: "not from this address"}
	}
	return s.ID, role, nil
}

// What operators may ask without changing anything: of the record, and of what the
// controller that answers knows.
var (
	ofTheRecord  = []string{"tenants", "tenant", "usage", "operators", "pools", "pool", "audit", "skips"}
	ofController = []string{"metrics", "members", "parts", "machines", "teams", "jobs", "job", "settings"}
)

// asOperator does what an operator of a hosted service asks if the key that comes with it
// may: by what is current. A controller that can't know what is answers questions about
// itself alone, for a while, by what it knew last; the file's key lies beside it and needs
// no state.
func (n *Node) asOperator(c Ask, do func(Ask)) {
	itself := slices.Contains(ofController, c.What)
	question := itself || slices.Contains(ofTheRecord, c.What)
	may := func() bool {
		id, role, err := n.operator(c.Caller)
		if err == nil && !question && role != tenant.RoleChange {
			err = &tenant.Error{Status: 403, Why: "this key may not change anything"}
		}
		if err != nil {
			n.refuseErr(c.Req, err)
			return false
		}
		n.noteUse(operatorsUse, id)
		c.by = id
		return true
	}
	n.current(func() {
		if may() {
			do(c)
		}
	}, func() {
		s, err := c.Caller.secret()
		trusted := n.currentAt != 0 && n.now.Sub(n.currentAt) <= operatorTrust || err == nil && s.ID == n.hosted.admin.ID
		if !itself || !n.loaded || !trusted {
			n.refuse(c.Req, 503, "state service not reachable")
			return
		}
		if may() {
			do(c)
		}
	})
}

// parseAsk reads what an act brings; the error names the field.
func parseAsk(body []byte, into any) error {
	if len(body) == 0 {
		return nil
	}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if te, ok := err.(*json.UnmarshalTypeError); ok {
			return &tenant.Error{Status: 400, Field: te.Field, Why: "wrong type"}
		}
		return &tenant.Error{Status: 400, Why: err.Error()}
	}
	return nil
}

// newKey makes a key of what a request was given of random.
func (n *Node) newKey(c Ask, name string, expires api.Wall) (tenant.Key, *NewKeyView, error) {
	if c.Random == nil {
		return tenant.Key{}, nil, &tenant.Error{Status: 503, Why: "no random bytes"}
	}
	k, s, err := tenant.NewKey(*c.Random, name, n.wall, expires)
	if err != nil {
		return k, nil, err
	}
	return k, &NewKeyView{KeyView: viewKey(k), Secret: s.String()}, nil
}

// as refuses a change that names another revision than the one it would replace.
func as(named *api.Revision, is api.Revision, what string) error {
	if named == nil || *named != is {
		return &tenant.Error{Status: 409, Field: "revision", Why: what + " changed since, or no revision is named"}
	}
	return nil
}

func (n *Node) viewOperators(o tenant.Operators, rev api.Revision) OperatorsAt {
	v := OperatorsAt{First: n.hosted.admin.ID, Retired: slices.Contains(o.Retired, n.hosted.admin.ID), Keys: []OperatorKeyView{},
		Networks: o.Networks, Proxies: o.Proxies, CPUs: o.CPUs, GPUs: o.GPUs, Given: n.hosted.given, Revision: rev}
	for _, k := range o.Keys {
		v.Keys = append(v.Keys, OperatorKeyView{viewKey(k.Key), k.Role})
	}
	return v
}

// actOnOperators answers a question or an act on the operators' record.
func (n *Node) actOnOperators(c Ask) error {
	was, at := n.hosted.operators, n.book.Version(keyOperators)
	if c.What == "operators" {
		n.withUse(c, operatorsUse, func(used map[tenant.KeyID]api.Wall) {
			v := n.viewOperators(was, at)
			for i := range v.Keys {
				v.Keys[i].Used = used[v.Keys[i].ID]
			}
			n.reply(c.Req, 200, v, 0)
		})
		return nil
	}
	var ask operatorsAsk
	if err := parseAsk(c.Body, &ask); err != nil {
		return err
	}
	now := was
	var secret *NewKeyView
	var err error
	switch c.What {
	case "operators-put":
		now.Networks, now.Proxies, now.CPUs, now.GPUs = ask.Networks, ask.Proxies, ask.CPUs, ask.GPUs
		err = now.Check()
	case "operators-key-add":
		var k tenant.Key
		if k, secret, err = n.newKey(c, ask.Name, ask.Expires); err == nil {
			now, err = now.Add(k, ask.Role)
		}
	case "operators-key-revoke":
		now, err = now.Revoke(n.hosted.admin, c.Sub)
	}
	if err != nil {
		return err
	}
	before, after := shownOperators(was), shownOperators(now)
	if secret == nil && sameJSON(was, now) {
		n.reply(c.Req, 200, n.viewOperators(was, at), 0) // it is so already: asked again, perhaps
		return nil
	}
	if err := as(ask.Revision, at, "the operators' record"); err != nil {
		return err
	}
	if err := n.hosted.given.Within(now); err != nil {
		return err
	}
	// By the proxies as they will be: the next request is judged by them.
	if err := now.Within(tenant.Origin(c.Caller.From, c.Caller.Forwarded, now.Proxies)); err != nil {
		return err
	}
	data, err := json.Marshal(now)
	if err != nil || n.tooLarge(data) {
		return &tenant.Error{Status: 400, Field: "networks", Why: "the record is too large"}
	}
	tx := api.Txn{If: []api.Condition{{Key: keyOperators, Version: at}, n.book.If(keyGiven)},
		Writes: []api.Write{{Put: keyOperators, Value: data}, n.auditWrite(c, "operators", before, after)}}
	n.changeWith(c, tx, "the operators' record", func(rev api.Revision) any {
		if secret != nil {
			secret.Revision = rev
			return secret
		}
		return n.viewOperators(now, rev)
	})
	return nil
}

// changeWith writes an operators' change and answers with what is shown then.
func (n *Node) changeWith(c Ask, tx api.Txn, what string, show func(api.Revision) any) {
	n.txn(tx, func(a StateAnswer) {
		if a.Status == 200 {
			slog.Info("changed by an operator", "what", c.What, "id", c.ID, "key", c.by, "from", n.origin(c.Caller), "revision", a.Txn.Revision)
		}
		n.answerChange(c.Req, a.Status, a.Txn.Revision, what, show)
	})
}

// answerChange answers an operators' change by how its write ended.
func (n *Node) answerChange(req ReqID, status int, rev api.Revision, what string, show func(api.Revision) any) {
	switch status {
	case 200:
		n.reply(req, 200, show(rev), 0)
		n.current(func() {}, func() {})
	case 409:
		n.refuse(req, 409, "revision: "+what+" changed since")
	default:
		n.refuse(req, 503, "state service not reachable; the change may or may not have been made")
	}
}

// owners is whose the teams of a hosted service are.
func (n *Node) owners() map[api.Team]tenant.Name {
	out := map[api.Team]tenant.Name{}
	if n.hosted == nil {
		return out
	}
	for _, name := range n.hosted.table.Names() {
		for _, team := range n.hosted.table.Get(name).Teams {
			out[team] = name
		}
	}
	return out
}

func (n *Node) jobsOfTeam(team api.Team) int {
	count := 0
	for _, j := range n.book.Jobs {
		if j.Spec.Team == team {
			count++
		}
	}
	return count
}

// actOnTeam makes, changes or removes a team beside the platform's.
func (n *Node) actOnTeam(c Ask) error {
	var ask teamAsk
	if err := parseAsk(c.Body, &ask); err != nil {
		return err
	}
	name := api.Team(c.ID)
	for _, t := range n.cfg.Deployment.Teams {
		if t.Name == name {
			return &tenant.Error{Status: 409, Field: "name", Why: c.ID + " is a team of the platform's file"}
		}
	}
	was, known := n.hosted.teams[name]
	if !known && c.What == "team-remove" {
		return &tenant.Error{Status: 404, Field: "name", Why: "there is no team " + c.ID}
	}
	var now tenant.Team
	var err error
	if c.What == "team-remove" {
		now, err = was.Team.Remove(n.owners()[name], n.jobsOfTeam(name))
	} else {
		now, err = was.Change(tenant.Team{Name: name, CPUs: ask.CPUs, GPUs: ask.GPUs, CPUsMax: ask.CPUsMax, GPUsMax: ask.GPUsMax})
	}
	if err != nil {
		return err
	}
	if known && now == was.Team {
		n.reply(c.Req, 200, TeamAt{now, n.owners()[name], was.Revision}, 0) // asked again, perhaps
		return nil
	}
	if err := as(ask.Revision, was.Revision, "the team"); err != nil {
		return err
	}
	given, err := n.hosted.given.Move(was.Team, now, n.hosted.operators)
	if err != nil {
		return err
	}
	team, _ := json.Marshal(now)
	sum, _ := json.Marshal(given)
	// The claim of the team by a tenant is named, so that none is made meanwhile; and the
	// operators' record, so that what is set aside is what was read.
	tx := api.Txn{If: []api.Condition{{Key: keyTeam + c.ID, Version: was.Revision}, n.book.If(keyGiven), n.book.If(keyOperators)},
		Writes: []api.Write{{Put: keyTeam + c.ID, Value: team}, {Put: keyGiven, Value: sum}, n.auditWrite(c, "team "+c.ID, was.Team, now)}}
	if c.What == "team-remove" {
		tx.If = append(tx.If, api.Condition{Key: keyTeamOf + c.ID})
	}
	n.changeWith(c, tx, "the team, or what is set aside for teams,", func(rev api.Revision) any {
		return TeamAt{now, n.owners()[name], rev}
	})
	return nil
}

// shownOperators is the record as the audit shows it: networks counted, of keys what is
// public.
func shownOperators(o tenant.Operators) any {
	type key struct {
		ID      tenant.KeyID `json:"id"`
		Name    string       `json:"name"`
		Role    tenant.Role  `json:"role"`
		Expires api.Wall     `json:"expires,omitempty"`
	}
	keys := []key{}
	for _, k := range o.Keys {
		keys = append(keys, key{k.ID, k.Name, k.Role, k.Expires})
	}
	return map[string]any{"keys": keys, "networks": o.Networks.Len(), "proxies": o.Proxies.Len(), "cpus": o.CPUs, "gpus": o.GPUs, "retired": o.Retired}
}

// sameJSON reports whether two values are the same as they are written.
func sameJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// shownSettings is the settings as the audit shows them: a long list of machines, counted.
func shownSettings(s Settings) any {
	if len(s.Drained) <= 20 {
		return s
	}
	return map[string]any{"drained": len(s.Drained), "idle_hold_s": s.IdleHold, "no_rent": s.NoRent}
}
