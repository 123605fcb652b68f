package delivery

import "github.com/fulmarvalve/fulmarvalve/internal/wire/message"

// Generation identifies one run of a request on one backend server.
type Generation struct {
	// Backend is the name of the backend server.
	Backend string
	// Incarnation of the process beside the backend server.
	Incarnation uint64
	// Sequence counts the generations of the incarnation, from 1.
	Sequence uint64
}

// GenerationOf converts a wire identity. A nil identity becomes the zero value.
func GenerationOf(g *message.Generation) Generation {
	return Generation{
		Backend:     g.GetBackend(),
		Incarnation: g.GetIncarnation(),
		Sequence:    g.GetSequence(),
	}
}

// Message converts the identity for the wire.
func (g Generation) Message() *message.Generation {
	return &message.Generation{
		Backend:     g.Backend,
		Incarnation: g.Incarnation,
		Sequence:    g.Sequence,
	}
}

// IsZero reports whether the identity names no generation.
func (g Generation) IsZero() bool {
	return g == Generation{}
}
