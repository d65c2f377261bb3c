package admin

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltwall/controller/message"
	"basaltwall/controller/reservations"
	"basaltwall/httpx"
	"basaltwall/reservation"
)

// skipsCommand is what a request for skips asks: GET skips counts them, GET skips/DEPOT lists
// a depot's, POST skips/DEPOT/WHAT changes one.
func skipsCommand(ask message.AdminRequest, parts []string, r httpx.Request) (message.Command, int) {
	method := "GET"
	switch {
	case len(parts) == 1:
	case len(parts) == 2 && parts[1] != "":
		var ok bool
		if ask.After, ask.Limit, ok = ParsePage(r); !ok {
			return nil, 400
		}
	case len(parts) == 3 && parts[1] != "" && slices.Contains([]string{"offer", "promise", "release", "deliver", "return", "out", "in", "import"}, parts[2]):
		ask.What, ask.Sub, method = message.AdminChangeReservation, parts[2], "POST"
	default:
		return nil, 404
	}
	if len(parts) > 1 {
		depot, err := url.PathUnescape(parts[1])
		if err != nil {
			return nil, 400
		}
		ask.ID = depot
	}
	if r.Method != method {
		return nil, 405
	}
	return ask, 0
}

type skipsCmd struct {
	List    struct{}     `cmd:"" help:"Count the skips by depot and kind: about how many are free today."`
	Show    skipsShowCmd `cmd:"" help:"Show a depot's skips with what holds them."`
	Offer   skipsAskCmd  `cmd:"" help:"Hold a free skip for an enquiry, for a time."`
	Promise skipsAskCmd  `cmd:"" help:"Promise a skip to a building site, a free one or one that was offered."`
	Release skipsNumCmd  `cmd:"" help:"Release an offer or a promise."`
	Deliver skipsNumCmd  `cmd:"" help:"Note that a promised skip was delivered."`
	Return  skipsNumCmd  `cmd:"" help:"Note that a delivered skip is back."`
	Out     skipsOneCmd  `cmd:"" help:"Take a skip out of service: nothing new is promised of it."`
	In      skipsOneCmd  `cmd:"" help:"Put a skip into service again."`
	Import  skipsFileCmd `cmd:"" help:"Add skips from a file with lines DEPOT,SKIP,KIND; those that are there already stay."`
}

type skipsShowCmd struct {
	Depot   string `arg:"" help:"The depot."`
	pageCmd `embed:""`
}

type skipsAskCmd struct {
	Depot  string        `arg:"" help:"The depot."`
	Name   string        `required:"" help:"A name of yours for the request; to repeat it with the same gets the same answer."`
	Kind   string        `help:"Any free skip of this kind."`
	Skip   string        `help:"This skip."`
	From   string        `placeholder:"2026-12-01" help:"The first day."`
	To     string        `placeholder:"2026-12-05" help:"The day after the last."`
	Site   string        `help:"The building site, for a promise."`
	Number uint64        `help:"The number of the offer that is taken, for a promise."`
	For    time.Duration `default:"5m" help:"For how long an offer is held (1s to 1h)."`
}

type skipsNumCmd struct {
	Depot  string `arg:"" help:"The depot."`
	Skip   string `arg:"" help:"The skip."`
	Number uint64 `arg:"" help:"The number of the offer or promise."`
}

type skipsOneCmd struct {
	Depot string `arg:"" help:"The depot."`
	Skip  string `arg:"" help:"The skip."`
}

type skipsFileCmd struct {
	File string `arg:"" help:"The file."`
}

