// Package httpx owns HTTP/1.1: an incremental parser for requests and
// responses, the evio server and the client pool. It decides nothing about
// what the messages mean.
package httpx

import (
	"bytes"
	"errors"
	"net/netip"
	"strconv"
	"strings"
)

// Limits on what is accepted from the other side.
const (
	maxHead = 16 << 10
)

// Errors of the parser. ErrTooLarge is answered with 413, the others with 400.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrTooLarge  = errors.New("HTTP message too large")
)

// Request is a parsed request. Body is a copy of its own.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
	Expect              bool       // the client waits for 100 Continue
	Auth                string     // the Authorization header
	Forwarded           string     // X-Forwarded-For: whoever sends it may say anything
	From                netip.Addr // the connection's other end; set by the server
}

// Response is a parsed response. Body is a copy of its own.
type Response struct {
	Status     int
	Body       []byte
	Close      bool
	RetryAfter int // in seconds; 0 if not said, or as a date
}

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

// parseHead reads the start line and the headers; size 0 means more is needed.
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
		var l string
		l, lines, _ = strings.Cut(lines, "\r\n")
		name, value, ok := strings.Cut(l, ":")
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

// setHeader notes a header that bears on how the message is read; others are passed over.
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
		for tok := range strings.SplitSeq(value, ",") {
			tok = strings.TrimSpace(tok)
			h.close = h.close || strings.EqualFold(tok, "close")
			h.keepAlive = h.keepAlive || strings.EqualFold(tok, "keep-alive")
		}
	case strings.EqualFold(name, "Authorization"):
		if h.auth != "" {
			value = h.auth + "," + value // of two keys none is the one that counts
		}
		h.auth = value
	case strings.EqualFold(name, "X-Forwarded-For"):
		if h.forwarded != "" {
			value = h.forwarded + "," + value
		}
		h.forwarded = value
	case strings.EqualFold(name, "Retry-After"):
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			h.retryAfter = s
		}
	case strings.EqualFold(name, "Expect"):
		h.expect = strings.EqualFold(value, "100-continue")
	}
	return nil
}

// parseBody reads what follows the head; n 0 means more is needed.
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
			if len(buf)-at > 1024 {
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

// skipTrailer skips the lines that may follow the last chunk.
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

// ParseRequest reads one request from the start of buf. It returns the bytes
// it used, or 0 when more are needed. With more needed and Expect set, the
// client waits for an interim answer before sending its body.
func ParseRequest(buf []byte, maxBody int) (Request, int, error) {
	h, err := parseHead(buf, maxBody)
	if err != nil || h.headLength == 0 {
		return Request{}, 0, err
	}
	parts := strings.Split(h.line, " ")
	if len(parts) != 3 || parts[0] == "" || !validTarget(parts[1]) {
		return Request{}, 0, ErrMalformed
	}
	r := Request{Method: parts[0], Close: h.close, Expect: h.expect, Auth: h.auth, Forwarded: h.forwarded}
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

// ParseResponse reads one response from the start of buf; eof says that the
// other side has closed, which ends a body of unstated length.
func ParseResponse(buf []byte, maxBody int, eof bool) (Response, int, error) {
	skipped := 0
	for {
		r, n, err := parseSingleResponse(buf[skipped:], maxBody, eof)
		if err != nil || n == 0 {
			return Response{}, 0, err
		}
		skipped += n
		if r.Status >= 200 {
			return r, skipped, nil
		}
		// An interim answer: the real one follows.
	}
}

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
	if status < 200 || status == 204 || status == 304 {
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

var statusText = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse writes a response with a JSON body. A retryAfter above 0
// adds the header of that name, in seconds.
func AppendResponse(out []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, statusText[status]...)
	out = append(out, "\r\nContent-Type: application/json\r\n"...)
	if retryAfter > 0 {
		out = append(out, "Retry-After: "...)
		out = strconv.AppendInt(out, int64(retryAfter), 10)
		out = append(out, "\r\n"...)
	}
	return appendTail(out, body, closing)
}

// AppendRequest writes a request; auth is the Authorization header, if any.
func AppendRequest(out []byte, method, host, target, auth string, body []byte) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	out = append(out, "\r\nContent-Type: application/json\r\n"...)
	if auth != "" {
		out = append(out, "Authorization: "...)
		out = append(out, auth...)
		out = append(out, "\r\n"...)
	}
	return appendTail(out, body, false)
}

func appendTail(out, body []byte, closing bool) []byte {
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}
