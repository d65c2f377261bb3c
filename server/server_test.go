package server

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// TestControllersOnLoopback runs three controllers on real sockets. Jobs are accepted, run, polled and
// cancelled, also after one controller stops.
func TestControllersOnLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := emulator.StartLive(ctx, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	start := func(i int) context.CancelFunc {
		ctx, stop := context.WithCancel(ctx)
		wg.Go(func() {
			if err := New(l.Configs[i]).Run(ctx); err != nil {
				t.Errorf("controller %d: %v", i, err)
			}
		})
		return stop
	}
	stop := start(0)
	start(1)
	start(2)
	base := "http://" + l.LoadBalancerAddr + api.PathJobs
	eventually(t, "job array accepted", func() bool {
		code, _ := doRequest(t, "POST", base, fmt.Appendf(nil, jobTemplate, "run-1", "sweep", 6, 1))
		return code == 201 || code == 200
	})
	eventually(t, "service accepted", func() bool {
		code, _ := doRequest(t, "POST", base, fmt.Appendf(nil, jobTemplate, "run-2", "daemon", 2, 0))
		return code == 201 || code == 200
	})
	eventually(t, "job array done", func() bool {
		_, s := doRequest(t, "GET", base+"/run-1", nil)
		return s.State == api.JobDone
	})
	stop()
	eventually(t, "gang done after the first controller stopped", func() bool {
		doRequest(t, "POST", base, fmt.Appendf(nil, jobTemplate, "run-3", "ensemble", 2, 1))
		_, s := doRequest(t, "GET", base+"/run-3", nil)
		return s.State == api.JobDone
	})
	eventually(t, "service cancelled", func() bool {
		code, s := doRequest(t, "POST", base+"/run-2/"+api.PathSuffixCancel, nil)
		return code == 200 && s.State == api.JobCancelled
	})
	for url, want := range map[string]int{base + "/run-77": 404, base + "/x": 404, base: 405, "http://" + l.LoadBalancerAddr + "/nothing": 404} {
		if code, _ := doRequest(t, "GET", url, nil); code != want {
			t.Errorf("GET %s: %d, expected %d", url, code, want)
		}
	}
	if code, _ := doRequest(t, "POST", base, []byte(`{"ref":"run-9"}`)); code != 400 {
		t.Errorf("malformed job: status %d, expected 400", code)
	}
	if code, _ := doRequest(t, "POST", base, bytes.Repeat([]byte(" "), 70_000)); code != 413 {
		t.Errorf("body above the limit: status %d, expected 413", code)
	}
	exerciseAdminAPI(t, "http://"+l.Configs[1].APIAddr+"/admin/v1/", "http://"+l.Configs[2].APIAddr+"/admin/v1/")
	for _, b := range l.Violations() {
		t.Error(b)
	}
	cancel()
	wg.Wait()
}
