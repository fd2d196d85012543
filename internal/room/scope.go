package room

import (
	"context"
	"sync"
)

// Scope holds buffers until the request that they belong to ends. It is safe for concurrent use.
type Scope struct {
	mu      sync.Mutex
	ended   bool
	buffers []*Buffer
}

type scopeKey struct{}

// NewScope returns a context with a scope, whose End must be called.
func NewScope(ctx context.Context) (context.Context, *Scope) {
	s := &Scope{}
	return context.WithValue(ctx, scopeKey{}, s), s
}

// End releases all buffers of the scope.
func (s *Scope) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, b := range s.buffers {
		b.Release()
	}
	s.buffers = nil
}

// Keep hands the buffer over to the scope of the context. Without a scope, or after its end, the buffer is released.
func Keep(ctx context.Context, b *Buffer) {
	s, ok := ctx.Value(scopeKey{}).(*Scope)
	if !ok {
		b.Release()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		b.Release()
		return
	}
	s.buffers = append(s.buffers, b)
}
