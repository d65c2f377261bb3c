// Package httpx implements the subset of HTTP/1.1 that the program needs: an incremental parser, a server
// on one event loop with asynchronous responses, and a client with a connection pool. It is independent of
// the content of the messages.
//
// Server and Client are safe for concurrent use.
package httpx

// This file parses requests and responses.

import (
	"basaltwall/api"

	"bytes"
	"errors"
	"net/netip"
	"strconv"
	"strings"
)

// Size limits of received messages, in bytes.
const (
	maxHead        = 16 << 10 // start line and headers, or the trailer
	maxChunkHeader = 1024
)

// Errors of the parser. The server responds to ErrTooLarge with status 413 and to ErrMalformed with 400.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrTooLarge  = errors.New("HTTP message too large")
)

// Request is a parsed request. Body does not alias the connection's buffer.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool       // the connection is closed after the response
	Expect              bool       // the client waits for 100 Continue
	Auth                string     // the Authorization header
	ForwardedFor        string     // the X-Forwarded-For header, which is set by the client and must not be trusted
	RemoteAddr          netip.Addr // the client's address; set by the server
}

// Response is a parsed response. Body does not alias the connection's buffer.
type Response struct {
	Status     int
	Body       []byte
	Close      bool
	RetryAfter int // in seconds; 0 if the header is absent or contains a date

	// Repeated is set by Client.Do if the request was sent twice. The first copy may still be executed, however
	// late.
	Repeated bool
}

// head is a start line with the parsed headers. contentLength is -1 if the header is absent, and
// headLength is 0 if the head is incomplete.
type head struct {
	line          string
	contentLength int
	chunked       bool
	close         bool
	keepAlive     bool
	expect        bool
	headLength    int

	auth, forwarded string
	retryAfter      int
}

// parseHead parses the start line and the headers. It returns a zero head if more bytes are needed.
func parseHead(buf []byte, maxBody int) (head, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > maxHead {
			return head{}, ErrTooLarge
		}
		return head{}, nil
	}
	if end > maxHead {
		return head{}, ErrTooLarge
	}
	h := head{headLength: end + 4, contentLength: -1}
	lines := string(buf[:end])
	h.line, lines, _ = strings.Cut(lines, "\r\n")
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return head{}, ErrMalformed
		}
		if err := h.setHeader(name, strings.Trim(value, " \t")); err != nil {
			return head{}, err
		}
	}
	if h.chunked && h.contentLength >= 0 {
		return head{}, ErrMalformed
	}
	if h.contentLength > maxBody {
		return head{}, ErrTooLarge
	}
	return h, nil
}

// setHeader stores the value of a header and ignores headers that the program does not use.
func (h *head) setHeader(name, value string) error {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || (h.contentLength >= 0 && h.contentLength != int(n)) {
			return ErrMalformed
		}
		h.contentLength = int(n)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if !strings.EqualFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case strings.EqualFold(name, "Connection"):
		for token := range strings.SplitSeq(value, ",") {
			token = strings.TrimSpace(token)
			h.close = h.close || strings.EqualFold(token, "close")
			h.keepAlive = h.keepAlive || strings.EqualFold(token, "keep-alive")
		}
	case strings.EqualFold(name, "Authorization"):
		if h.auth != "" {
			value = h.auth + "," + value // a combined value is invalid, so that two keys are both refused
		}
		h.auth = value
	case strings.EqualFold(name, "X-Forwarded-For"):
		if h.forwarded != "" {
			value = h.forwarded + "," + value
		}
		h.forwarded = value
	case strings.EqualFold(name, "Retry-After"):
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			h.retryAfter = seconds
		}
	case strings.EqualFold(name, "Expect"):
		h.expect = strings.EqualFold(value, "100-continue")
	}
	return nil
}

