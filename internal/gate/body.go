package gate

import (
	"net/http"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/room"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// bodyRetryAfter is the Retry-After time of a request whose body found no room. A large body is held for about a second.
const bodyRetryAfter = time.Second

// readBody buffers the whole body, so that it can be sent again on a retry.
func (c *call) readBody(r *http.Request, bounds model.Bounds) (response, bool) {
	maxBytes := bounds.BodyBytes
	if maxBytes <= 0 {
		maxBytes = c.gate.cfg.MaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	c.buffer = c.gate.cfg.Bodies.NewBuffer("")
	body, err := c.buffer.ReadRequest(r.Body, r.ContentLength, maxBytes)
	switch {
	case errors.Is(err, room.ErrFull):
		c.retryAfter = bodyRetryAfter
		return c.refuse(proto.CodeOverloaded, err.Error()), false
	case err != nil:
		c.reason = "body can't be read: " + err.Error()
		return response{Response: pipe.Response{Status: http.StatusBadRequest}, code: proto.CodeBadRequest}, false
	case int64(len(body)) > maxBytes:
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	c.body = body
	return response{}, true
}