// skips runs a subcommand on skips.
func (c *Cmd) skips(command string) error {
	do, _, _ := strings.Cut(command, " ")
	post := func(depot string, body map[string]any) error {
		return c.send("POST", "skips/"+url.PathEscape(depot)+"/"+do, body)
	}
	s := &c.Skips
	switch do {
	case "list":
		return printTable(c, "skips", skipCountsTable)
	case "show":
		return printTable(c, "skips/"+url.PathEscape(s.Show.Depot)+"?"+s.Show.query(), skipsTable)
	case "offer", "promise":
		a := s.Offer
		body := map[string]any{}
		if do == "promise" {
			a = s.Promise
			body["site"] = a.Site
		} else {
			body["for_s"] = a.For.Seconds()
		}
		body["name"], body["skip"] = a.Name, a.Skip
		if a.Number != 0 {
			body["number"] = a.Number
		} else {
			body["kind"], body["from"], body["to"] = a.Kind, a.From, a.To
		}
		return post(a.Depot, body)
	case "release", "deliver", "return":
		a := map[string]skipsNumCmd{"release": s.Release, "deliver": s.Deliver, "return": s.Return}[do]
		return post(a.Depot, map[string]any{"skip": a.Skip, "number": a.Number})
	case "out", "in":
		a := s.Out
		if do == "in" {
			a = s.In
		}
		return post(a.Depot, map[string]any{"skip": a.Skip})
	case "import":
		return c.importSkips(s.Import.File)
	}
	return fmt.Errorf("skips %s: no such command", do)
}

// importPage is how many skips are sent at once, importTries how often one page is tried: an
// import waits for its part of the writes.
const (
	importPage  = 40
	importTries = 60
)

// importSkips adds the skips of a file, a page of one depot at a time. It can be run again:
// what is there already stays as it is.
func (c *Cmd) importSkips(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := csv.NewReader(f)
	lines.FieldsPerRecord = 3
	type one struct {
		Skip string `json:"skip"`
		Kind string `json:"kind"`
	}
	pages := map[string][]one{}
	var order []string
	sent := 0
	send := func(depot string) error {
		for try := 1; ; try++ {
			data := map[string]any{"skips": pages[depot]}
			err := c.sendQuiet("POST", "skips/"+url.PathEscape(depot)+"/import", data)
			var r *RequestError
			if err == nil {
				sent += len(pages[depot])
				pages[depot] = nil
				return nil
			}
			if !errors.As(err, &r) || r.Status != 0 && r.Status != 503 || try == importTries {
				return fmt.Errorf("depot %s, after %d skips: %w", depot, sent, err)
			}
			time.Sleep(time.Second)
		}
	}
	for {
		l, err := lines.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if _, known := pages[l[0]]; !known {
			order = append(order, l[0])
		}
		if pages[l[0]] = append(pages[l[0]], one{l[1], l[2]}); len(pages[l[0]]) == importPage {
			if err := send(l[0]); err != nil {
				return err
			}
		}
	}
	for _, depot := range order {
		if len(pages[depot]) > 0 {
			if err := send(depot); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d skips\n", sent)
	return nil
}

func skipCountsTable(w io.Writer, v reservations.CountsView) {
	writeRow(w, "DEPOT", "KIND", "SKIPS", "FREE TODAY, ABOUT", "OFFERED", "PROMISED", "OUT")
	for _, k := range v.Kinds {
		writeRow(w, k.Depot, k.Kind, k.Skips, k.Free, k.Offered, k.Promised, k.OutOfService)
	}
}

func skipsTable(w io.Writer, v reservations.SkipsView) {
	writeRow(w, "SKIP", "KIND", "STATE", "NUMBER", "FROM", "TO", "SITE")
	for _, s := range v.Skips {
		if s.OutOfService {
			writeRow(w, s.Skip, s.Kind, "out of service", "", "", "", "")
		}
		held := false
		for _, x := range s.Items {
			if x.Stage == reservation.Offered || x.Stage == reservation.Promised || x.Stage == reservation.Delivered {
				held = true
				writeRow(w, s.Skip, s.Kind, x.Stage, strconv.FormatUint(uint64(x.Number), 10), x.From, x.To, x.Site)
			}
		}
		if !held && !s.OutOfService {
			writeRow(w, s.Skip, s.Kind, "-", "", "", "", "")
		}
	}
	writeNextPageHint(w, string(v.After))
}
