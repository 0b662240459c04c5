package instance

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/internal/fleet"
)

// oddEntries are entries that name no server to use, by key.
func oddEntries(address string) map[string]string {
	entry := func(field, value string) string {
		e := map[string]string{
			"service": `"tool"`, "addr": `"` + address + `"`, "zone": `"a"`, "slots": "8", "state": `"ready"`, "seq": "1", "born": "1",
		}
		e[field] = value
		var fields []string
		for k, v := range e {
			fields = append(fields, fmt.Sprintf("%q:%s", k, v))
		}
		return "{" + strings.Join(fields, ",") + "}"
	}
	host, _, _ := net.SplitHostPort(address)
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	return map[string]string{
		"nested":           nested,
		"nested-field":     entry("version", nested),
		"nested-objects":   strings.Repeat(`{"service":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"slots-too-large":  entry("slots", "1e400"),
		"slots-64-bits":    entry("slots", "9223372036854775807"),
		"slots-33-bits":    entry("slots", "4294967296"),
		"born-too-large":   entry("born", "1e400"),
		"seq-too-large":    entry("seq", "1e400"),
		"port-too-large":   entry("addr", `"`+host+`:65536"`),
		"port-huge":        entry("addr", `"`+host+`:99999999999999999999"`),
		"port-negative":    entry("addr", `"`+host+`:-1"`),
		"port-zero":        entry("addr", `"`+host+`:0"`),
		"port-name":        entry("addr", `"`+host+`:http"`),
		"no-bytes-of-text": "\xff\xfe\x00",
		"key-\xff\xfe":     entry("zone", `"a"`),
		"long-service":     entry("service", `"`+strings.Repeat("tool", 50_000)+`"`),
		"long-zone":        entry("zone", `"`+strings.Repeat("a", 200_000)+`"`),
	}
}

// Guards against instances that end, or stop following the list of servers, because of an entry of another writer.
func TestOddEntriesOfServersDisturbNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for range 4 {
		s.start()
	}
	s.eventually("four owners", func() bool { return s.owners() == 4 })
	small := s.startWith(0.2)
	s.eventually("uses the peer feed", small.usesFeed)
	lists := func(n *node, id string) bool {
		return slices.ContainsFunc(n.fleet.Entries(), func(e fleet.Entry) bool { return e.ID == id })
	}
	added := 0
	entries := oddEntries(s.tools[0].Listener.Addr().String())
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		s.store.PutKeyed("keyed.servers", key, []byte(entries[key]))
		// A sound entry that comes after the odd one is followed by all.
		added++
		id := fmt.Sprint("tool-after-", added)
		server := runner.Start(id, "tool", 0)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		s.store.PutKeyed("keyed.servers", id, server.Registration("ready"))
		for _, n := range s.nodes {
			s.eventually("an entry after the odd one "+strconv.Quote(key)+" is followed", func() bool { return lists(n, id) })
			if lists(n, key) { // it came before the sound one
				t.Errorf("the entry %q names a server at %s", key, n.settings.IP)
			}
		}
	}
	s.eventually("still uses the peer feed", small.usesFeed)
	// An instance that starts reads them all at once.
	late := s.start()
	s.eventually("read at the start", func() bool { return lists(late, fmt.Sprint("tool-after-", added)) })
	for _, n := range s.nodes {
		is.Equal(s.do(n, call{path: "/pay/x"}).status, 200)
		is.Equal(s.turn(n, call{path: "/chat/x", program: "p" + n.settings.IP, budget: 900}).status, 200)
	}
}
