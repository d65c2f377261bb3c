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
)

const (
	maxAnswer      = 16 << 20 // bytes
	requestTimeout = 10 * time.Second
)

// request sends a request to the administration API and returns the body of its answer.
func (c *Cmd) request(method, path string, body []byte) ([]byte, error) {
	return doRequest(c.Addr, c.KeyFile, method, Prefix+path, body)
}

// requestJSON is request with a body that is encoded in JSON.
func (c *Cmd) requestJSON(method, path string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return c.request(method, path, data)
}

// callAndPrint sends a request and prints its answer.
func (c *Cmd) callAndPrint(method, path string, body []byte) error {
	answer, err := c.request(method, path, body)
	if err != nil {
		return err
	}
	return printJSON(answer)
}

// send sends a request with a body in JSON and prints its answer.
func (c *Cmd) send(method, path string, body any) error {
	answer, err := c.requestJSON(method, path, body)
	if err != nil {
		return err
	}
	return printJSON(answer)
}

// sendWithRevision asks for a change of the resource at a path. The request names the revision that
// is read there just before, so that a change made meanwhile is not overwritten.
func (c *Cmd) sendWithRevision(path, change string, body revisioned) error {
	current, err := fetch[revision](c, path)
	if err != nil {
		return err
	}
	body.setRevision(current.Revision)
	return c.send(api.MethodPost, path+"/"+change, body)
}

// fetch reads the resource at a path.
func fetch[T any](c *Cmd, path string) (T, error) {
	var value T
	data, err := c.request(api.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

// printTable prints the resource at a path as a table, or as JSON if that was asked for.
func printTable[T any](c *Cmd, path string, table func(io.Writer, T)) error {
	body, err := c.request(api.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return printAnswer(body, c.JSON, table)
}

// doRequest sends a request and returns the body of its answer. An answer other than 200 and 201, or
// none, is a *RequestError.
func doRequest(addr, keyFile, method, path string, body []byte) ([]byte, error) {
	client := httpx.NewClient(maxAnswer, 1, 1)
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
		if json.Unmarshal(r.Body, &refusal) != nil {
			refusal.Error = string(bytes.TrimSpace(r.Body))
		}
		return nil, &RequestError{Path: path, Status: r.Status, Reason: refusal.Error, RetryAfter: r.RetryAfter}
	}
	return r.Body, nil
}

// RequestError is a request that was refused or got no answer.
type RequestError struct {
	Path       string
	Status     int    // HTTP status; 0 without an answer
	Reason     string // as the answer gives it, or why there is none
	RetryAfter int    // seconds; 0 if the answer does not say
}

// Error returns the path, the status and the reason.
func (r *RequestError) Error() string {
	s := fmt.Sprintf("%s: %s", r.Path, r.Reason)
	if r.Status != 0 {
		s = fmt.Sprintf("%s: %d: %s", r.Path, r.Status, r.Reason)
	}
	if r.RetryAfter > 0 {
		s += fmt.Sprintf(" (again in %d s)", r.RetryAfter)
	}
	return s
}

// Exit codes of a subcommand that failed. Kong has its own for a command line that it does not
// understand.
const (
	exitRefused = 1
	exitRetry   = 75 // EX_TEMPFAIL of sysexits.h: the same request may succeed later
)

// ExitCode returns the exit code of the process, which tells programs whether to retry.
func (r *RequestError) ExitCode() int {
	if r.Status == 0 || r.Status == api.StatusTooManyRequests || r.Status == api.StatusServiceUnavailable {
		return exitRetry
	}
	return exitRefused
}
