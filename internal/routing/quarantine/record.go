package quarantine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// recordVersion is the version of the format of records. Others are not read.
	recordVersion = 1
	// maxKeyBytes bounds the key of a record.
	maxKeyBytes = 200
)

// The keys of records begin with their kind. What follows is a slot or a trait.
const (
	reportPrefix    = "crash/"
	proofPrefix     = "proof/"
	clearancePrefix = "clear/"
	usePrefix       = "use/"
	trialPrefix     = "trial/"
	probePrefix     = "probe/"
)

func reportKey(slot int) string                { return reportPrefix + strconv.Itoa(slot) }
func proofKey(trait string) string             { return proofPrefix + trait }
func clearanceKey(trait string) string         { return clearancePrefix + trait }
func useKey(trait string) string               { return usePrefix + trait }
func trialKey(trait string) string             { return trialPrefix + trait }
func probeKey(trait string) string             { return probePrefix + trait }
func cutKey(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }

// reportValue, proofValue, clearanceValue, useValue, trialValue and probeValue are the values of records;
// their keys hold the rest.
type reportValue struct {
	Version      int
	Server       string
	AtUnixMillis int64
	Suspects     []Suspect
}

type proofValue struct {
	Version int
	Depth   int
	Crashes []ProofCrash
}

type clearanceValue struct {
	Version           int
	ThroughUnixMillis int64
	Released          bool
}

type useValue struct {
	Version         int
	UntilUnixMillis int64
}

type trialValue struct {
	Version             int
	Host                uint64
	Count               int
	ClaimedAtUnixMillis int64
}

type probeValue struct {
	Version          int
	Host             uint64
	SentAtUnixMillis int64
}

// KeyOf returns the key of the record of a change. A later record with the same key replaces it.
func KeyOf(c Change) string {
	switch c := c.(type) {
	case Report:
		return reportKey(c.Slot)
	case Proof:
		return proofKey(c.Trait)
	case Clearance:
		return clearanceKey(c.Trait)
	case Use:
		return useKey(c.Trait)
	case Trial:
		return trialKey(c.Trait)
	case Probe:
		return probeKey(c.Trait)
	case Deletion:
		return c.Key
	default:
		return ""
	}
}

// Encode returns the key and the value of the record of a change. It returns false when the
// names in it cannot be recorded.
func Encode(c Change) (key string, value []byte, valid bool) {
	key = KeyOf(c)
	var record any
	switch c := c.(type) {
	case Report:
		record = reportValue{recordVersion, c.Server, c.AtUnixMillis, c.Suspects}
	case Proof:
		record = proofValue{recordVersion, c.Depth, c.Crashes}
	case Clearance:
		record = clearanceValue{recordVersion, c.ThroughUnixMillis, c.Released}
	case Use:
		record = useValue{recordVersion, c.UntilUnixMillis}
	case Trial:
		record = trialValue{recordVersion, c.Host, c.Count, c.ClaimedAtUnixMillis}
	case Probe:
		record = probeValue{recordVersion, c.Host, c.SentAtUnixMillis}
	case Deletion:
		return key, nil, validKey(key)
	}
	value, err := json.Marshal(record)
	return key, value, err == nil && validKey(key)
}

func validKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes
}

// Decode decodes a record. A record of another version, or one that lacks what a decision needs,
// is an error.
func Decode(key string, value []byte) (Change, error) {
	if len(value) == 0 {
		return Deletion{Key: key}, nil
	}
	var version struct{ Version int }
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, errors.Wrapf(err, "decode crash record %q", key)
	}
	if version.Version != recordVersion {
		return nil, errors.Newf("crash record %q has version %d, want %d", key, version.Version, recordVersion)
	}
	if slot, found := cutKey(key, reportPrefix); found {
		return decodeReport(slot, value)
	}
	if trait, found := cutKey(key, proofPrefix); found {
		return decodeProof(trait, value)
	}
	if trait, found := cutKey(key, clearancePrefix); found {
		return decodeClearance(trait, value)
	}
	if trait, found := cutKey(key, usePrefix); found {
		return decodeUse(trait, value)
	}
	if trait, found := cutKey(key, trialPrefix); found {
		return decodeTrial(trait, value)
	}
	if trait, found := cutKey(key, probePrefix); found {
		return decodeProbe(trait, value)
	}
	return nil, errors.Newf("crash record has unknown key %q", key)
}

func decodeReport(slot string, value []byte) (Change, error) {
	var decoded reportValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode report of slot %q", slot)
	}
	number, err := strconv.Atoi(slot)
	if err != nil || number < 0 || number >= maxReports || strconv.Itoa(number) != slot {
		return nil, errors.Newf("report has slot %q, want a number below %d", slot, maxReports)
	}
	r := Report{Slot: number, Server: decoded.Server, AtUnixMillis: decoded.AtUnixMillis, Suspects: decoded.Suspects}
	return r, r.validate()
}

func decodeProof(trait string, value []byte) (Change, error) {
	var decoded proofValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode proof of %q", trait)
	}
	if trait == "" || decoded.Depth < 0 || len(decoded.Crashes) == 0 || len(decoded.Crashes) > maxProofCrashes {
		return nil, errors.Newf("proof of %q has depth %d and %d crashes", trait, decoded.Depth, len(decoded.Crashes))
	}
	for n, c := range decoded.Crashes {
		if c.Server == "" || !validRequests(c.Requests) {
			return nil, errors.Newf("proof of %q has a crash without server or requests", trait)
		}
		if n > 0 && c.AtUnixMillis < decoded.Crashes[n-1].AtUnixMillis {
			return nil, errors.Newf("proof of %q has crashes out of order", trait)
		}
	}
	return Proof{Trait: trait, Depth: decoded.Depth, Crashes: decoded.Crashes}, nil
}

// validRequests reports whether there is a bounded number of request IDs, at least one.
func validRequests(requests []string) bool {
	return len(requests) > 0 && len(requests) <= maxRequests
}

func decodeClearance(trait string, value []byte) (Change, error) {
	var decoded clearanceValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode clearance of %q", trait)
	}
	if trait == "" || decoded.ThroughUnixMillis <= 0 {
		return nil, errors.Newf("clearance of %q has time %d", trait, decoded.ThroughUnixMillis)
	}
	return Clearance{Trait: trait, ThroughUnixMillis: decoded.ThroughUnixMillis, Released: decoded.Released}, nil
}

func decodeUse(trait string, value []byte) (Change, error) {
	var decoded useValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode use of %q", trait)
	}
	if trait == "" || decoded.UntilUnixMillis <= 0 {
		return nil, errors.Newf("use of %q ends at %d", trait, decoded.UntilUnixMillis)
	}
	return Use{Trait: trait, UntilUnixMillis: decoded.UntilUnixMillis}, nil
}

func decodeTrial(trait string, value []byte) (Change, error) {
	var decoded trialValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode trial of %q", trait)
	}
	if trait == "" || decoded.Count < 1 {
		return nil, errors.Newf("trial of %q has count %d", trait, decoded.Count)
	}
	return Trial{Trait: trait, Host: decoded.Host, Count: decoded.Count, ClaimedAtUnixMillis: decoded.ClaimedAtUnixMillis}, nil
}

func decodeProbe(trait string, value []byte) (Change, error) {
	var decoded probeValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode probe of %q", trait)
	}
	if trait == "" || decoded.SentAtUnixMillis <= 0 {
		return nil, errors.Newf("probe of %q was sent at %d", trait, decoded.SentAtUnixMillis)
	}
	return Probe{Trait: trait, Host: decoded.Host, SentAtUnixMillis: decoded.SentAtUnixMillis}, nil
}
