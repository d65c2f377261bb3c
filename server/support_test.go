package server

// This file holds the helpers of the tests on real sockets.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/internal/emulator"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

func doRequest(t *testing.T, method, url string, body []byte) (int, api.JobStatus) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, api.JobStatus{}
	}
	defer func() { _ = res.Body.Close() }()
	var s api.JobStatus
	if data, err := io.ReadAll(res.Body); err == nil && res.StatusCode < 300 {
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
	}
	return res.StatusCode, s
}

// eventually polls a condition until it holds, and fails the test after a minute.
func eventually(t *testing.T, description string, ok func() bool) {
	t.Helper()
	for range 1200 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("condition never held: %s", description)
}

const jobTemplate = `{"ref":"%s","mestiere":"try","bottega":"red","forma":"%s","urgenza":"normal","pezzi":%d,"cores":1,"gpus":0,
"ram_gb":1,"stampo":"img","image_gb":1,"together":false,"scatter":false,"avanzi":false,"stima_s":%d,"tappa_s":0,"salvo_s":0}`

// startControllers starts controllers with an emulated environment and stops them at the end of the test.
// The service is hosted unless hosted is nil.
func startControllers(t *testing.T, count, machines int, hosted *config.Hosted) *emulator.Live {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	live, err := emulator.StartLive(ctx, count, machines)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range live.Configs {
		if hosted != nil {
			settings := *hosted
			c.Hosted = &settings
		}
		running.Go(func() {
			if err := New(c).Run(ctx); err != nil {
				t.Errorf("controller: %v", err)
			}
		})
	}
	return live
}

// sendRequest sends a request, with a key unless it is "". It reports false if there is no response.
func sendRequest(t *testing.T, method, url, key, body string) (code int, answer string, ok bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", false
	}
	return res.StatusCode, string(data), true
}

// callFunc sends a request to a controller, with a key unless it is "", and returns the status and the
// body of the response.
type callFunc func(node int, key, method, path, body string) (int, string)

// expectFunc returns a function that checks the status of a response and a substring of its body.
type expectFunc func(description string, status int, substring string) func(int, string) string

// newExpect returns an expectFunc that reports mismatches as test errors.
func newExpect(t *testing.T) expectFunc {
	return func(description string, status int, substring string) func(int, string) string {
		return func(got int, body string) string {
			t.Helper()
			if got != status || !strings.Contains(body, substring) {
				t.Errorf("%s: %d %s, expected %d with %q", description, got, body, status, substring)
			}
			return body
		}
	}
}
