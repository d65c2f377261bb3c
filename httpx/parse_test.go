package httpx

import (
	"bytes"
	"errors"
	"testing"
)

func TestParseRequest(t *testing.T) {
	cases := []struct {
		name, in string
		want     Request
		used     bool
		err      error
	}{
		{"without a body", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", Request{Method: "GET", Path: "/ready"}, true, nil},
		{"query and body", "POST /a?b=c HTTP/1.1\r\ncontent-length: 3\r\n\r\nxyzGET", Request{Method: "POST", Path: "/a", Query: "b=c", Body: []byte("xyz")}, true, nil},
		{"Connection: close", "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", Request{Method: "GET", Path: "/", Close: true}, true, nil},
		{"HTTP/1.0 closes the connection", "GET / HTTP/1.0\r\n\r\n", Request{Method: "GET", Path: "/", Close: true}, true, nil},
		{"chunked body", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n", Request{Method: "POST", Path: "/", Body: []byte("abc")}, true, nil},
		{"incomplete head", "GET / HTTP/1.1\r\nHos", Request{}, false, nil},
		{"incomplete body", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", Request{}, false, nil},
		{"incomplete chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", Request{}, false, nil},
		{"body too large", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", Request{}, false, ErrTooLarge},
		{"chunked body too large", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n", Request{}, false, ErrTooLarge},
		{"conflicting lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", Request{}, false, ErrMalformed},
		{"length and chunked encoding", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Request{}, false, ErrMalformed},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Request{}, false, ErrMalformed},
		{"space in header name", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", Request{}, false, ErrMalformed},
		{"missing version", "GET /\r\n\r\n", Request{}, false, ErrMalformed},
		{"unsupported version", "GET / HTTP/2.0\r\n\r\n", Request{}, false, ErrMalformed},
		{"relative target", "GET ready HTTP/1.1\r\n\r\n", Request{}, false, ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, n, err := ParseRequest([]byte(c.in), 100)
			if !errors.Is(err, c.err) || (n > 0) != c.used {
				t.Fatalf("consumed %d bytes, err %v", n, err)
			}
			if c.used && (r.Method != c.want.Method || r.Path != c.want.Path || r.Query != c.want.Query || r.Close != c.want.Close || !bytes.Equal(r.Body, c.want.Body)) {
				t.Errorf("%+v", r)
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	cases := []struct {
		name, in string
		eof      bool
		status   int
		body     string
		err      error
	}{
		{"content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 200, "ok", nil},
		{"no reason phrase", "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", false, 404, "", nil},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx", false, 201, "x", nil},
		{"body ends at connection close", "HTTP/1.1 200 OK\r\n\r\nrest", true, 200, "rest", nil},
		{"connection still open", "HTTP/1.1 200 OK\r\n\r\nrest", false, 0, "", nil},
		{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, 200, "abc", nil},
		{"status is not a number", "HTTP/1.1 abc\r\n\r\n", false, 0, "", ErrMalformed},
		{"not HTTP", "SSH-2.0 x\r\n\r\n", false, 0, "", ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, n, err := ParseResponse([]byte(c.in), 100, c.eof)
			if !errors.Is(err, c.err) || r.Status != c.status || string(r.Body) != c.body || (n > 0) != (c.status > 0) {
				t.Errorf("%+v, consumed %d bytes, err %v", r, n, err)
			}
		})
	}
}

// FuzzParseRequest checks that ParseRequest neither panics nor consumes more bytes than given, and that a
// truncated request is reported as incomplete.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a?b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz"), 20)
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 50)
	f.Add([]byte("GET / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		r, n, err := ParseRequest(in, 1000)
		if n < 0 || n > len(in) || err != nil && n != 0 || len(r.Body) > 1000 {
			t.Fatalf("consumed %d of %d bytes, err %v", n, len(in), err)
		}
		if n > 0 && cut >= 0 && cut < n {
			if _, early, err := ParseRequest(in[:cut], 1000); early != 0 || err != nil {
				t.Fatalf("complete after %d of %d bytes: %v", cut, n, err)
			}
		}
	})
}

// FuzzParseResponse checks that ParseResponse neither panics nor consumes more bytes than given.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nx"), true)
	f.Fuzz(func(t *testing.T, in []byte, eof bool) {
		r, n, err := ParseResponse(in, 1000, eof)
		if n < 0 || n > len(in) || err != nil && n != 0 || len(r.Body) > 1000 {
			t.Fatalf("consumed %d of %d bytes, err %v", n, len(in), err)
		}
	})
}
