package resultcode

import "net/http"

const internalError = http.StatusInternalServerError

// Result codes: 1xx complete, 2xx not run, 3xx unknown.
const (
	// OK is the result of a whole answer.
	OK Code = 100
	// OKLength is a whole answer that ends at the caller's MaxTokens.
	OKLength Code = 101

	// InvalidRequest reports faults in the request.
	InvalidRequest Code = 200
	// UnknownService reports a service that the configuration does not name.
	UnknownService Code = 201
	// AccountRefused reports an unknown client account or a class it may not use.
	AccountRefused Code = 202
	// RateLimited reports a client account over its rate.
	RateLimited Code = 203
	// QueueFull reports a full waiting queue at the backend server.
	QueueFull Code = 204
	// NoBackend reports that no live backend server serves the request.
	NoBackend Code = 205
	// Leaving reports a process that accepts no new work.
	Leaving Code = 206
	// LogUnavailable reports that the platform's log is needed and down.
	LogUnavailable Code = 207
	// DeadlinePassed reports a deadline that passed before the start.
	DeadlinePassed Code = 208
	// BodyTooLarge reports a request body over the limit.
	BodyTooLarge Code = 209
	// EntryFull reports an entry host with too many open requests.
	EntryFull Code = 210
	// NotOwner reports a permit for another incarnation.
	NotOwner Code = 211
	// RetriesSpent reports that every attempt was refused.
	RetriesSpent Code = 212
	// EngineRefused reports an engine that did not start the request.
	EngineRefused Code = 213
	// NotConfigured reports that no configuration is in force yet.
	NotConfigured Code = 214
	// KeyRequired reports a missing or malformed idempotency key.
	KeyRequired Code = 215
	// UnknownRequest reports a question about a request of which no record is held.
	UnknownRequest Code = 216
	// KeyUnknown reports a key that no client account holds.
	KeyUnknown Code = 217
	// ConfigurationStale reports a configuration that is too old to vouch for
	// the request.
	ConfigurationStale Code = 218

	// GenerationLost reports a generation that ended with its owner.
	GenerationLost Code = 300
	// OwnerSilent reports an owner that may have run the request and does not answer.
	OwnerSilent Code = 301
	// DeadlineCut reports a deadline that passed during the generation.
	DeadlineCut Code = 302
	// KeyExpired reports an idempotency key older than the key window.
	KeyExpired Code = 303
	// EngineFailed reports an engine that failed during the generation.
	EngineFailed Code = 304
	// ReplyLost reports a plain service whose reply was lost.
	ReplyLost Code = 305
	// NotHeld reports a generation that is no longer held for replay.
	NotHeld Code = 306
	// Cancelled reports a caller that went away or cancelled.
	Cancelled Code = 307
	// KeySpent reports a key bound to an owner that is gone.
	KeySpent Code = 308
	// DrainCut reports a generation cut by the operator's drain deadline.
	DrainCut Code = 309
)

var table = []Info{
	{OK, "OK", Complete, RepeatWithKey, http.StatusOK, false, "The whole answer was delivered."},
	{OKLength, "OKLength", Complete, RepeatWithKey, http.StatusOK, false, "The answer ends at the caller's limit of tokens."},

	{InvalidRequest, "InvalidRequest", NotRun, RepeatNever, http.StatusBadRequest, false, "The request has faults."},
	{UnknownService, "UnknownService", NotRun, RepeatNever, http.StatusNotFound, false, "The configuration names no such service."},
	{AccountRefused, "AccountRefused", NotRun, RepeatNever, http.StatusForbidden, false, "The client account is unknown or may not use the class."},
	{RateLimited, "RateLimited", NotRun, RepeatSafe, http.StatusTooManyRequests, true, "The client account is over its rate."},
	{QueueFull, "QueueFull", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The waiting queue of the backend server is full."},
	{NoBackend, "NoBackend", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "No live backend server serves the request."},
	{Leaving, "Leaving", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The process accepts no new work."},
	{LogUnavailable, "LogUnavailable", NotRun, RepeatWithKey, http.StatusServiceUnavailable, true, "The platform's log is down, and the request may not be repeated."},
	{DeadlinePassed, "DeadlinePassed", NotRun, RepeatSafe, http.StatusGatewayTimeout, false, "The deadline passed before the start."},
	{BodyTooLarge, "BodyTooLarge", NotRun, RepeatNever, http.StatusRequestEntityTooLarge, false, "The request body is over the limit."},
	{EntryFull, "EntryFull", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The entry host has too many open requests."},
	{NotOwner, "NotOwner", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The permit names another incarnation."},
	{RetriesSpent, "RetriesSpent", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "Every attempt was refused."},
	{EngineRefused, "EngineRefused", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The engine did not start the request."},
	{NotConfigured, "NotConfigured", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "No configuration is in force yet."},
	{KeyRequired, "KeyRequired", NotRun, RepeatNever, http.StatusBadRequest, false, "The request needs an idempotency key that is a UUID of version 7."},
	{UnknownRequest, "UnknownRequest", NotRun, RepeatNever, http.StatusNotFound, false, "No decision record of the request is held here."},
	{KeyUnknown, "KeyUnknown", NotRun, RepeatNever, http.StatusUnauthorized, false, "No client account holds the key."},
	{ConfigurationStale, "ConfigurationStale", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The configuration is too old to vouch for the request."},

	{GenerationLost, "GenerationLost", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The generation was lost with its owner; what was delivered is not continued."},
	{OwnerSilent, "OwnerSilent", Unknown, RepeatWithKey, http.StatusGatewayTimeout, true, "The owner may have run the request and does not answer."},
	{DeadlineCut, "DeadlineCut", Unknown, RepeatWithKey, http.StatusGatewayTimeout, false, "The deadline passed during the generation."},
	{KeyExpired, "KeyExpired", Unknown, RepeatNever, http.StatusConflict, false, "The idempotency key is older than the key window."},
	{EngineFailed, "EngineFailed", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The engine failed during the generation."},
	{ReplyLost, "ReplyLost", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The reply of the plain service was lost."},
	{NotHeld, "NotHeld", Unknown, RepeatWithKey, http.StatusGone, false, "The generation is no longer held for replay."},
	{Cancelled, "Cancelled", Unknown, RepeatWithKey, 499, false, "The caller went away."},
	{KeySpent, "KeySpent", Unknown, RepeatNever, http.StatusConflict, false, "The key is bound to an owner that is gone; whether it ran is not known."},
	{DrainCut, "DrainCut", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The operator's drain deadline cut the generation."},
}
