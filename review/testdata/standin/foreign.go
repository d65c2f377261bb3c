package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os/exec"
	"strings"
	"time"
)

// tenantNames are the two tenants, with a team each.
var tenantNames = map[string]string{"kipper": "dispo", "lopresti": "artigiani"}

// foreignHistory lets one tenant ask for its history with a cursor that contains a parameter of the state service.
func foreignHistory(rec *record, dir, runCommand string, trouble bool) (bool, error) {
	const jobsOfEach, machines = 4, 6
	s := kippermulde()
	s.teams = append(s.teams, object{"name": "artigiani", "cpus": 100.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0})
	command, root, err := hostedCommand(runCommand, dir)
	if err != nil {
		return false, err
	}
	t, err := newSite(rec, dir, command, s)
	if err != nil {
		return false, err
	}
	defer t.close()
	t.jobs.other = &jobSpec{Cores: 1, RAM: 1, Image: "img-07", ImageGB: 0.1, Kind: "sweep", run: time.Second}
	for n := range machines {
		if err := t.addMachine(s.zones[n%3], s.types[0], 0, true); err != nil {
			return false, err
		}
	}
	for i := range t.apis {
		if err := t.startController(i); err != nil {
			return false, err
		}
	}
	if err := t.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	keys := map[string]string{}
	number := 100
	for name, team := range tenantNames {
		if keys[name], err = t.addTenant(root, name, team); err != nil {
			return false, err
		}
		for range jobsOfEach {
			number++
			err := t.submit(&jobSpec{Ref: fmt.Sprintf("run-%06d", number), Class: "of-" + name, Team: team, Kind: "sweep", Priority: "normal", Tasks: 1, Cores: 1, RAM: 1,
				Image: "img-07", ImageGB: 0.1, Estimate: 1}, keys[name])
			if err != nil {
				return false, err
			}
		}
	}
	for name := range tenantNames {
		if err := t.awaitHistory(name, keys[name], jobsOfEach); err != nil {
			return false, err
		}
	}
	cursor := "0"
	if trouble {
		cursor = "0&under=history"
	}
	broken := false
	for name := range tenantNames {
		for i := range t.apis {
			target := "/v1/history?limit=100&after=" + url.QueryEscape(cursor)
			status, answer := t.do(i, "GET", target, keys[name], nil, 5*time.Second)
			rec.printf("tenant %s: GET %s at %s -> %d %s", name, target, t.labels[i], status, answer)
			for other := range tenantNames {
				if other != name && strings.Contains(string(answer), "of-"+other) {
					rec.printf("BROKEN: the answer to tenant %s has jobs of tenant %s", name, other)
					broken = true
				}
			}
		}
	}
	return broken, nil
}

// awaitHistory waits until a tenant's history has all its jobs.
func (t *site) awaitHistory(name, key string, count int) error {
	for range 300 {
		status, answer := t.do(t.pick(), "GET", "/v1/history?limit=100", key, nil, 5*time.Second)
		if status == 200 && strings.Count(string(answer), `"ref"`) == count {
			t.rec.printf("tenant %s: its history has its %d jobs: %s", name, count, answer)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("history of %s: %w", name, errTimeout)
}

// hostedCommand returns the run command of a hosted service with a new key file in dir, and the operators' first key.
func hostedCommand(runCommand, dir string) (command, root string, err error) {
	words := strings.Fields(runCommand)
	secret, err := exec.Command(words[0], "new-key").Output()
	if err != nil {
		return "", "", err
	}
	keyFile := dir + "/admin.key"
	if err := writeFile(keyFile, secret); err != nil {
		return "", "", err
	}
	for i := range words {
		if words[i] == "--admin-key-file" {
			words[i+1] = keyFile
		}
	}
	return strings.Join(words, " "), strings.TrimSpace(string(secret)), nil
}

// addTenant adds a tenant with one team and returns a key of it.
func (t *site) addTenant(root, name, team string) (string, error) {
	if _, err := t.admin(root, "PUT", "tenants/"+name, object{"revision": 0, "teams": []string{team}, "retention_s": 3600}); err != nil {
		return "", err
	}
	revision, err := t.tenantRevision(root, name)
	if err != nil {
		return "", err
	}
	answer, err := t.admin(root, "POST", "tenants/"+name+"/keys", object{"revision": revision, "name": "shop"})
	if err != nil {
		return "", err
	}
	var key struct {
		Secret string `json:"secret"`
	}
	err = json.Unmarshal(answer, &key)
	return key.Secret, err
}
