package placement

// sessionsPerGeneration bounds the parts of one generation of Sessions.
const sessionsPerGeneration = 4096

// Sessions remembers the server to which the parts of single conversations were last sent. Entries are dropped when
// sessionsPerGeneration newer ones have been used. It is not safe for concurrent use.
type Sessions struct{ young, old map[string]string }

// Put records the server of a part.
func (s *Sessions) Put(part, server string) {
	if s.young == nil || len(s.young) >= sessionsPerGeneration {
		s.young, s.old = make(map[string]string), s.young
	}
	s.young[part] = server
}

// Get returns the server of a part; empty if unknown.
func (s *Sessions) Get(part string) string {
	if v, ok := s.young[part]; ok {
		return v
	}
	return s.old[part]
}
