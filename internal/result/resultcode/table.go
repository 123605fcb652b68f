package resultcode

import "net/http"

const internalError = http.StatusInternalServerError

// Result codes: the outcome is Complete for 1xx, NotRun for 2xx and Unknown for
// 3xx.
const (
	// OK means that the whole answer was delivered.
	OK Code = 100
	// OKLength means that the whole answer was delivered and ends at the caller's
	// MaxTokens.
	OKLength Code = 101

	// InvalidRequest means that the request is malformed or invalid.
	InvalidRequest Code = 200
	// UnknownService means that the configuration has no service with that name.
	UnknownService Code = 201
	// AccountRefused means that the client account is unknown or may not use the
	// class.
	AccountRefused Code = 202
	// RateLimited means that the client account exceeds its request rate.
	RateLimited Code = 203
	// QueueFull means that the queue of the backend server is full.
	QueueFull Code = 204
	// NoBackend means that no live backend server serves the request.
	NoBackend Code = 205
	// Leaving means that the process is draining and accepts no new work.
	Leaving Code = 206
	// LogUnavailable means that the request needs the platform's log, which is
	// unavailable.
	LogUnavailable Code = 207
	// DeadlinePassed means that the deadline passed before the request started.
	DeadlinePassed Code = 208
	// BodyTooLarge means that the request body exceeds the limit.
	BodyTooLarge Code = 209
	// EntryFull means that the entry host has no room for the request.
	EntryFull Code = 210
	// NotOwner means that the permit names another incarnation.
	NotOwner Code = 211
	// RetriesSpent means that every attempt was refused.
	RetriesSpent Code = 212
	// EngineRefused means that the engine did not start the request.
	EngineRefused Code = 213
	// NotConfigured means that no configuration is in force yet.
	NotConfigured Code = 214
	// KeyRequired means that the idempotency key is missing or malformed.
	KeyRequired Code = 215
	// UnknownRequest means that no decision record of the requested request is
	// held.
	UnknownRequest Code = 216
	// KeyUnknown means that the API key belongs to no client account.
	KeyUnknown Code = 217
	// ConfigurationStale means that the configuration is too old for the request
	// to be accepted.
	ConfigurationStale Code = 218
	// EnginesFull means that no engine had memory for the request while it could
	// still be on time.
	EnginesFull Code = 219
	// ServersLimited means that every backend server that could take the request is held
	// back by the rate limit that it has named.
	ServersLimited Code = 220
	// RequestQuarantined means that backend servers crash under requests that have something in
	// common with this one.
	RequestQuarantined Code = 221

	// GenerationLost means that the generation was lost together with its owner.
	GenerationLost Code = 300
	// OwnerSilent means that the owner does not answer and may have run the
	// request.
	OwnerSilent Code = 301
	// DeadlineCut means that the deadline passed during the generation.
	DeadlineCut Code = 302
	// KeyExpired means that the idempotency key is older than the key window.
	KeyExpired Code = 303
	// EngineFailed means that the engine failed during the generation.
	EngineFailed Code = 304
	// ReplyLost means that the reply of the plain service was lost.
	ReplyLost Code = 305
	// NotHeld means that the generation is no longer held for replay.
	NotHeld Code = 306
	// Cancelled means that the caller disconnected or cancelled the request.
	Cancelled Code = 307
	// KeySpent means that the idempotency key is bound to an owner that no longer
	// exists.
	KeySpent Code = 308
	// DrainCut means that a drain ended before the request did.
	DrainCut Code = 309
)

// table lists all result codes in ascending order. docs/RESULT-CODES.md lists the
// same rows.
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
	{EntryFull, "EntryFull", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The entry host has no room for the request."},
	{NotOwner, "NotOwner", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The permit names another incarnation."},
	{RetriesSpent, "RetriesSpent", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "Every attempt was refused."},
	{EngineRefused, "EngineRefused", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The engine did not start the request."},
	{NotConfigured, "NotConfigured", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "No configuration is in force yet."},
	{KeyRequired, "KeyRequired", NotRun, RepeatNever, http.StatusBadRequest, false, "The request needs an idempotency key that is a UUID of version 7."},
	{UnknownRequest, "UnknownRequest", NotRun, RepeatNever, http.StatusNotFound, false, "No decision record of the request is held here."},
	{KeyUnknown, "KeyUnknown", NotRun, RepeatNever, http.StatusUnauthorized, false, "No client account holds the key."},
	{ConfigurationStale, "ConfigurationStale", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "The configuration is too old to vouch for the request."},
	{EnginesFull, "EnginesFull", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "No engine has memory for the request."},
	{ServersLimited, "ServersLimited", NotRun, RepeatSafe, http.StatusServiceUnavailable, true, "Every backend server that could take the request is at the rate limit that it has named, or has asked for a pause."},
	{RequestQuarantined, "RequestQuarantined", NotRun, RepeatNever, http.StatusServiceUnavailable, false, "Backend servers crash when they begin to run requests that have a part of the prompt, the body or all words in common with this one."},

	{GenerationLost, "GenerationLost", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The generation was lost with its owner; what was delivered is not continued."},
	{OwnerSilent, "OwnerSilent", Unknown, RepeatWithKey, http.StatusGatewayTimeout, true, "The owner may have run the request and does not answer."},
	{DeadlineCut, "DeadlineCut", Unknown, RepeatWithKey, http.StatusGatewayTimeout, false, "The deadline passed during the generation."},
	{KeyExpired, "KeyExpired", Unknown, RepeatNever, http.StatusConflict, false, "The idempotency key is older than the key window."},
	{EngineFailed, "EngineFailed", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The engine failed during the generation."},
	{ReplyLost, "ReplyLost", Unknown, RepeatWithKey, http.StatusBadGateway, false, "The reply of the plain service was lost."},
	{NotHeld, "NotHeld", Unknown, RepeatWithKey, http.StatusGone, false, "The generation is no longer held for replay."},
	{Cancelled, "Cancelled", Unknown, RepeatWithKey, 499, false, "The caller went away."},
	{KeySpent, "KeySpent", Unknown, RepeatNever, http.StatusConflict, false, "The key is bound to an owner that is gone; whether it ran is not known."},
	{DrainCut, "DrainCut", Unknown, RepeatWithKey, http.StatusBadGateway, false, "A drain ended before the request did."},
}
