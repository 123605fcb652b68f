package explanation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// timeLayout is the format of times, in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// permillePerPercent is the number of thousandths in one percent.
const permillePerPercent = 10

// Render returns the records of one request as text, in order of time. Clocks of
// different processes may differ, so the order of records from different
// processes is approximate.
func Render(records []Record) string {
	if len(records) == 0 {
		return "no records\n"
	}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Time.Compare(b.Time) })
	var out strings.Builder
	fmt.Fprintf(&out, "request %s\n", sorted[0].RequestID)
	for _, record := range sorted {
		fmt.Fprintf(&out, "%s %s %s: %s\n",
			formatTime(record.Time), record.Process, record.Part, describe(record.Decision))
		renderCandidates(&out, record)
	}
	return out.String()
}

// describe returns a sentence that describes the decision.
func describe(d Decision) string {
	switch d := d.(type) {
	case Routed:
		return fmt.Sprintf("routed to %s: %s", d.Backend, d.Reason)
	case Waited:
		return fmt.Sprintf("waited behind %d: %s (forecast %s, limit %s, refused at %s)", d.QueueLength, d.Reason,
			percent(d.ForecastPermille), percent(d.LimitPermille), formatTime(d.GiveUpAt))
	case Admitted:
		return "admitted: " + d.Reason
	case Disturbed:
		return fmt.Sprintf("disturbed at %s: %s", d.Backend, d.Reason)
	case Refused:
		return fmt.Sprintf("refused with code %d: %s%s", d.Code, d.Reason, retryNotice(d.RetryAt))
	case Retried:
		return fmt.Sprintf("attempt %d after %s failed: %s", d.Attempt, d.Backend, d.Reason)
	case Preempted:
		return fmt.Sprintf("preempted at token %d%s: %s", d.Position, preemptedFor(d.InFavourOf), d.Reason)
	case Resumed:
		return fmt.Sprintf("resumed generation %s/%d/%d from token %d: %s",
			d.Backend, d.Incarnation, d.Sequence, d.From, d.Reason)
	case Claimed:
		return fmt.Sprintf("key bound to request %s on %s at offset %d of partition %d: %s",
			d.BoundTo, d.Backend, d.Offset, d.Partition, d.Reason)
	case Ended:
		return fmt.Sprintf("ended with code %d, %s, after %d tokens and %d attempts: %s",
			d.Code, d.Outcome, d.Tokens, d.Attempts, d.Reason)
	default:
		return "unknown decision"
	}
}

func renderCandidates(out *strings.Builder, record Record) {
	routed, ok := record.Decision.(Routed)
	if !ok {
		return
	}
	for _, c := range routed.Candidates {
		fmt.Fprintf(out, "    %s in %s: running %d, waiting %d, memory %s, forecast %s, score %.3f, %s%s\n",
			c.Backend, c.AvailabilityZone, c.Running, c.Waiting,
			percent(c.MemoryPermille), percent(c.ForecastPermille), c.Score,
			age(record.Time, c.SeenAt), exclusion(c.Excluded))
	}
}

func percent(permille uint32) string {
	return fmt.Sprintf("%d.%d%%", permille/permillePerPercent, permille%permillePerPercent)
}

func formatTime(t time.Time) string {
	return t.UTC().Format(timeLayout)
}

func retryNotice(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return ", retry after " + formatTime(at)
}

func preemptedFor(requestID string) string {
	if requestID == "" {
		return ""
	}
	return " in favour of request " + requestID
}

func age(now, seenAt time.Time) string {
	if seenAt.IsZero() {
		return "never seen"
	}
	return fmt.Sprintf("seen %d ms before", now.Sub(seenAt).Milliseconds())
}

func exclusion(reason string) string {
	if reason == "" {
		return ""
	}
	return ", excluded: " + reason
}
