package resume

import "strconv"

// Position is how far a client has got in a stream. Events can be placed after it only if their ids are consecutive.
type Position struct {
	started     bool
	last        uint64
	unplaceable bool
}

// ID is the id of an event. Valid is false if the event has none, or one that is not a decimal number.
type ID struct {
	Number uint64
	Valid  bool
}

// ParseID parses the id of an event.
func ParseID(s string) ID {
	n, err := strconv.ParseUint(s, 10, 64)
	return ID{Number: n, Valid: err == nil}
}

// Advance records that the client got an event.
func (p *Position) Advance(id ID) {
	if !id.Valid || p.started && id.Number != p.last+1 {
		p.unplaceable = true
	}
	p.started, p.last = true, id.Number
}

// LastEventID is the id of the last event that the client got; empty if there is none.
func (p *Position) LastEventID() string {
	if !p.started || p.unplaceable {
		return ""
	}
	return strconv.FormatUint(p.last, 10)
}

// Placement is where an event of a resumed run belongs.
type Placement int

// Placements.
const (
	// Next events follow the last one that the client got.
	Next Placement = iota
	// Repeated events have reached the client already.
	Repeated
	// Gap means that an event between the client's last one and this one is missing, or can't be ruled out to be.
	Gap
)

// Place places an event of a run that goes on after the position.
func (p *Position) Place(id ID) Placement {
	switch {
	case !id.Valid || p.unplaceable:
		return Gap
	case p.started && id.Number <= p.last:
		return Repeated
	case p.started && id.Number != p.last+1:
		return Gap
	default:
		return Next
	}
}
