package configcheck

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/routing"
)

// valid returns a configuration without findings.
func valid() *routing.Configuration {
	return &routing.Configuration{
		Version: 7,
		Routes: []routing.Route{
			{Name: "chat", Host: "h.example", PathPrefix: "/chat/", Kind: routing.Streaming, Timeout: 5 * time.Second,
				LatencyObjective: 250 * time.Millisecond, Targets: []routing.Target{{Service: "llm", Weight: 90}, {Service: "tool", Weight: 10}},
				MaxAttempts: 2, StoresHistory: true, HistoryTTL: time.Minute, EventInterval: 400 * time.Millisecond},
			{Name: "read", Host: "h.example", PathPrefix: "/read/", Kind: routing.Idempotent, Timeout: time.Second,
				Targets: []routing.Target{{Service: "tool", Weight: 1}}, MaxAttempts: 2},
		},
		Services: map[string]routing.Service{
			"llm":  {Name: "llm", MaxConns: 360, Engine: &routing.Engine{Slots: 8}, ColdRequestsPerSecond: 20, ColdPeriod: 3 * time.Second},
			"tool": {Name: "tool", MaxConns: 96},
		},
		Accounts: map[string]routing.Account{
			"acme":  {Name: "acme", RequestsPerSecond: 10, Burst: 20},
			"other": {Name: "other", RequestsPerSecond: 5, Burst: 5},
		},
		Keys: map[string]string{"key-of-acme": "acme", "key-of-other": "other"},
		Limits: routing.Limits{
			HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
	}
}

func TestAValidConfigurationHasNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(Errors(valid()), Findings{})
	is.Equal(Warnings(valid(), Known{
		Regions: []string{"cairo"}, MemoryBytes: 164 << 20, Servers: map[string]int{"llm": 1, "tool": 2},
		RequestTimes: map[routing.Kind]RequestTime{routing.Idempotent: {AtLeast: time.Second, Share: 0.9}},
	}), Findings{})
}

// expectation is one change of the valid configuration and the only finding that it must give.
type expectation struct {
	name    string
	change  func(*routing.Configuration)
	part    Part
	entry   string
	field   Field
	message string
}

func runExpectations(t *testing.T, s Severity, k Known, cases []expectation) {
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := valid()
			tc.change(c)
			found := Errors(c)
			if s == Warning {
				is.Equal(found, Findings{})
				found = Warnings(c, k)
			}
			if found.Total != 1 {
				t.Fatalf("findings: %+v", found)
			}
			got := found.List[0]
			is.Equal(got.Severity, s)
			is.Equal(got.Location.Part, tc.part)
			is.Equal(got.Location.Name, tc.entry)
			is.Equal(got.Location.Field, tc.field)
			is.Equal(got.Message, tc.message)
		})
	}
}

