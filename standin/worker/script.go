package worker

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// lingerTime bounds the time for which a server reads the rest of a request after its reply.
const lingerTime = 200 * time.Millisecond

// Script returns the bytes that a server sends instead of its reply to a request, before it
// closes the connection. An empty string means the regular reply.
type Script func(id, lastEventID string) string

// SetScript sets the replies to later requests. The requests count as run.
func (s *Server) SetScript(script Script) {
	s.SetRequestScript(func(r *http.Request) string {
		return script(r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id"))
	})
}

// SetRequestScript is like SetScript, for replies that depend on the whole request. A nil
// script ends that.
func (s *Server) SetRequestScript(script func(r *http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// SetUnframed makes the server send its regular replies without a length or chunks.
func (s *Server) SetUnframed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isUnframed = true
}

// keepUnframed applies SetUnframed to the header of a reply.
func (s *Server) keepUnframed(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnframed {
		cowslipproxy.KeepUnframed(header)
	}
}

// ResetAfterScript makes the server reset the connections of scripted replies instead of
// closing them.
func (s *Server) ResetAfterScript() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetsScripts = true
}

// SetEarly makes the server send the replies of its script before it has read the requests.
func (s *Server) SetEarly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEarly = true
}

// runEarlyScript is like runScript for SetEarly.
func (s *Server) runEarlyScript(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	isEarly := s.isEarly
	s.mu.Unlock()
	return isEarly && s.runScript(w, r, nil)
}

// runScript reports whether the script replaced the reply to a request.
func (s *Server) runScript(w http.ResponseWriter, r *http.Request, body []byte) bool {
	s.mu.Lock()
	script, isReset := s.script, s.resetsScripts
	s.mu.Unlock()
	if script == nil {
		return false
	}
	text := script(r)
	if text == "" {
		return false
	}
	index := s.fleet.recordRun(s, r, body)
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	_, _ = buffer.WriteString(text) // fails only if the caller disconnected
	_ = buffer.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok && isReset {
		if body != nil {
			time.Sleep(eventInterval) // a reset discards what the caller has not read
		}
		_ = tcp.SetLinger(0) // fails only on a closed connection
	} else if ok && body == nil {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, tcp) // with unread bytes, the connection would end with a reset
	}
	s.fleet.completeRun(index)
	return true
}
