package api

// Status codes of HTTP, as every peer of the protocol uses them. They are declared here so that the
// service, which has an HTTP parser of its own, does not link package net/http for its constants.
const (
	StatusOK                  = 200
	StatusCreated             = 201
	StatusBadRequest          = 400
	StatusNotFound            = 404
	StatusConflict            = 409
	StatusGone                = 410
	StatusUnprocessableEntity = 422
	StatusTooManyRequests     = 429
	StatusServiceUnavailable  = 503
)
