package api

// HTTP status codes. They are declared here so that the program, which has its own HTTP parser, does not
// link package net/http only for its constants.
const (
	StatusOK                    = 200
	StatusCreated               = 201
	StatusNoContent             = 204
	StatusNotModified           = 304
	StatusBadRequest            = 400
	StatusUnauthorized          = 401
	StatusForbidden             = 403
	StatusNotFound              = 404
	StatusMethodNotAllowed      = 405
	StatusConflict              = 409
	StatusGone                  = 410
	StatusRequestEntityTooLarge = 413
	StatusMisdirectedRequest    = 421
	StatusUnprocessableEntity   = 422
	StatusTooManyRequests       = 429
	StatusInternalServerError   = 500
	StatusServiceUnavailable    = 503
	StatusGatewayTimeout        = 504
)

// HTTP methods.
const (
	MethodGet  = "GET"
	MethodPost = "POST"
	MethodPut  = "PUT"
	Methods    = "S"
)
