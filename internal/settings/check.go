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

// maxCellSlots is the largest cell: beyond it heartbeats cost more than they add.
const maxCellSlots = 7

// policies are the names of scheduling policies.
var policies = []string{"berylpond", "least-loaded", "fifo-round-robin"}

// Check returns every problem of settings, however they were made. The problems have no lines of their own.
func (s Settings) Check() error {
	r := tomlfile.Empty()
	checker{r}.check(&s)
	return r.Err()
}

// checker adds the problems of settings to those of their text.
type checker struct{ *tomlfile.Reader }

// need adds a problem unless ok is set, or the key has one already.
func (c checker) need(ok bool, key, text string) {
	if !ok && !c.Failed(key) {
		c.Fail(key, "%s", text)
	}
}

// minRetention leaves time to put live state on the log again.
const minRetention = Duration(time.Minute)

func (c checker) check(s *Settings) {
	c.instance(s.Instance)
	c.listen(s.Listen)
	for i, a := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), a)
	}
	c.url("platform.log", s.Platform.Log)
	c.url("platform.instances", s.Platform.Instances)
	c.need(s.Platform.Appends > 0, "platform.appends", "must be above 0")
	c.need(s.Platform.Retention >= minRetention, "platform.retention", "must be at least 1m")
	c.timing(s.Timing)
	c.need(slices.Contains(policies, s.Scheduling.Policy), "scheduling.policy", "must be one of "+strings.Join(policies, ", "))
}

func (c checker) instance(i Instance) {
	c.need(i.ID != "", "instance.id", "is missing")
	c.need(i.DataCentre != "", "instance.data_centre", "is missing")
	for _, dc := range append([]string{i.DataCentre}, i.DataCentres...) {
		c.need(!strings.Contains(dc, "_"), "instance.data_centre", `must not hold "_", which separates the fields of program ids`)
	}
	c.need(slices.Contains(i.DataCentres, i.DataCentre), "instance.data_centres", "must list instance.data_centre")
	c.need(i.CellSlots >= 1 && i.CellSlots <= maxCellSlots, "instance.cell_slots", "must be 1 to 7")
	c.need(i.Slot >= 0 && i.Slot < i.CellSlots, "instance.slot", "must be from 0 to cell_slots-1")
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

// address checks a host:port whose host is an IP number.
func (c checker) address(key, addr string) {
	if addr == "" {
		c.need(false, key, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(addr)
	c.need(err == nil && port != "", key, "must be host:port, not \""+addr+"\"")
	c.need(err != nil || net.ParseIP(host) != nil, key, "must name its host by IP number, not \""+host+"\"")
}

// advertised checks an address told to others, which is that of the listener unless set.
func (c checker) advertised(key, addr, listener string) {
	if addr != "" {
		c.address(key, addr)
		listener = addr
	}
	host, _, err := net.SplitHostPort(listener)
	ip := net.ParseIP(host)
	c.need(err != nil || ip == nil || !ip.IsUnspecified(), key,
		"must name one address that others can reach, since the listener takes all addresses")
}

func (c checker) url(key, text string) {
	if text == "" {
		c.need(false, key, "is missing")
		return
	}
	u, err := url.Parse(text)
	c.need(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", key,
		"must be a URL such as \"http://10.0.0.1:9000\", not \""+text+"\"")
}

func (c checker) timing(t Timing) {
	c.need(t.Heartbeat > 0, "timing.heartbeat", "must be above 0")
	c.need(t.Lease >= 2*t.Heartbeat, "timing.lease", "must be at least twice timing.heartbeat")
	c.need(t.Margin > 0, "timing.margin", "must be above 0")
	c.need(t.FirstToken > 0, "timing.first_token", "must be above 0")
	c.need(t.Progress > 0, "timing.progress", "must be above 0")
	c.need(t.ClaimWindow > 0, "timing.claim_window", "must be above 0")
	c.need(t.Shutdown > 0, "timing.shutdown", "must be above 0")
}
