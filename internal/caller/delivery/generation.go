package delivery

import "github.com/fulmarvalve/fulmarvalve/internal/wire/message"

// Generation identifies one run of a request on one backend server.
type Generation struct {
	// Backend is the name of the backend server.
	Backend string
	// Incarnation is that of the process beside the backend server.
	Incarnation uint64
	// Sequence is the number of the generation within the incarnation, from 1.
	Sequence uint64
}

// GenerationOf converts a wire message. A nil message becomes the zero value.
func GenerationOf(g *message.Generation) Generation {
	return Generation{
		Backend:     g.GetBackend(),
		Incarnation: g.GetIncarnation(),
		Sequence:    g.GetSequence(),
	}
}

// Message converts the generation to its wire message.
func (g Generation) Message() *message.Generation {
	return &message.Generation{
		Backend:     g.Backend,
		Incarnation: g.Incarnation,
		Sequence:    g.Sequence,
	}
}

// IsZero reports whether g is the zero value, which identifies no generation.
func (g Generation) IsZero() bool {
	return g == Generation{}
}
