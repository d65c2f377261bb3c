package httpx

// This file encodes requests and responses.

import (
	"basaltwall/api"

	"strconv"
)

// statusText holds the HTTP reason phrases, by status.
var statusText = map[int]string{
	api.StatusOK:                    "OK",
	api.StatusCreated:               "Created",
	api.StatusBadRequest:            "Bad Request",
	api.StatusUnauthorized:          "Unauthorized",
	api.StatusForbidden:             "Forbidden",
	api.StatusNotFound:              "Not Found",
	api.StatusMethodNotAllowed:      "Method Not Allowed",
	api.StatusConflict:              "Conflict",
	api.StatusRequestEntityTooLarge: "Content Too Large",
	api.StatusMisdirectedRequest:    "Misdirected Request",
	api.StatusUnprocessableEntity:   "Unprocessable Content",
	api.StatusTooManyRequests:       "Too Many Requests",
	api.StatusInternalServerError:   "Internal Server Error",
	api.StatusServiceUnavailable:    "Service Unavailable",
	api.StatusGatewayTimeout:        "Gateway Timeout",
}

// AppendResponse appends a response with a JSON body to out. A retryAfter above 0 adds the Retry-After
// header, in seconds; closing adds the header Connection: close.
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

// AppendRequest appends a request with a JSON body to out. A non-empty auth is sent as the Authorization
// header.
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

// appendTail appends the Connection and Content-Length headers and the body.
func appendTail(out, body []byte, closing bool) []byte {
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "Content-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}
