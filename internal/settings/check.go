package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

// maxCellSlots is the maximum size of a cell. In larger cells the cost of heartbeats outweighs the higher availability.
const maxCellSlots = 7

// policies lists the valid scheduling policies.
var policies = []string{"berylpond", "least-loaded", "fifo-round-robin"}

// Check validates settings that need not come from a file, and returns all problems. These have no meaningful line
// numbers.
func (s Settings) Check() error {
	r := tomlfile.NewEmptyReader()
	checker{r}.check(&s)
	return r.Err()
}

// checker validates settings and adds the problems to those found while decoding the file.
type checker struct{ *tomlfile.Reader }

// require adds a problem with the key unless ok is true or the key already has a problem.
func (c checker) require(ok bool, key, text string) {
	if !ok && !c.HasProblem(key) {
		c.AddProblem(key, "%s", text)
	}
}

// minRetention leaves enough time to append live state to the log again before it expires.
const minRetention = Duration(time.Minute)

func (c checker) check(s *Settings) {
	c.instance(s.Instance)
	c.listen(s.Listen)
	for i, a := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), a)
	}
	c.url("platform.log", s.Platform.LogURL)
	c.url("platform.instances", s.Platform.InstancesURL)
	c.require(s.Platform.AppendRate > 0, "platform.appends", "must be above 0")
	c.require(s.Platform.Retention >= minRetention, "platform.retention", "must be at least 1m")
	c.timing(s.Timing)
	c.require(slices.Contains(policies, s.Scheduling.Policy), "scheduling.policy", "must be one of "+strings.Join(policies, ", "))
}

func (c checker) instance(i Instance) {
	c.require(i.ID != "", "instance.id", "is missing")
	c.require(i.DataCentre != "", "instance.data_centre", "is missing")
	for _, dc := range append([]string{i.DataCentre}, i.DataCentres...) {
		c.require(!strings.Contains(dc, "_"), "instance.data_centre", `must not hold "_", which separates the fields of program ids`)
	}
	c.require(slices.Contains(i.DataCentres, i.DataCentre), "instance.data_centres", "must list instance.data_centre")
	c.require(i.CellSlots >= 1 && i.CellSlots <= maxCellSlots, "instance.cell_slots", "must be 1 to 7")
	c.require(i.Slot >= 0 && i.Slot < i.CellSlots, "instance.slot", "must be from 0 to cell_slots-1")
}

func (c checker) listen(l Listen) {
	c.address("listen.callers", l.Callers)
	c.address("listen.peers", l.Peers)
	if l.Debug != "" {
		c.address("listen.debug", l.Debug)
	}
	c.advertised("listen.advertise_callers", l.AdvertiseCallers, l.Callers)
	c.advertised("listen.advertise_peers", l.AdvertisePeers, l.Peers)
}

// address checks that addr is a host:port whose host is an IP address.
func (c checker) address(key, addr string) {
	if addr == "" {
		c.require(false, key, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(addr)
	c.require(err == nil && port != "", key, "must be host:port, not \""+addr+"\"")
	c.require(err != nil || net.ParseIP(host) != nil, key, "must name its host by IP number, not \""+host+"\"")
}

// advertised checks that the advertised address, by default that of the listener, is not the unspecified address.
func (c checker) advertised(key, addr, listener string) {
	if addr != "" {
		c.address(key, addr)
		listener = addr
	}
	host, _, err := net.SplitHostPort(listener)
	ip := net.ParseIP(host)
	c.require(err != nil || ip == nil || !ip.IsUnspecified(), key,
		"must name one address that others can reach, since the listener takes all addresses")
}

func (c checker) url(key, text string) {
	if text == "" {
		c.require(false, key, "is missing")
		return
	}
	u, err := url.Parse(text)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", key,
		"must be a URL such as \"http://10.0.0.1:9000\", not \""+text+"\"")
}

func (c checker) timing(t Timing) {
	c.require(t.Heartbeat > 0, "timing.heartbeat", "must be above 0")
	c.require(t.Lease >= 2*t.Heartbeat, "timing.lease", "must be at least twice timing.heartbeat")
	c.require(t.ClockMargin > 0, "timing.margin", "must be above 0")
	c.require(t.FirstTokenTimeout > 0, "timing.first_token", "must be above 0")
	c.require(t.TokenTimeout > 0, "timing.progress", "must be above 0")
	c.require(t.ClaimWindow > 0, "timing.claim_window", "must be above 0")
	c.require(t.Shutdown > 0, "timing.shutdown", "must be above 0")
}
