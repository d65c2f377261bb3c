package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"basaltwall/api"
)

// Paths of the administration API.
const (
	pathMetrics    = "/admin/v1/metrics"
	pathPartitions = "/admin/v1/parts"
	pathSettings   = "/admin/v1/settings"
	pathTenants    = "/admin/v1/tenants/"
)

// errNotReady is returned when controllers do not take requests in time.
var errNotReady = errors.New("the controllers do not get ready")

// statusError is returned for a response whose status is not the expected one.
type statusError struct {
	status int
	body   []byte
}

// Error shows the status and the response's body.
func (e *statusError) Error() string { return fmt.Sprintf("%d %s", e.status, e.body) }

// cluster is how the controllers of a deployment are asked.
type cluster struct {
	client    *http.Client
	addresses []string // of the controllers' APIs
	key       string   // for the administration API; empty where no key is needed
}

// request sends a request with a key to one of the controllers and reads the response.
func (c *cluster) request(ctx context.Context, index int, method, path, key string, body []byte) (int, []byte, error) {
	return request(ctx, c.client, method, c.addresses[index%len(c.addresses)]+path, key, body)
}

// getJSON decodes what one of the controllers responds to a GET.
func (c *cluster) getJSON(ctx context.Context, index int, path string, into any) error {
	status, body, err := c.request(ctx, index, http.MethodGet, path, c.key, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &statusError{status, body}
	}
	return json.Unmarshal(body, into)
}

// awaitReady waits until every controller takes requests.
func awaitReady(ctx context.Context, c *cluster, timeout, interval time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		ready := 0
		for i := range c.addresses {
			if status, _, err := c.request(ctx, i, http.MethodGet, api.PathReady, "", nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.addresses) {
			return nil
		}
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
	return errNotReady
}

// sleep waits for a time, or until the context is over.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}

// request sends a request, with a key if there is one, and reads the response.
func request(ctx context.Context, client *http.Client, method, target, key string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, data, err
}

// maxResponseBytes bounds what is read of a response.
const maxResponseBytes = 1 << 20