// parseBody parses the body after the head. It returns the number of bytes of head and body, or 0 if more
// bytes are needed.
func parseBody(buf []byte, h head, maxBody int) (body []byte, n int, err error) {
	if !h.chunked {
		need := h.headLength + max(h.contentLength, 0)
		if len(buf) < need {
			return nil, 0, nil
		}
		return bytes.Clone(buf[h.headLength:need]), need, nil
	}
	at := h.headLength
	for {
		eol := bytes.Index(buf[at:], []byte("\r\n"))
		if eol < 0 {
			if len(buf)-at > maxChunkHeader {
				return nil, 0, ErrMalformed
			}
			return nil, 0, nil
		}
		digits, _, _ := strings.Cut(string(buf[at:at+eol]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		at += eol + 2
		if size == 0 {
			return skipTrailer(buf, at, body)
		}
		if len(body)+int(size) > maxBody {
			return nil, 0, ErrTooLarge
		}
		if len(buf) < at+int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, buf[at:at+int(size)]...)
		at += int(size)
		if buf[at] != '\r' || buf[at+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		at += 2
	}
}

// skipTrailer skips the trailer fields after the last chunk. It returns the body and the number of bytes of
// the message, or 0 if more bytes are needed.
func skipTrailer(buf []byte, at int, body []byte) ([]byte, int, error) {
	start := at
	for {
		eol := bytes.Index(buf[at:], []byte("\r\n"))
		switch {
		case len(buf)-start > maxHead:
			return nil, 0, ErrTooLarge
		case eol < 0:
			return nil, 0, nil
		case eol == 0:
			return body, at + 2, nil
		}
		at += eol + 2
	}
}

// validTarget reports whether a request target is an absolute path with an optional query.
func validTarget(s string) bool {
	if s == "" || s[0] != '/' {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// ParseRequest parses one request at the start of buf. It returns the number of bytes consumed, or 0 if
// more bytes are needed. If more are needed and Expect is set, the client waits for 100 Continue before it
// sends the body.
func ParseRequest(buf []byte, maxBody int) (Request, int, error) {
	h, err := parseHead(buf, maxBody)
	if err != nil || h.headLength == 0 {
		return Request{}, 0, err
	}
	parts := strings.Split(h.line, " ")
	if len(parts) != 3 || parts[0] == "" || !validTarget(parts[1]) {
		return Request{}, 0, ErrMalformed
	}
	r := Request{Method: parts[0], Close: h.close, Expect: h.expect, Auth: h.auth, ForwardedFor: h.forwarded}
	r.Path, r.Query, _ = strings.Cut(parts[1], "?")
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		r.Close = !h.keepAlive
	default:
		return Request{}, 0, ErrMalformed
	}
	body, n, err := parseBody(buf, h, maxBody)
	if err != nil {
		return Request{}, 0, err
	}
	r.Body = body
	return r, n, nil
}

// ParseResponse parses one response at the start of buf and skips interim responses before it. It returns
// the number of bytes consumed, or 0 if more bytes are needed. eof means that the server has closed the
// connection, which terminates a body without a length.
func ParseResponse(buf []byte, maxBody int, eof bool) (Response, int, error) {
	skipped := 0
	for {
		r, n, err := parseSingleResponse(buf[skipped:], maxBody, eof)
		if err != nil || n == 0 {
			return Response{}, 0, err
		}
		skipped += n
		if !isInterim(r.Status) {
			return r, skipped, nil
		}
	}
}

// isInterim reports whether a status is interim (1xx), so that another response follows.
func isInterim(status int) bool { return status < api.StatusOK }

// parseSingleResponse parses one response, interim or final.
func parseSingleResponse(buf []byte, maxBody int, eof bool) (Response, int, error) {
	h, err := parseHead(buf, maxBody)
	if err != nil || h.headLength == 0 {
		return Response{}, 0, err
	}
	version, rest, ok := strings.Cut(h.line, " ")
	if !ok || (version != "HTTP/1.1" && version != "HTTP/1.0") || len(rest) < 3 {
		return Response{}, 0, ErrMalformed
	}
	status, err := strconv.Atoi(rest[:3])
	if err != nil || status < 100 || status > 599 || (len(rest) > 3 && rest[3] != ' ') {
		return Response{}, 0, ErrMalformed
	}
	r := Response{Status: status, RetryAfter: h.retryAfter, Close: h.close || (version == "HTTP/1.0" && !h.keepAlive)}
	if isInterim(status) || status == api.StatusNoContent || status == api.StatusNotModified { // responses without a body
		return r, h.headLength, nil
	}
	if h.contentLength < 0 && !h.chunked {
		if len(buf)-h.headLength > maxBody {
			return Response{}, 0, ErrTooLarge
		}
		if !eof {
			return Response{}, 0, nil
		}
		h.contentLength, r.Close = len(buf)-h.headLength, true
	}
	body, n, err := parseBody(buf, h, maxBody)
	if err != nil {
		return Response{}, 0, err
	}
	r.Body = body
	return r, n, nil
}
