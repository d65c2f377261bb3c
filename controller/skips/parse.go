package skips

// This file parses and validates requests that change bookings.

import (
	"fmt"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/skipledger"
	"basaltwall/tenant"
)

// Bounds of requests.
const (
	maxTextBytes        = 40
	maxBookingDays      = 400
	maxSkipsPerImport   = 60
	defaultOfferSeconds = 300.0
	maxOfferSeconds     = 3600.0
)

// operationTypes maps the last element of a request's path to the type of operation.
var operationTypes = map[string]skipledger.OpType{
	"offer":   skipledger.OpOffer,
	"promise": skipledger.OpPromise,
	"release": skipledger.OpRelease,
	"deliver": skipledger.OpDeliver,
	"return":  skipledger.OpReturn,
	"out":     skipledger.OpOutOfService,
	"in":      skipledger.OpInService,
	"import":  skipledger.OpAdd,
}

// RequestBody is the body of a request that changes a booking. Its JSON names are the wire format.
type RequestBody struct {
	Name   skipledger.IdempotencyKey `json:"name"`
	Skip   skipledger.SkipID         `json:"skip"`
	Kind   skipledger.Kind           `json:"kind"`
	Number skipledger.BookingID      `json:"number"`
	Site   skipledger.Site           `json:"site"`
	From   string                    `json:"from"`
	To     string                    `json:"to"`
	For    *float64                  `json:"for_s"`
	Skips  []importedSkip            `json:"skips"`
}

// importedSkip is a skip to add to a depot.
type importedSkip struct {
	Skip skipledger.SkipID `json:"skip"`
	Kind skipledger.Kind   `json:"kind"`
}

// invalidField returns the refusal of a request with an invalid field.
func invalidField(field, reason string) error {
	return &tenant.Error{Status: 400, Field: field, Reason: reason}
}

// checkText returns an error if a text is empty, too long or not printable.
func checkText(field, text string) error {
	if text == "" || len(text) > maxTextBytes || !utf8.ValidString(text) {
		return invalidField(field, fmt.Sprintf("must be valid UTF-8 text of 1 to %d bytes", maxTextBytes))
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return invalidField(field, "must be printable")
		}
	}
	return nil
}

// parseRequest parses a request; the error is a *tenant.Error that names the field.
func parseRequest(c message.AdminRequest) (*skipledger.Request, error) {
	var body RequestBody
	if err := core.DecodeRequest(c.Body, &body); err != nil {
		return nil, err
	}
	request := &skipledger.Request{Type: operationTypes[c.Sub], Depot: skipledger.Depot(c.ID), Key: body.Name, Skip: body.Skip,
		Kind: body.Kind, Booking: body.Number, Site: body.Site}
	if err := checkText("depot", c.ID); err != nil {
		return nil, err
	}
	if err := parseOperation(request, &body); err != nil {
		return nil, err
	}
	return request, nil
}

// parseOperation validates the fields that the type of operation requires, and completes the request.
func parseOperation(request *skipledger.Request, body *RequestBody) error {
	switch request.Type {
	case skipledger.OpAdd:
		return parseImport(request, body.Skips)
	case skipledger.OpOffer:
		if err := checkText("name", string(body.Name)); err != nil {
			return err
		}
		if body.Site != "" || body.Number != 0 {
			return invalidField("site", "an offer must not name a site or a number")
		}
		return parseBooking(request, body)
	case skipledger.OpPromise:
		if err := checkText("name", string(body.Name)); err != nil {
			return err
		}
		if err := checkText("site", string(body.Site)); err != nil {
			return err
		}
		if body.Number == 0 {
			return parseBooking(request, body)
		}
		return checkText("skip", string(body.Skip)) // promises an existing offer
	case skipledger.OpOutOfService, skipledger.OpInService:
		return checkText("skip", string(body.Skip))
	default:
		return checkBookingChange(body)
	}
}

// parseImport parses the skips to add to a depot.
func parseImport(request *skipledger.Request, skips []importedSkip) error {
	if len(skips) == 0 || len(skips) > maxSkipsPerImport {
		return invalidField("skips", fmt.Sprintf("must list 1 to %d skips", maxSkipsPerImport))
	}
	for i, s := range skips {
		if err := checkText(fmt.Sprintf("skips[%d].skip", i), string(s.Skip)); err != nil {
			return err
		}
		if err := checkText(fmt.Sprintf("skips[%d].kind", i), string(s.Kind)); err != nil {
			return err
		}
		request.Skips = append(request.Skips, skipledger.Skip{ID: s.Skip, Kind: s.Kind})
	}
	return nil
}

// checkBookingChange validates a change of an existing offer or promise.
func checkBookingChange(body *RequestBody) error {
	if err := checkText("skip", string(body.Skip)); err != nil {
		return err
	}
	if body.Number == 0 {
		return invalidField("number", "must name the offer or promise to change")
	}
	return nil
}

// parseBooking parses a new offer or promise of a given skip, or of any skip of a kind, for a range of days.
func parseBooking(request *skipledger.Request, body *RequestBody) error {
	if (body.Skip == "") == (body.Kind == "") {
		return invalidField("kind", "either a kind or a skip must be given")
	}
	if len(body.Skip) > maxTextBytes || len(body.Kind) > maxTextBytes {
		return invalidField("kind", "too long")
	}
	var err error
	if request.From, err = skipledger.ParseDay(body.From); err != nil {
		return invalidField("from", err.Error())
	}
	if request.To, err = skipledger.ParseDay(body.To); err != nil {
		return invalidField("to", err.Error())
	}
	if request.To <= request.From || request.To > request.From+maxBookingDays {
		return invalidField("to", fmt.Sprintf("must be 1 to %d days after from", maxBookingDays))
	}
	seconds := defaultOfferSeconds
	if body.For != nil {
		seconds = *body.For
	}
	if seconds < 1 || seconds > maxOfferSeconds {
		return invalidField("for_s", fmt.Sprintf("must be between 1 and %.0f", maxOfferSeconds))
	}
	request.OfferDuration = api.Seconds(seconds)
	return nil
}
