package conns

import "net/http"

// maxStatus is the greatest status in HTTP (RFC 9110, section 15).
const maxStatus = 599

// EndsRequest reports whether a status is one of an answer that ends a request. Whatever else comes with any other status is no
// answer, and tells nothing of the endpoint; nothing further may be expected on its connection. It may be called concurrently.
func EndsRequest(status int) bool { return status >= http.StatusOK && status <= maxStatus }
