package cache

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// thinkTimeGain is the weight of the newest sample in the moving mean of a program's think time.
const thinkTimeGain = 0.5

// BeginCall records a new call of a program before it is queued.
func (x *Index) BeginCall(now time.Time, c *framework.Call) {
	root := c.RootProgram()
	delete(x.ended, c.Program)
	delete(x.ended, root)
	r := x.getOrCreate(now, root, root)
	r.beginCall(now)
	if p := x.getOrCreate(now, c.Program, root); p != r {
		p.beginCall(now)
	}
}

func (p *program) beginCall(now time.Time) {
	if p.activeCalls == 0 && !p.lastUse.IsZero() {
		p.recordThinkTime(now.Sub(p.lastUse).Seconds())
	}
	p.activeCalls++
}

func (p *program) endCall(now time.Time) {
	p.activeCalls = max(0, p.activeCalls-1)
	p.lastUse = now
}

func (x *Index) getOrCreate(now time.Time, name, root string) *program {
	p := x.programs[name]
	if p != nil {
		return p
	}
	p = &program{root: root, firstSeen: now}
	x.programs[name] = p
	if name != root {
		r := x.programs[root]
		r.children = append(r.children, name)
	}
	return p
}

func (p *program) recordThinkTime(seconds float64) {
	if p.thinkTime == 0 {
		p.thinkTime = seconds
		return
	}
	p.thinkTime += thinkTimeGain * (seconds - p.thinkTime)
}

// EndCall records the end of a call of a program, whether or not it was granted.
func (x *Index) EndCall(now time.Time, name string) {
	p := x.programs[name]
	if p == nil {
		return
	}
	p.endCall(now)
	if r := x.programs[p.root]; r != nil && r != p {
		r.endCall(now)
	}
}

// AddService adds service received by a program to the total of its root program.
func (x *Index) AddService(name string, cost float64) {
	p := x.programs[name]
	if p == nil {
		return
	}
	if r := x.programs[p.root]; r != nil {
		r.attainedService += cost
	}
}

// AttainedService returns the service that the call's root program has received: the larger of the amount recorded here
// and the amount stated in the call.
func (x *Index) AttainedService(c *framework.Call) float64 {
	reported := float64(c.AttainedService)
	if r := x.programs[c.RootProgram()]; r != nil {
		return max(reported, r.attainedService)
	}
	return reported
}

// ProgramAge returns the time since the first call of the call's root program arrived.
func (x *Index) ProgramAge(now time.Time, c *framework.Call) time.Duration {
	if r := x.programs[c.RootProgram()]; r != nil {
		return now.Sub(r.firstSeen)
	}
	return 0
}

// EndProgram removes a program and its sub-agents. Their cached prefixes become due for release.
func (x *Index) EndProgram(now time.Time, name string) {
	x.ended[name] = now
	p := x.programs[name]
	if p == nil {
		return
	}
	delete(x.programs, name)
	for _, child := range p.children {
		x.EndProgram(now, child)
	}
}
