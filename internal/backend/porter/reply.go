package porter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/desk"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// hold keeps the encoded reply in the logbook.
func (p *Porter) hold(id string, reply desk.Reply) error {
	encoded, err := proto.Marshal(replyOf(reply))
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	return p.Logbook.Append(id, 0, []string{string(encoded)})
}

// heldReply waits for the end of the call and returns its reply.
func (p *Porter) heldReply(ctx context.Context, id string) (*message.CallReply, *receipt.Result) {
	chunk, err := p.Logbook.Wait(ctx, id, 0)
	if err != nil {
		return nil, receipt.New(receipt.NotHeld, "%v", err)
	}
	if len(chunk.Texts) == 0 {
		return nil, endOf(chunk.Entry)
	}
	reply := &message.CallReply{}
	if err := proto.Unmarshal([]byte(chunk.Texts[0]), reply); err != nil {
		return nil, receipt.New(receipt.ReplyLost, "decode reply: %v", err)
	}
	return reply, nil
}

// endOf maps a call that ended without a reply.
func endOf(entry logbook.Entry) *receipt.Result {
	switch s := entry.State.(type) {
	case logbook.Refused:
		return receipt.New(receipt.Code(s.Code), "%s", s.Reason).WithRetryAt(warden.RetryAt(time.Now())).WithRecorded()
	case logbook.Ended:
		return receipt.New(receipt.Code(s.Code), "%s", s.Reason).WithRecorded()
	default:
		return receipt.New(receipt.NotHeld, "the reply is no longer held")
	}
}

// failure maps an error of the plain service: before anything was sent, the
// call certainly did not run.
func failure(err error) *receipt.Result {
	if errors.Is(err, desk.ErrRefused) {
		return receipt.New(receipt.EngineRefused, "%v", err).WithRetryAt(warden.RetryAt(time.Now()))
	}
	return receipt.New(receipt.ReplyLost, "%v", err)
}

func requestOf(in *message.CallRequest) desk.Request {
	return desk.Request{
		RequestID:   in.GetRequestId(),
		Method:      in.GetMethod(),
		Path:        in.GetPath(),
		Body:        in.GetBody(),
		ContentType: "application/json",
	}
}

func replyOf(reply desk.Reply) *message.CallReply {
	return &message.CallReply{
		HttpStatus:  uint32(reply.Status),
		ContentType: reply.ContentType,
		Body:        reply.Body,
	}
}