func TestErrorsThatInstancesRefuse(t *testing.T) {
	runExpectations(t, Error, Known{}, []expectation{
		{"a negative version", func(c *routing.Configuration) { c.Version = -1 }, Whole, "", Version, "must not be negative, not -1"},
		{"two routes of one name", func(c *routing.Configuration) { c.Routes[1].Name = "chat" }, Route, "chat", Name,
			`"chat" is also the name of the route at position 0`},
		{"two services of one name", func(c *routing.Configuration) {
			c.Duplicates = []routing.Duplicate{{Kind: routing.DuplicateService, Name: "llm", Index: 2}}
		}, Service, "llm", Name, `an earlier service has the name "llm"`},
		{"two accounts of one name", func(c *routing.Configuration) {
			c.Duplicates = []routing.Duplicate{{Kind: routing.DuplicateAccount, Name: "acme", Index: 2}}
		}, Account, "acme", Name, `an earlier account has the name "acme"`},
		{"a key of two accounts", func(c *routing.Configuration) {
			c.Duplicates = []routing.Duplicate{{Kind: routing.DuplicateKey, Name: "other", Index: 1, Key: "key-of-acme", Holder: "acme"}}
		}, Account, "other", Keys, `the accounts "acme" and "other" both hold the key sha256:689febd2`},
		{"an empty key", func(c *routing.Configuration) { c.Keys[""] = "acme" }, Account, "acme", Keys,
			"an empty key would admit requests without one"},
		{"a prefix that does not begin with a slash", func(c *routing.Configuration) { c.Routes[0].PathPrefix = "chat/" }, Route, "chat",
			PathPrefix, `must begin and end with a slash, not "chat/"`},
		{"a prefix that does not end with a slash", func(c *routing.Configuration) { c.Routes[0].PathPrefix = "/chat" }, Route, "chat",
			PathPrefix, `must begin and end with a slash, not "/chat"`},
		{"a timeout of zero", func(c *routing.Configuration) { c.Routes[1].Timeout = 0 }, Route, "read", Timeout,
			"must be above zero, not 0s"},
		{"a negative objective", func(c *routing.Configuration) { c.Routes[1].LatencyObjective = -time.Second }, Route, "read",
			LatencyObjective, "must not be negative, not -1s"},
		{"a negative retention", func(c *routing.Configuration) { c.Routes[0].HistoryTTL = -time.Second }, Route, "chat", HistoryTTL,
			"must not be negative, not -1s"},
		{"a negative pause target", func(c *routing.Configuration) { c.Routes[0].EventInterval = -time.Second }, Route, "chat",
			EventInterval, "must not be negative, not -1s"},
		{"a route to a misspelt service", func(c *routing.Configuration) { c.Routes[1].Targets[0].Service = "tol" }, Route, "read", Targets,
			`there is no service "tol"; the nearest name is "tool"`},
		{"a route to a service that is nothing like the others",
			func(c *routing.Configuration) { c.Routes[1].Targets[0].Service = "billing" }, Route, "read", Targets,
			`there is no service "billing"`},
		{"a route to no service", func(c *routing.Configuration) { c.Routes[1].Targets = nil }, Route, "read", Targets,
			"the route leads to no service"},
		{"a negative weight", func(c *routing.Configuration) { c.Routes[0].Targets[1].Weight = -1 }, Route, "chat", Targets,
			`the weight of "tool" must not be negative, not -1`},
		{"negative connections", func(c *routing.Configuration) { c.Services["tool"] = routing.Service{Name: "tool", MaxConns: -1} },
			Service, "tool", MaxConns, "must not be negative, not -1"},
		{"negative slots", func(c *routing.Configuration) { c.Services["llm"].Engine.Slots = -1 }, Service, "llm", Slots,
			"must not be negative, not -1"},
		{"a negative cold rate", func(c *routing.Configuration) {
			c.Services["tool"] = routing.Service{Name: "tool", ColdRequestsPerSecond: -2}
		}, Service, "tool", ColdRate, "must not be negative, not -2"},
		{"a negative rate", func(c *routing.Configuration) {
			c.Accounts["acme"] = routing.Account{Name: "acme", RequestsPerSecond: -1}
		},
			Account, "acme", Rate, "must not be negative, not -1"},
		{"a negative burst", func(c *routing.Configuration) { c.Accounts["acme"] = routing.Account{Name: "acme", Burst: -1} }, Account,
			"acme", Burst, "must not be negative, not -1"},
		{"a negative body limit", func(c *routing.Configuration) { c.Limits.BodyBytes = -1 }, Limits, "", BodyBytes,
			"must not be negative, not -1"},
		{"a negative idle timeout", func(c *routing.Configuration) { c.Limits.IdleTimeout = -1 }, Limits, "", IdleTimeout,
			"must not be negative, not -1ns"},
	})
}

