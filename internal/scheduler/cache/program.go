package cache

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// pauseGain is the weight of the newest pause in a program's moving mean.
const pauseGain = 0.5

// Begin notes a new call of a program, before it is queued.
func (x *Index) Begin(now time.Time, c *framework.Call) {
	root := c.RootProgram()
	delete(x.ended, c.Program)
	delete(x.ended, root)
	r := x.ensure(now, root, root)
	r.begin(now)
	if p := x.ensure(now, c.Program, root); p != r {
		p.begin(now)
	}
}

func (p *program) begin(now time.Time) {
	if p.active == 0 && !p.lastUse.IsZero() {
		p.observePause(now.Sub(p.lastUse).Seconds())
	}
	p.active++
}

func (p *program) end(now time.Time) {
	p.active = max(0, p.active-1)
	p.lastUse = now
}

func (x *Index) ensure(now time.Time, name, root string) *program {
	p := x.programs[name]
	if p != nil {
		return p
	}
	p = &program{root: root, began: now}
	x.programs[name] = p
	if name != root {
		r := x.programs[root]
		r.children = append(r.children, name)
	}
	return p
}

func (p *program) observePause(seconds float64) {
	if p.pause == 0 {
		p.pause = seconds
		return
	}
	p.pause += pauseGain * (seconds - p.pause)
}

// End notes the end of a call of a program, granted or not.
func (x *Index) End(now time.Time, name string) {
	p := x.programs[name]
	if p == nil {
		return
	}
	p.end(now)
	if r := x.programs[p.root]; r != nil && r != p {
		r.end(now)
	}
}

// Serve counts service received by a program to its root.
func (x *Index) Serve(name string, cost float64) {
	p := x.programs[name]
	if p == nil {
		return
	}
	if r := x.programs[p.root]; r != nil {
		r.attained += cost
	}
}

// Attained returns the service that the call's root program has received, as far as known here or told by the call.
func (x *Index) Attained(c *framework.Call) float64 {
	told := float64(c.Attained)
	if r := x.programs[c.RootProgram()]; r != nil {
		return max(told, r.attained)
	}
	return told
}

// Age returns the time since the first call of the call's root program was seen.
func (x *Index) Age(now time.Time, c *framework.Call) time.Duration {
	if r := x.programs[c.RootProgram()]; r != nil {
		return now.Sub(r.began)
	}
	return 0
}

// EndProgram forgets a program and its sub-agents. What engines hold for them is due for release.
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
