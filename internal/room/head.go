package room

import "net/http"

// HeaderBytes returns the total size of the request URI, header names and header values.
func HeaderBytes(r *http.Request) int64 {
	n := len(r.RequestURI)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return int64(n)
}
