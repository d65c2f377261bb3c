package exactjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// maxDepth is the depth of nesting up to which values are retained. No known field is nested as deeply.
const maxDepth = 1000

// limitDepth replaces the arrays and objects nested more deeply than maxDepth by null. It reports false if
// there are none, or if the data is not valid JSON.
func limitDepth(data []byte) ([]byte, bool) {
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber()
	var shallow []byte
	depth, copied := 0, int64(0)
	for {
		token, err := tokens.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, false
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
			if depth == maxDepth+1 {
				start := tokens.InputOffset() - 1
				shallow = append(shallow, data[copied:start]...)
				shallow = append(shallow, "null"...)
			}
		case json.Delim(']'), json.Delim('}'):
			if depth == maxDepth+1 {
				copied = tokens.InputOffset()
			}
			depth--
		}
	}
	if depth != 0 || copied == 0 {
		return nil, false
	}
	return append(shallow, data[copied:]...), true
}
