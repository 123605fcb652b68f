package keeper

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// frameTokens bounds the tokens of one frame.
const frameTokens = 256

// Sender is the stream to one entry host.
type Sender interface {
	Context() context.Context
	Send(*message.Frame) error
}

// Generate starts a generation or attaches to one, and delivers it from the
// position that the asker needs.
func (k *Keeper) Generate(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
	return k.askers.Serve(out.Context(), func() error { return k.deliver(in, out) })
}

func (k *Keeper) deliver(in *message.GenerateRequest, out Sender) error {
	k.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	if in.GetAttach() == nil {
		if refusal := k.admit(in, time.Now()); refusal != nil {
			k.Records.Record(in.GetRequestId(), refusal.Record())
			return out.Send(k.refusalFrame(in.GetRequestId(), refusal))
		}
	}
	entry, refusal := k.held(in)
	if refusal != nil {
		return out.Send(k.refusalFrame(in.GetRequestId(), refusal))
	}
	k.enter(in.GetRequestId())
	defer k.leave(in.GetRequestId())
	reader := &reader{
		keeper:     k,
		out:        out,
		id:         in.GetRequestId(),
		generation: k.Logbook.Generation(entry.Sequence),
		position:   in.GetFromPosition(),
	}
	return reader.run()
}

// held finds the generation that the asker wants.
func (k *Keeper) held(in *message.GenerateRequest) (logbook.Entry, *receipt.Result) {
	entry, found := k.Logbook.Find(in.GetRequestId())
	if !found {
		return entry, receipt.New(receipt.NotHeld, "%s does not hold the request", k.Settings.Name)
	}
	attach := in.GetAttach()
	if attach != nil && (attach.GetIncarnation() != k.Incarnation || attach.GetSequence() != entry.Sequence) {
		return entry, receipt.New(receipt.NotHeld, "%s does not hold the generation", k.Settings.Name)
	}
	switch s := entry.State.(type) {
	case logbook.Refused:
		return entry, receipt.New(receipt.Code(s.Code), "%s", s.Reason).
			WithRetryAt(warden.RetryAt(time.Now())).WithRecorded()
	case logbook.Evicted:
		return entry, receipt.New(receipt.NotHeld, "the answer is no longer held")
	default:
		return entry, nil
	}
}

// enter counts a reader of the generation.
func (k *Keeper) enter(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j, open := k.jobs[id]; open {
		j.readers++
		j.abandonedAt = time.Time{}
	}
}

func (k *Keeper) leave(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j, open := k.jobs[id]
	if !open {
		return
	}
	j.readers--
	if j.readers == 0 {
		j.abandonedAt = time.Now()
	}
}

func (k *Keeper) refusalFrame(id string, refusal *receipt.Result) *message.Frame {
	return &message.Frame{
		RequestId:  id,
		Generation: &message.Generation{Backend: k.Settings.Name, Incarnation: k.Incarnation},
		Body: &message.Frame_Refusal{Refusal: &message.Refusal{
			Code:             uint32(refusal.Code),
			Reason:           refusal.Reason,
			RetryAtUnixNanos: warden.NanosOf(refusal.RetryAt),
			Recorded:         refusal.Recorded,
		}},
		Load: k.Load(),
	}
}

// reader delivers one generation to one entry host.
type reader struct {
	keeper     *Keeper
	out        Sender
	id         string
	generation *message.Generation
	// position is the first token that the entry host still needs.
	position uint64
}

func (r *reader) run() error {
	if err := r.admitted(); err != nil {
		return err
	}
	for {
		chunk, err := r.keeper.Logbook.Read(r.id, r.position)
		if err != nil {
			return r.out.Send(r.keeper.refusalFrame(r.id, readRefusal(err)))
		}
		if len(chunk.Texts) > 0 {
			if err := r.tokens(chunk.Texts[:min(len(chunk.Texts), frameTokens)]); err != nil {
				return err
			}
			continue
		}
		if !chunk.More {
			return r.ended(chunk.Entry)
		}
		if err := r.pause(chunk); err != nil {
			return err
		}
	}
}

// readRefusal maps an answer that can't be read. The request ran here, so the
// refusal must not say that it did not.
func readRefusal(err error) *receipt.Result {
	return receipt.New(receipt.NotHeld, "%v", err)
}

// pause waits for a change or sends a heartbeat when it is due.
func (r *reader) pause(chunk logbook.Chunk) error {
	due := time.Now().Add(time.Duration(r.keeper.Settings.HeartbeatMillis) * time.Millisecond)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-r.out.Context().Done():
		return r.out.Context().Err()
	case <-chunk.Changed:
		return nil
	case <-timer.C:
		return r.heartbeat(chunk.Entry)
	}
}

func (r *reader) frame() *message.Frame {
	return &message.Frame{RequestId: r.id, Generation: r.generation, Position: r.position}
}

func (r *reader) admitted() error {
	frame := r.frame()
	load := r.keeper.Load()
	frame.Body = &message.Frame_Admitted{Admitted: &message.Admitted{QueueLength: load.GetWaiting()}}
	frame.Load = load
	return r.out.Send(frame)
}

func (r *reader) tokens(texts []string) error {
	frame := r.frame()
	frame.Body = &message.Frame_Tokens{Tokens: &message.Tokens{Text: texts}}
	if err := r.out.Send(frame); err != nil {
		return err
	}
	r.position += uint64(len(texts))
	return nil
}

func (r *reader) heartbeat(entry logbook.Entry) error {
	frame := r.frame()
	state := message.GenerationState_GENERATION_STATE_UNSPECIFIED
	if open, ok := entry.State.(logbook.Open); ok {
		state = open.Progress
	}
	frame.Body = &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{State: state}}
	frame.Load = r.keeper.Load()
	return r.out.Send(frame)
}

func (r *reader) ended(entry logbook.Entry) error {
	frame := r.frame()
	end := &message.End{}
	if s, ok := entry.State.(logbook.Ended); ok {
		end.Code = s.Code
		end.Reason = s.Reason
	}
	frame.Body = &message.Frame_End{End: end}
	frame.Load = r.keeper.Load()
	return r.out.Send(frame)
}