func TestEntriesThatNeverMatch(t *testing.T) {
	runExpectations(t, Warning, Known{Regions: []string{"cairo", "luxor"}}, []expectation{
		{"a route with the host and prefix of an earlier one", func(c *routing.Configuration) { c.Routes[1].PathPrefix = "/chat/" }, Route,
			"read", Entry, `never matches: the route "chat" at position 0 has the same host and prefix`},
		{"a route without a host", func(c *routing.Configuration) { c.Routes[1].Host = "" }, Route, "read", Host,
			"never matches: it is missing, and every request names one"},
		{"an account without keys", func(c *routing.Configuration) { delete(c.Keys, "key-of-acme") }, Account, "acme", Keys,
			`the account "acme" holds no key, so that no request is its own`},
		{"a weight of zero", func(c *routing.Configuration) { c.Routes[0].Targets[1].Weight = 0 }, Route, "chat", Targets,
			`the service "tool" has the weight zero and gets no request`},
		{"the only weight is zero", func(c *routing.Configuration) { c.Routes[1].Targets[0].Weight = 0 }, Route, "read", Targets,
			`the only service "tool" has the weight zero and gets every request nevertheless`},
		{"all weights are zero", func(c *routing.Configuration) {
			c.Routes[0].Targets[0].Weight, c.Routes[0].Targets[1].Weight = 0, 0
		}, Route, "chat", Targets, "all weights are zero, so that no service gets a request"},
		{"a home region that the settings file does not have",
			func(c *routing.Configuration) { c.Routes[0].HomeRegions = []string{"cairo", "aswan"} }, Route, "chat", HomeRegions,
			`the region "aswan" is probably not in the site: it is not one of the settings file's: cairo, luxor`},
		{"no routes", func(c *routing.Configuration) { c.Routes = nil }, Whole, "", Routes,
			"there is none, so that every request gets 404"},
		{"no version", func(c *routing.Configuration) { c.Version = 0 }, Whole, "", Version,
			"is missing or zero, so that instances which have any version ignore it"},
	})
}

func TestHomeRegionThatNoOtherEntryNames(t *testing.T) {
	is := is.New(t)
	c := valid()
	c.Accounts["acme"] = routing.Account{Name: "acme", RequestsPerSecond: 10, Burst: 20, HomeRegions: []string{"ciaro"}}
	is.Equal(Warnings(c, Known{}), Findings{}) // the only region named: nothing to compare it with
	c.Routes[0].HomeRegions = []string{"cairo"}
	c.Routes[1].HomeRegions = []string{"cairo"}
	found := Warnings(c, Known{})
	is.Equal(found.Total, 1)
	is.Equal(found.List[0], Finding{Warning, account("acme", HomeRegions),
		`the region "ciaro" is probably not in the site: no other route or account names it (no settings file was given)`})
}

func TestLimitsThatContradictEachOther(t *testing.T) {
	known := Known{
		MemoryBytes: 2 << 20, Servers: map[string]int{"llm": 1, "tool": 2},
		RequestTimes: map[routing.Kind]RequestTime{routing.Idempotent: {AtLeast: 640 * time.Millisecond, Share: 0.9}},
	}
	setAccount := func(rate, burst float64) func(*routing.Configuration) {
		return func(c *routing.Configuration) {
			c.Accounts["acme"] = routing.Account{Name: "acme", RequestsPerSecond: rate, Burst: burst}
		}
	}
	runExpectations(t, Warning, known, []expectation{
		{"an objective above the timeout", func(c *routing.Configuration) { c.Routes[1].LatencyObjective = 2 * time.Second }, Route, "read",
			LatencyObjective, "2s is above the timeout of 1s"},
		{"a timeout below the time of known calls", func(c *routing.Configuration) { c.Routes[1].Timeout = 500 * time.Millisecond }, Route,
			"read", Timeout, "500ms is below the time of known calls: at least 10% of the idempotent ones take over 640ms"},
		{"more attempts than servers", func(c *routing.Configuration) { c.Routes[1].MaxAttempts = 3 }, Route, "read", MaxAttempts,
			"3 attempts at different servers, but the store lists 2 for the route's services"},
		{"stored history without retention", func(c *routing.Configuration) { c.Routes[0].HistoryTTL = 0 }, Route, "chat", HistoryTTL,
			"histories are stored but not kept for any time"},
		{"a pause target without streaming", func(c *routing.Configuration) { c.Routes[1].EventInterval = time.Second }, Route, "read",
			EventInterval, "a pause target has no effect on a route that does not stream"},
		{"resumable without streaming", func(c *routing.Configuration) { c.Routes[1].Resumable = true }, Route, "read", Resumable,
			"has no effect on a route that does not stream"},
		{"a cold rate without a cold period", func(c *routing.Configuration) {
			c.Services["tool"] = routing.Service{Name: "tool", ColdRequestsPerSecond: 2}
		}, Service, "tool", ColdRate, "has no effect without a cold period"},
		{"a cold period without a cold rate", func(c *routing.Configuration) {
			c.Services["tool"] = routing.Service{Name: "tool", ColdPeriod: 2}
		}, Service, "tool", ColdPeriod, "has no effect without a cold rate"},
		{"a burst below one request", setAccount(10, 0.5), Account, "acme", Burst,
			"0.5 is below the 1 request that a program sends at once"},
		{"a burst without a rate", setAccount(0, 5), Account, "acme", Burst, "has no effect without a rate"},
		{"a rate below one turn in the retention", setAccount(0.01, 5), Account, "acme", Rate,
			"at 0.01 requests/s the second turn of a program comes after its history expired (1m0s)"},
		{"no idle timeout", func(c *routing.Configuration) { c.Limits.IdleTimeout = 0 }, Limits, "", IdleTimeout,
			"is missing or zero, so that the daemon's default applies"},
		{"bodies over the memory of an instance", func(c *routing.Configuration) { c.Limits.BodyBytes = 4 << 20 }, Limits, "", BodyBytes,
			"one body of 4194304 bytes is over the memory of an instance, 2097152 bytes"},
	})
}

