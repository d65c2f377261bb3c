package admin

// This file holds the subcommands for skips and their bookings.

import (
	"basaltwall/api"

	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"basaltwall/controller/skips"
	"basaltwall/skipledger"
)

type skipsCmd struct {
	List    struct{}        `cmd:"" help:"Count the skips by depot and kind, with the approximate number free today."`
	Show    skipsShowCmd    `cmd:"" help:"Show a depot's skips with their reservations."`
	Offer   skipsReserveCmd `cmd:"" help:"Reserve a free skip for an enquiry for a limited time."`
	Promise skipsReserveCmd `cmd:"" help:"Promise a free or an offered skip to a building site."`
	Release skipsBookingCmd `cmd:"" help:"Release an offer or a promise."`
	Deliver skipsBookingCmd `cmd:"" help:"Record the delivery of a promised skip."`
	Return  skipsBookingCmd `cmd:"" help:"Record the return of a delivered skip."`
	Out     skipsServiceCmd `cmd:"" help:"Take a skip out of service, so that it gets no new reservations."`
	In      skipsServiceCmd `cmd:"" help:"Return a skip to service."`
	Import  skipsImportCmd  `cmd:"" help:"Add skips from a file with lines DEPOT,SKIP,KIND. Existing skips are not changed."`
}

type skipsShowCmd struct {
	Depot   string `arg:"" help:"The depot."`
	pageCmd `embed:""`
}

type skipsReserveCmd struct {
	Depot  string        `arg:"" help:"The depot."`
	Name   string        `required:"" help:"Idempotency key of the request: a repeated request with the same name gets the same answer."`
	Kind   string        `help:"Any free skip of this kind."`
	Skip   string        `help:"This skip."`
	From   string        `placeholder:"2026-12-01" help:"The first day."`
	To     string        `placeholder:"2026-12-05" help:"The day after the last."`
	Site   string        `help:"The building site, for a promise."`
	Number uint64        `help:"The number of the offer to promise."`
	For    time.Duration `default:"5m" help:"Duration of an offer (1s to 1h)."`
}

type skipsBookingCmd struct {
	Depot  string `arg:"" help:"The depot."`
	Skip   string `arg:"" help:"The skip."`
	Number uint64 `arg:"" help:"The number of the offer or promise."`
}

type skipsServiceCmd struct {
	Depot string `arg:"" help:"The depot."`
	Skip  string `arg:"" help:"The skip."`
}

type skipsImportCmd struct {
	File string `arg:"" help:"The CSV file."`
}

func skipsPath(depot string) string { return "skips/" + url.PathEscape(depot) }

// skips runs a subcommand for skips.
func (c *OperatorCmd) skips(command string) error {
	action, _, _ := strings.Cut(command, " ")
	change := func(depot string, body any) error {
		return c.send(api.MethodPost, skipsPath(depot)+"/"+action, body)
	}
	s := &c.Skips
	switch action {
	case "list":
		return printTable(c, "skips", skipCountsTable)
	case "show":
		return printTable(c, skipsPath(s.Show.Depot)+"?"+s.Show.query(), skipsTable)
	case "offer":
		request := newReserveRequest(&s.Offer)
		holdSeconds := s.Offer.For.Seconds()
		request.HoldSeconds = &holdSeconds
		return change(s.Offer.Depot, request)
	case "promise":
		request := newReserveRequest(&s.Promise)
		request.Site = &s.Promise.Site
		return change(s.Promise.Depot, request)
	case "release":
		return change(s.Release.Depot, s.Release.request())
	case "deliver":
		return change(s.Deliver.Depot, s.Deliver.request())
	case "return":
		return change(s.Return.Depot, s.Return.request())
	case "out":
		return change(s.Out.Depot, skipRequest{Skip: s.Out.Skip})
	case "in":
		return change(s.In.Depot, skipRequest{Skip: s.In.Skip})
	case "import":
		return c.importSkips(s.Import.File)
	}
	return fmt.Errorf("skips %s: %w", action, errUnknownCommand)
}

// newReserveRequest returns a request with the fields shared by offers and promises. With the number of an
// offer, kind and days are omitted, because the offer defines them.
func newReserveRequest(c *skipsReserveCmd) reserveRequest {
	request := reserveRequest{Name: c.Name, Skip: c.Skip, Number: c.Number}
	if c.Number == 0 {
		request.Kind, request.From, request.To = &c.Kind, &c.From, &c.To
	}
	return request
}

func (c skipsBookingCmd) request() bookingRequest {
	return bookingRequest{Number: c.Number, Skip: c.Skip}
}

func skipCountsTable(w io.Writer, v skips.CountsView) {
	writeRow(w, "DEPOT", "KIND", "SKIPS", "FREE TODAY (APPROX.)", "OFFERED", "PROMISED", "OUT OF SERVICE")
	for _, k := range v.Kinds {
		writeRow(w, k.Depot, k.Kind, k.Skips, k.Free, k.Offered, k.Promised, k.OutOfService)
	}
}

func skipsTable(w io.Writer, v skips.PageView) {
	writeRow(w, "SKIP", "KIND", "STATE", "NUMBER", "FROM", "TO", "SITE")
	for _, s := range v.Skips {
		if s.OutOfService {
			writeRow(w, s.Skip, s.Kind, "out of service", "", "", "", "")
		}
		reserved := false
		for _, item := range s.Items {
			if item.Stage == skipledger.Offered || item.Stage == skipledger.Promised || item.Stage == skipledger.Delivered {
				reserved = true
				writeRow(w, s.Skip, s.Kind, item.Stage, strconv.FormatUint(uint64(item.Number), 10), item.From, item.To, item.Site)
			}
		}
		if !reserved && !s.OutOfService {
			writeRow(w, s.Skip, s.Kind, "-", "", "", "", "")
		}
	}
	writeNextPageHint(w, string(v.After))
}
