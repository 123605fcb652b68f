package engineowner

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// frameTokens is the maximum number of tokens in one frame.
const frameTokens = 256

// Sender is the stream to one entry host.
type Sender interface {
	Context() context.Context
	Send(*message.Frame) error
}

// Generate starts a generation or attaches to an existing one, and delivers it from
// the position that the client requests.
func (o *Owner) Generate(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
	return o.clients.Serve(out.Context(), func() error { return o.deliver(in, out) })
}

// deliver admits the request unless it attaches to a generation, and sends the
// generation to out.
func (o *Owner) deliver(in *message.GenerateRequest, out Sender) error {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	if in.GetAttach() == nil {
		if refusal := o.admit(in, time.Now()); refusal != nil {
			o.Records.Record(in.GetRequestId(), refusal.Record())
			return out.Send(o.refusalFrame(in.GetRequestId(), refusal))
		}
	}
	entry, refusal := o.findEntry(in)
	if refusal != nil {
		return out.Send(o.refusalFrame(in.GetRequestId(), refusal))
	}
	o.addReader(in.GetRequestId())
	defer o.removeReader(in.GetRequestId())
	reader := &reader{
		owner:      o,
		out:        out,
		id:         in.GetRequestId(),
		generation: o.Replay.Generation(entry.Sequence),
		position:   in.GetFromPosition(),
	}
	return reader.run()
}

// findEntry returns the replay entry of the requested generation, or a refusal.
func (o *Owner) findEntry(in *message.GenerateRequest) (replay.Entry, *resultcode.Result) {
	entry, found := o.Replay.Find(in.GetRequestId())
	if !found {
		return entry, resultcode.New(resultcode.NotHeld, "%s does not hold the request", o.Settings.Name)
	}
	attach := in.GetAttach()
	if attach != nil && (attach.GetIncarnation() != o.Incarnation || attach.GetSequence() != entry.Sequence) {
		return entry, resultcode.New(resultcode.NotHeld, "%s does not hold the generation", o.Settings.Name)
	}
	switch s := entry.State.(type) {
	case replay.Refused:
		return entry, resultcode.New(resultcode.Code(s.Code), "%s", s.Reason).
			WithRetryAt(permitcheck.RetryAt(time.Now())).WithRecorded()
	case replay.Evicted:
		return entry, resultcode.New(resultcode.NotHeld, "the answer is no longer held")
	default:
		return entry, nil
	}
}

// addReader records a reader of the generation.
func (o *Owner) addReader(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j, open := o.jobs[id]; open {
		j.readers++
		j.abandonedAt = time.Time{}
	}
}

// removeReader records that a reader of the generation has disconnected.
func (o *Owner) removeReader(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, open := o.jobs[id]
	if !open {
		return
	}
	j.readers--
	if j.readers == 0 {
		j.abandonedAt = time.Now()
	}
}

func (o *Owner) refusalFrame(id string, refusal *resultcode.Result) *message.Frame {
	return &message.Frame{
		RequestId:  id,
		Generation: &message.Generation{Backend: o.Settings.Name, Incarnation: o.Incarnation},
		Body: &message.Frame_Refusal{Refusal: &message.Refusal{
			Code:             uint32(refusal.Code),
			Reason:           refusal.Reason,
			RetryAtUnixNanos: permitcheck.NanosOf(refusal.RetryAt),
			Recorded:         refusal.Recorded,
		}},
		Load: o.Load(),
	}
}

// reader delivers one generation to one entry host.
type reader struct {
	owner      *Owner
	out        Sender
	id         string
	generation *message.Generation
	// position is the position of the next token to send.
	position uint64
}

// run sends the generation until its end or until the stream breaks.
func (r *reader) run() error {
	if err := r.sendAdmitted(); err != nil {
		return err
	}
	for {
		chunk, err := r.owner.Replay.Read(r.id, r.position)
		if err != nil {
			return r.out.Send(r.owner.refusalFrame(r.id, readRefusal(err)))
		}
		if len(chunk.Texts) > 0 {
			if err := r.sendTokens(chunk.Texts[:min(len(chunk.Texts), frameTokens)]); err != nil {
				return err
			}
			continue
		}
		if !chunk.More {
			return r.sendEnd(chunk.Entry)
		}
		if err := r.awaitChange(chunk); err != nil {
			return err
		}
	}
}

// readRefusal converts an error of reading an answer to a result. The request has
// run here, so the result's code must not mean that it has not.
func readRefusal(err error) *resultcode.Result {
	return resultcode.New(resultcode.NotHeld, "%v", err)
}

// awaitChange waits for a change of the entry. When none occurs within the heartbeat
// period, it sends a heartbeat.
func (r *reader) awaitChange(chunk replay.Chunk) error {
	due := time.Now().Add(time.Duration(r.owner.Settings.HeartbeatMillis) * time.Millisecond)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-r.out.Context().Done():
		return r.out.Context().Err()
	case <-chunk.Changed:
		return nil
	case <-timer.C:
		return r.sendHeartbeat(chunk.Entry)
	}
}

// newFrame returns a frame for the current position, without a body.
func (r *reader) newFrame() *message.Frame {
	return &message.Frame{RequestId: r.id, Generation: r.generation, Position: r.position}
}

func (r *reader) sendAdmitted() error {
	frame := r.newFrame()
	load := r.owner.Load()
	frame.Body = &message.Frame_Admitted{Admitted: &message.Admitted{QueueLength: load.GetWaiting()}}
	frame.Load = load
	return r.out.Send(frame)
}

func (r *reader) sendTokens(texts []string) error {
	frame := r.newFrame()
	frame.Body = &message.Frame_Tokens{Tokens: &message.Tokens{Text: texts}}
	if err := r.out.Send(frame); err != nil {
		return err
	}
	r.position += uint64(len(texts))
	return nil
}

func (r *reader) sendHeartbeat(entry replay.Entry) error {
	frame := r.newFrame()
	state := message.GenerationState_GENERATION_STATE_UNSPECIFIED
	if open, ok := entry.State.(replay.Open); ok {
		state = open.Progress
	}
	frame.Body = &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{State: state}}
	frame.Load = r.owner.Load()
	return r.out.Send(frame)
}

func (r *reader) sendEnd(entry replay.Entry) error {
	frame := r.newFrame()
	end := &message.End{}
	if s, ok := entry.State.(replay.Ended); ok {
		end.Code = s.Code
		end.Reason = s.Reason
	}
	frame.Body = &message.Frame_End{End: end}
	frame.Load = r.owner.Load()
	return r.out.Send(frame)
}
