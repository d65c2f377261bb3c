package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Paths of the administration API.
const (
	pathMetrics    = "/admin/v1/metrics"
	pathPartitions = "/admin/v1/parts"
	pathSettings   = "/admin/v1/settings"
	pathTenants    = "/admin/v1/tenants/"
)

// errNotReady is returned if controllers are not ready within the timeout.
var errNotReady = errors.New("controllers are not ready within the timeout")

// statusError is returned for a response with an unexpected status.
type statusError struct {
	status int
	body   []byte
}

// Error returns the status and the body of the response.
func (e *statusError) Error() string { return fmt.Sprintf("%d %s", e.status, e.body) }

// cluster sends requests to the controllers of a deployment.
type cluster struct {
	client    *http.Client
	addresses []string // of the controllers' APIs
	key       string   // for the administration API; empty where no key is needed
}

// request sends a request with a key to one of the controllers and returns status and body.
func (c *cluster) request(ctx context.Context, index int, method, path, key string, body []byte) (int, []byte, error) {
	return request(ctx, c.client, method, c.addresses[index%len(c.addresses)]+path, key, body)
}

// getJSON decodes the response of one of the controllers to a GET request.
func (c *cluster) getJSON(ctx context.Context, index int, path string, into any) error {
	status, body, err := c.request(ctx, index, http.MethodGet, path, c.key, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &statusError{status, body}
	}
	return exactjson.Decode(body, into)
}

// awaitReady waits until all controllers are ready.
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

// sleep waits for a duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}

// request sends a request, with a key unless it is empty, and returns status and body.
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

// maxResponseBytes is the largest part of a response body that is read.
const maxResponseBytes = 1 << 20
