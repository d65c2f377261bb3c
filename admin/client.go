package admin

// This file holds the HTTP client of the subcommands.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/httpx"
	"basaltwall/internal/exactjson"
)

const (
	maxResponse    = 16 << 20 // size of a response body in bytes
	requestTimeout = 10 * time.Second
)

// request sends a request to the administration API and returns the body of the response.
func (c *OperatorCmd) request(method, path string, body []byte) ([]byte, error) {
	return doRequest(c.Addr, c.KeyFile, method, Prefix+path, body)
}

// requestJSON sends a request with a JSON body to the administration API and returns the body of the
// response.
func (c *OperatorCmd) requestJSON(method, path string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return c.request(method, path, data)
}

// callAndPrint sends a request and prints the response as JSON.
func (c *OperatorCmd) callAndPrint(method, path string, body []byte) error {
	answer, err := c.request(method, path, body)
	if err != nil {
		return err
	}
	return printJSON(answer)
}

// send sends a request with a JSON body and prints the response as JSON.
func (c *OperatorCmd) send(method, path string, body any) error {
	answer, err := c.requestJSON(method, path, body)
	if err != nil {
		return err
	}
	return printJSON(answer)
}

// sendWithRevision requests a change of the resource at a path. The request contains the resource's current
// revision, which is read first, so that a concurrent change is not overwritten.
func (c *OperatorCmd) sendWithRevision(path, change string, body revisioned) error {
	current, err := fetch[revision](c, path)
	if err != nil {
		return err
	}
	body.setRevision(current.Revision)
	return c.send(api.MethodPost, path+"/"+change, body)
}

// fetch reads the resource at a path.
func fetch[T any](c *OperatorCmd, path string) (T, error) {
	var value T
	data, err := c.request(api.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if err := exactjson.Decode(data, &value); err != nil {
		return value, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

// printTable prints the resource at a path as a table, or as JSON if the --json flag is set.
func printTable[T any](c *OperatorCmd, path string, table func(io.Writer, T)) error {
	body, err := c.request(api.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return printResponse(body, c.JSON, table)
}

// doRequest sends a request and returns the body of the response. The error is a *RequestError if there is
// no response or its status is not 200 or 201.
func doRequest(addr, keyFile, method, path string, body []byte) ([]byte, error) {
	client := httpx.NewClient(maxResponse, 1, 1)
	if keyFile != "" {
		key, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, fmt.Errorf("key file: %w", err)
		}
		client.Auth = "Bearer " + strings.TrimSpace(string(key))
	}
	r, err := client.Do(context.Background(), addr, method, path, body, requestTimeout)
	if err != nil {
		return nil, &RequestError{Path: path, Reason: err.Error()}
	}
	if r.Status != api.StatusOK && r.Status != api.StatusCreated {
		var refusal api.ErrorBody
		if exactjson.Decode(r.Body, &refusal) != nil {
			refusal.Error = string(bytes.TrimSpace(r.Body))
		}
		return nil, &RequestError{Path: path, Status: r.Status, Reason: refusal.Error, RetryAfter: r.RetryAfter}
	}
	return r.Body, nil
}

// RequestError reports a request that was refused or got no response.
type RequestError struct {
	Path       string
	Status     int    // HTTP status; 0 without a response
	Reason     string // error text of the response, or the error that prevented a response
	RetryAfter int    // seconds; 0 if the response has no Retry-After header
}

// Error returns the path, the status, the reason and the delay before a retry.
func (r *RequestError) Error() string {
	s := fmt.Sprintf("%s: %s", r.Path, r.Reason)
	if r.Status != 0 {
		s = fmt.Sprintf("%s: %d: %s", r.Path, r.Status, r.Reason)
	}
	if r.RetryAfter > 0 {
		s += fmt.Sprintf(" (retry after %d s)", r.RetryAfter)
	}
	return s
}

// Exit codes of a failed subcommand. Kong has its own for an invalid command line.
const (
	exitRefused = 1
	exitRetry   = 75 // EX_TEMPFAIL of sysexits.h: the same request may succeed later
)

// ExitCode returns the exit code of the process, which shows scripts whether to retry.
func (r *RequestError) ExitCode() int {
	if r.Status == 0 || r.Status == api.StatusTooManyRequests || r.Status == api.StatusServiceUnavailable {
		return exitRetry
	}
	return exitRefused
}
