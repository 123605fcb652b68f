package serviceowner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/background"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// storeReply stores the encoded reply in the replay buffer, as the text of its only
// token.
func (o *Owner) storeReply(id string, reply plainservice.Reply) error {
	encoded, err := proto.Marshal(replyOf(reply))
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	return o.Replay.Append(id, 0, []string{string(encoded)})
}

// awaitReply waits for the end of the call and returns its reply from the replay
// buffer.
func (o *Owner) awaitReply(ctx context.Context, id string) (*message.CallReply, *resultcode.Result) {
	chunk, err := o.Replay.Wait(ctx, id, 0)
	if err != nil {
		return nil, resultcode.New(resultcode.NotHeld, "%v", err)
	}
	if len(chunk.Texts) == 0 {
		return nil, resultOf(chunk.Entry)
	}
	reply := &message.CallReply{}
	if err := proto.Unmarshal([]byte(chunk.Texts[0]), reply); err != nil {
		return nil, resultcode.New(resultcode.ReplyLost, "decode reply: %v", err)
	}
	return reply, nil
}

// resultOf returns the result of a call that ended without a reply.
func resultOf(entry replay.Entry) *resultcode.Result {
	switch s := entry.State.(type) {
	case replay.Refused:
		return resultcode.New(resultcode.Code(s.Code), "%s", s.Reason).WithRetryAt(permitcheck.RetryAt(time.Now())).WithRecorded()
	case replay.Ended:
		return resultcode.New(resultcode.Code(s.Code), "%s", s.Reason).WithRecorded()
	default:
		return resultcode.New(resultcode.NotHeld, "the reply is no longer held")
	}
}

// failure converts an error of the plain service to a result. ErrRefused means that
// nothing was sent, so that the call certainly did not run. After any other error
// the call may have run. ctx is the context of the call.
func failure(ctx context.Context, err error) *resultcode.Result {
	if errors.Is(err, plainservice.ErrRefused) {
		return resultcode.New(resultcode.EngineRefused, "%v", err).WithRetryAt(permitcheck.RetryAt(time.Now()))
	}
	if errors.Is(context.Cause(ctx), background.ErrEnded) {
		return resultcode.New(resultcode.DrainCut, "the process ended")
	}
	return resultcode.New(resultcode.ReplyLost, "%v", err)
}

func requestOf(in *message.CallRequest) plainservice.Request {
	return plainservice.Request{
		RequestID:   in.GetRequestId(),
		Method:      in.GetMethod(),
		Path:        in.GetPath(),
		Body:        in.GetBody(),
		ContentType: "application/json",
	}
}

func replyOf(reply plainservice.Reply) *message.CallReply {
	return &message.CallReply{
		HttpStatus:  uint32(reply.Status),
		ContentType: reply.ContentType,
		Body:        reply.Body,
	}
}