func TestRatesOfAllAccountsBelowOneProgram(t *testing.T) {
	is := is.New(t)
	c := valid()
	c.Accounts["acme"] = routing.Account{Name: "acme", RequestsPerSecond: 0.01, Burst: 5}
	c.Accounts["other"] = routing.Account{Name: "other", RequestsPerSecond: 0.01, Burst: 5}
	found := Warnings(c, Known{})
	is.Equal(found.Total, 3) // both accounts, and their sum
	is.Equal(found.List[2].Message, "the rates of all accounts together, 0.02 requests/s, are below one program of 2 turns in "+
		"the 1m0s for which histories are kept")
}

func TestChangesFromTheVersionInForce(t *testing.T) {
	is := is.New(t)
	old, next := valid(), valid()
	old.BuildIndex()
	next.Version = 8
	next.Limits.BodyBytes, next.Limits.IdleTimeout = 1000, 5*time.Second
	next.Routes[0].Timeout = 3 * time.Second
	next.Routes[1] = routing.Route{Name: "look", Host: "h.example", PathPrefix: "/look/"}
	next.Accounts["acme"] = routing.Account{Name: "acme", RequestsPerSecond: 4, Burst: 20}
	next.Keys = map[string]string{"key-of-acme": "other", "fresh": "acme"}
	next.BuildIndex()
	changes, found := Compare(old, next)
	is.Equal(found, Findings{})
	var lines []string
	for _, c := range changes {
		lines = append(lines, fmt.Sprintf("%s %d %q %s: %s > %s, %s, %s", c.Kind, c.Location.Part, c.Location.Name, c.Location.Field,
			c.Old, c.New, c.Effect, c.Withdraws))
	}
	is.Equal(lines, []string{
		`changed 1 "" body limit: 1048576 > 1000, at once, requests with longer bodies get 413`,
		`changed 1 "" idle timeout: 15s > 5s, at the restart of each instance, `,
		`changed 2 "chat" timeout: 5s > 3s, at once, requests that take longer end sooner`,
		`removed 2 "read" :  > , at once, requests to h.example/read/ get 404`,
		`added 2 "look" :  > , at once, `,
		`changed 4 "acme" rate: 10/s > 4/s, at once, requests over the lower rate get 429`,
		`removed 4 "other" keys: ` + KeyDigest("key-of-other") + ` > , at once, requests with this key get 401`,
		`changed 4 "acme" keys: ` + KeyDigest("key-of-acme") + ` > ` + KeyDigest("key-of-acme") + ` of other, at once, ` +
			`requests with this key count for another account, whose programs they can't continue`,
		`added 4 "acme" keys:  > ` + KeyDigest("fresh") + `, at once, `,
	})
}

func TestARouteThatAnotherReplacesWithdrawsNothing(t *testing.T) {
	is := is.New(t)
	old, next := valid(), valid()
	next.Version = 8
	next.Routes[1].Name = "read-2"
	next.BuildIndex()
	changes, _ := Compare(old, next)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Kind, Removed)
	is.Equal(changes[0].Withdraws, "")
}

func TestAVersionThatIsNotNewerIsAnError(t *testing.T) {
	is := is.New(t)
	for _, version := range []int64{6, 7} {
		next := valid()
		next.Version = version
		changes, found := Compare(valid(), next)
		is.Equal(len(changes), 0)
		is.Equal(found.List, []Finding{{Error, whole(Version), fmt.Sprintf("%d is not newer than 7, which is in force", version)}})
	}
}

