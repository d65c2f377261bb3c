package admin

// This file holds the import of skips from a file.

import (
	"basaltwall/api"

	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	importPageSize   = 40 // skips in one request
	importAttempts   = 60 // attempts per request; imports share the limited write rate of the key-value store
	importRetryDelay = time.Second
)

// importSkips adds the skips of a CSV file. Each request adds a page of skips of one depot. A repeated
// import does not change existing skips.
func (c *OperatorCmd) importSkips(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	i := skipImport{admin: c, pages: map[string][]importedSkip{}}
	lines := csv.NewReader(f)
	lines.FieldsPerRecord = 3
	for {
		line, err := lines.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if err := i.add(line[0], importedSkip{Skip: line[1], Kind: line[2]}); err != nil {
			return err
		}
	}
	if err := i.flush(); err != nil {
		return err
	}
	fmt.Printf("%d skips imported\n", i.sent)
	return nil
}

// skipImport collects skips by depot and sends the page of a depot when it is full.
type skipImport struct {
	admin  *OperatorCmd
	pages  map[string][]importedSkip // by depot
	depots []string                  // in order of first occurrence in the file
	sent   int                       // number of skips sent
}

// add adds a skip to its depot's page, and sends the page if it is full.
func (i *skipImport) add(depot string, skip importedSkip) error {
	if _, known := i.pages[depot]; !known {
		i.depots = append(i.depots, depot)
	}
	i.pages[depot] = append(i.pages[depot], skip)
	if len(i.pages[depot]) < importPageSize {
		return nil
	}
	return i.send(depot)
}

// flush sends the remaining pages.
func (i *skipImport) flush() error {
	for _, depot := range i.depots {
		if len(i.pages[depot]) == 0 {
			continue
		}
		if err := i.send(depot); err != nil {
			return err
		}
	}
	return nil
}

// send sends a depot's page and clears it. It retries while the service is unavailable.
func (i *skipImport) send(depot string) error {
	for try := 1; ; try++ {
		_, err := i.admin.requestJSON(api.MethodPost, skipsPath(depot)+"/import", importRequest{Skips: i.pages[depot]})
		if err == nil {
			i.sent += len(i.pages[depot])
			i.pages[depot] = nil
			return nil
		}
		if !isUnavailable(err) || try == importAttempts {
			return fmt.Errorf("depot %s, after %d imported skips: %w", depot, i.sent, err)
		}
		time.Sleep(importRetryDelay)
	}
}

// isUnavailable reports whether a request got no response or status 503.
func isUnavailable(err error) bool {
	var refused *RequestError
	return errors.As(err, &refused) && (refused.Status == 0 || refused.Status == api.StatusServiceUnavailable)
}
