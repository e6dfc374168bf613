package cowslipproxy

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection, so a proxy must not forward them.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func RemoveHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// IsFinalStatus reports whether a number is the status of a complete HTTP response. net/http also
// accepts other numbers of three digits, such as 000 and 999.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

const identity = "identity" // net/http's name for a body that ends with its connection

// IsFramed reports whether the body of a response has a length or chunks. Otherwise it ends
// with its connection, also when the upstream crashes.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// KeepUnframed makes net/http send a body without a length or chunks, so that the end of an
// answer is not stated as known if its upstream did not state it.
func KeepUnframed(header http.Header) {
	header.Del("Content-Length")
	header.Set("Transfer-Encoding", identity)
}

// IsUnframed reports whether KeepUnframed was applied to the header of an answer.
func IsUnframed(header http.Header) bool { return header.Get("Transfer-Encoding") == identity }