func TestNoFindingShowsAKey(t *testing.T) {
	is := is.New(t)
	c, old := valid(), valid()
	c.Keys = map[string]string{"secret-1": "acme", "": "other"}
	c.Duplicates = []routing.Duplicate{{Kind: routing.DuplicateKey, Name: "other", Index: 1, Key: "secret-1", Holder: "acme"}}
	c.BuildIndex()
	changes, found := Compare(old, c)
	text := fmt.Sprint(changes, found, Errors(c), Warnings(c, Known{}))
	is.True(!strings.Contains(text, "secret-1") && !strings.Contains(text, "key-of-acme"))
}

func TestFindingsAreBounded(t *testing.T) {
	is := is.New(t)
	c := valid()
	for i := range 10 * MaxFindings {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprint(i, strings.Repeat("x", 1<<10)), PathPrefix: strings.Repeat("y", 1<<10)})
	}
	found := Errors(c)
	is.Equal(len(found.List), MaxFindings)
	is.Equal(found.Total, 10*MaxFindings*3)
	for _, f := range found.List {
		is.True(len(f.Message) <= maxMessageBytes+len("..."))
	}
}

func TestNearestName(t *testing.T) {
	is := is.New(t)
	names := []string{"timeout", "objective", "retain", "retains"}
	for name, want := range map[string]string{
		"timeot": "timeout", "objektiv": "objective", "retains": "retains", "x": "", "colour": "", strings.Repeat("t", 100): "",
	} {
		is.Equal(Nearest(name, names), want) // for name
	}
}

// TestAChangeOfAnyFieldIsShown fails for a field that is added to the configuration but not to Compare.
func TestAChangeOfAnyFieldIsShown(t *testing.T) {
	for _, part := range []struct {
		name   string
		fields reflect.Type
		// of returns the part in which a field is changed.
		of func(*routing.Configuration) reflect.Value
		// put writes the part back where it is held by value.
		put func(*routing.Configuration, reflect.Value)
	}{
		{"route", reflect.TypeFor[routing.Route](), func(c *routing.Configuration) reflect.Value { return reflect.ValueOf(&c.Routes[0]) }, nil},
		{"limits", reflect.TypeFor[routing.Limits](), func(c *routing.Configuration) reflect.Value { return reflect.ValueOf(&c.Limits) }, nil},
		{"engine", reflect.TypeFor[routing.Engine](), func(c *routing.Configuration) reflect.Value {
			return reflect.ValueOf(c.Services["llm"].Engine)
		}, nil},
		{"service", reflect.TypeFor[routing.Service](), func(c *routing.Configuration) reflect.Value {
			s := c.Services["llm"]
			return reflect.ValueOf(&s)
		}, func(c *routing.Configuration, v reflect.Value) {
			c.Services["llm"] = v.Elem().Interface().(routing.Service)
		}},
		{"account", reflect.TypeFor[routing.Account](), func(c *routing.Configuration) reflect.Value {
			a := c.Accounts["acme"]
			a.HasPriority = true
			return reflect.ValueOf(&a)
		}, func(c *routing.Configuration, v reflect.Value) {
			c.Accounts["acme"] = v.Elem().Interface().(routing.Account)
		}},
	} {
		for field := range part.fields.Fields() {
			if field.Name == "Name" && part.name != "route" || field.Name == "Engine" {
				continue // The names of services and accounts are their keys; the fields of engines are compared.
			}
			t.Run(part.name+" "+field.Name, func(t *testing.T) {
				is := is.New(t)
				old, next := valid(), valid()
				next.Version = old.Version + 1
				for i, c := range []*routing.Configuration{old, next} {
					v := part.of(c)
					if i == 1 {
						change(v.Elem().FieldByName(field.Name))
					}
					if part.put != nil {
						part.put(c, v)
					}
					c.BuildIndex()
				}
				changes, _ := Compare(old, next)
				is.True(len(changes) > 0)
			})
		}
	}
}

// change sets a value to another one.
func change(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Slice:
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
	default:
		panic("a field of a kind that the test can't change: " + v.Kind().String())
	}
}
