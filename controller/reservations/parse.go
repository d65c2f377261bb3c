package reservations

// This file reads changes of reservations from the bodies of requests.

import (
	"fmt"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/reservation"
	"basaltwall/tenant"
)

// Bounds of what may be asked.
const (
	maxTextBytes        = 40
	maxBookingDays      = 400
	maxSkipsPerImport   = 60
	defaultOfferSeconds = 300.0
	maxOfferSeconds     = 3600.0
)

// operationTypes are the changes by the last word of their path.
var operationTypes = map[string]reservation.OpType{
	"offer":   reservation.OpOffer,
	"promise": reservation.OpPromise,
	"release": reservation.OpRelease,
	"deliver": reservation.OpDeliver,
	"return":  reservation.OpReturn,
	"out":     reservation.OpOutOfService,
	"in":      reservation.OpInService,
	"import":  reservation.OpAdd,
}

// RequestBody is what a change brings; its JSON names are the wire.
type RequestBody struct {
	Name   reservation.IdempotencyKey `json:"name"`
	Skip   reservation.SkipID         `json:"skip"`
	Kind   reservation.Kind           `json:"kind"`
	Number reservation.BookingID      `json:"number"`
	Site   reservation.Site           `json:"site"`
	From   string                     `json:"from"`
	To     string                     `json:"to"`
	For    *float64                   `json:"for_s"`
	Skips  []importedSkip             `json:"skips"`
}

// importedSkip is a skip that is added to a depot.
type importedSkip struct {
	Skip reservation.SkipID `json:"skip"`
	Kind reservation.Kind   `json:"kind"`
}

// invalidField refuses a request for what one of its fields holds.
func invalidField(field, reason string) error {
	return &tenant.Error{Status: 400, Field: field, Reason: reason}
}

// checkText refuses a text that is empty, too long or not printable.
func checkText(field, text string) error {
	if text == "" || len(text) > maxTextBytes || !utf8.ValidString(text) {
		return invalidField(field, fmt.Sprintf("must be given, and %d bytes at most", maxTextBytes))
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return invalidField(field, "must be printable")
		}
	}
	return nil
}

// parseRequest reads a change; the error is a *tenant.Error that names the field.
func parseRequest(c message.AdminRequest) (*reservation.Request, error) {
	var body RequestBody
	if err := core.DecodeRequest(c.Body, &body); err != nil {
		return nil, err
	}
	request := &reservation.Request{Type: operationTypes[c.Sub], Depot: reservation.Depot(c.ID), Key: body.Name, Skip: body.Skip,
		Kind: body.Kind, Booking: body.Number, Site: body.Site}
	if err := checkText("depot", c.ID); err != nil {
		return nil, err
	}
	if err := parseOperation(request, &body); err != nil {
		return nil, err
	}
	return request, nil
}

// parseOperation checks what a change of the request's type needs, and completes the request.
func parseOperation(request *reservation.Request, body *RequestBody) error {
	switch request.Type {
	case reservation.OpAdd:
		return parseImport(request, body.Skips)
	case reservation.OpOffer:
		if err := checkText("name", string(body.Name)); err != nil {
			return err
		}
		if body.Site != "" || body.Number != 0 {
			return invalidField("site", "an offer is for no site and of no number yet")
		}
		return parseBooking(request, body)
	case reservation.OpPromise:
		if err := checkText("name", string(body.Name)); err != nil {
			return err
		}
		if err := checkText("site", string(body.Site)); err != nil {
			return err
		}
		if body.Number == 0 {
			return parseBooking(request, body)
		}
		return checkText("skip", string(body.Skip)) // it was offered
	case reservation.OpOutOfService, reservation.OpInService:
		return checkText("skip", string(body.Skip))
	default:
		return checkBookingChange(body)
	}
}

// parseImport reads the skips that are added to a depot.
func parseImport(request *reservation.Request, skips []importedSkip) error {
	if len(skips) == 0 || len(skips) > maxSkipsPerImport {
		return invalidField("skips", fmt.Sprintf("1 to %d at a time", maxSkipsPerImport))
	}
	for i, s := range skips {
		if err := checkText(fmt.Sprintf("skips[%d].skip", i), string(s.Skip)); err != nil {
			return err
		}
		if err := checkText(fmt.Sprintf("skips[%d].kind", i), string(s.Kind)); err != nil {
			return err
		}
		request.Skips = append(request.Skips, reservation.Skip{ID: s.Skip, Kind: s.Kind})
	}
	return nil
}

// checkBookingChange checks a change of an offer or a promise that exists.
func checkBookingChange(body *RequestBody) error {
	if err := checkText("skip", string(body.Skip)); err != nil {
		return err
	}
	if body.Number == 0 {
		return invalidField("number", "must name the offer or promise that is changed")
	}
	return nil
}

// parseBooking reads a new offer or promise: of a skip or of any of a kind, for some days.
func parseBooking(request *reservation.Request, body *RequestBody) error {
	if (body.Skip == "") == (body.Kind == "") {
		return invalidField("kind", "either a kind or a skip must be given")
	}
	if len(body.Skip) > maxTextBytes || len(body.Kind) > maxTextBytes {
		return invalidField("kind", "too long")
	}
	var err error
	if request.From, err = reservation.ParseDay(body.From); err != nil {
		return invalidField("from", err.Error())
	}
	if request.To, err = reservation.ParseDay(body.To); err != nil {
		return invalidField("to", err.Error())
	}
	if request.To <= request.From || request.To > request.From+maxBookingDays {
		return invalidField("to", fmt.Sprintf("must be after from, by %d days at most", maxBookingDays))
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
