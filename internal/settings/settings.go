// Package settings decodes and validates the settings file of the daemon. All problems of a file are reported together.
package settings

import "time"

// Duration is a time.Duration that is written with its unit, for example "500ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the settings of one instance. They are the only source of its addresses and data centre. The tags are
// used for encoding only; Parse does not use them.
type Settings struct {
	Instance   Instance   `toml:"instance"`
	Listen     Listen     `toml:"listen"`
	Platform   Platform   `toml:"platform"`
	Peers      Peers      `toml:"peers"`
	Timing     Timing     `toml:"timing"`
	Scheduling Scheduling `toml:"scheduling"`
	Log        Log        `toml:"log"`
	Faults     Faults     `toml:"faults"`
}

// Instance identifies the daemon and its position in the deployment.
type Instance struct {
	// ID is unique among the running instances.
	ID string `toml:"id"`
	// DataCentre is the daemon's data centre; it must be among DataCentres.
	DataCentre string `toml:"data_centre"`
	// DataCentres lists all data centres of the deployment.
	DataCentres []string `toml:"data_centres"`
	// Slot is the index of the daemon in its data centre's cell, from 0.
	Slot int `toml:"slot"`
	// CellSlots is the number of slots of the data centre's cell, 1 to 7.
	CellSlots int `toml:"cell_slots"`
}

// Listen holds the addresses that the daemon binds and advertises.
type Listen struct {
	// Callers is the host:port of the HTTP server for callers.
	Callers string `toml:"callers"`
	// Peers is the host:port of the gRPC server for other instances and operators.
	Peers string `toml:"peers"`
	// AdvertiseCallers and AdvertisePeers are the advertised addresses if they differ from the bound ones.
	AdvertiseCallers string `toml:"advertise_callers,omitempty"`
	AdvertisePeers   string `toml:"advertise_peers,omitempty"`
	// Debug is the host:port of Go's profiling endpoints; empty disables them. It must be reachable by operators only.
	Debug string `toml:"debug,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// LogURL is the base URL of the log service.
	LogURL string `toml:"log"`
	// InstancesURL is the base URL of the instance list.
	InstancesURL string `toml:"instances"`
	// AppendRate is the maximum number of appends per second of all instances together.
	AppendRate int `toml:"appends"`
	// Retention is how long the log keeps records. State that lives longer is appended again.
	Retention Duration `toml:"retention"`
}

// Peers lists instances that are contacted at startup to find the others, in addition to the platform's instance list.
type Peers struct {
	Seeds []string `toml:"seeds,omitempty"`
}

// Timing holds timeouts and intervals.
type Timing struct {
	// Lease is how long a holder keeps the lease of a shard without a renewal by its cell.
	Lease Duration `toml:"lease"`
	// ClockMargin is the allowance for clock drift during a lease.
	ClockMargin Duration `toml:"margin"`
	// Heartbeat is the interval between heartbeats within a cell.
	Heartbeat Duration `toml:"heartbeat"`
	// ClaimWindow is how long a cell stores claims, and how long a slot that has started without the state of its
	// predecessor abstains from votes on claims.
	ClaimWindow Duration `toml:"claim_window"`
	// FirstTokenTimeout is the timeout for an engine's first token.
	FirstTokenTimeout Duration `toml:"first_token"`
	// TokenTimeout is the timeout between two tokens.
	TokenTimeout Duration `toml:"progress"`
	// Shutdown is the timeout of a graceful shutdown.
	Shutdown Duration `toml:"shutdown"`
}

// Scheduling holds the settings of the scheduler.
type Scheduling struct {
	// Policy is "berylpond", "least-loaded" or "fifo-round-robin".
	Policy string `toml:"policy"`
}

// Log holds the settings of the daemon's log output.
type Log struct {
	// Verbosity is klog's verbosity level, from 0.
	Verbosity int `toml:"verbosity"`
}

// Faults enables failpoints. For tests only.
type Faults struct {
	Failpoints string `toml:"failpoints,omitempty"`
	// PanicOnViolation makes the process panic when an invariant is violated.
	PanicOnViolation bool `toml:"panic_on_violation"`
}

// Default returns the default values of optional settings.
func Default() Settings {
	return Settings{
		Instance: Instance{CellSlots: 1},
		Platform: Platform{AppendRate: 300, Retention: Duration(time.Hour)},
		Timing: Timing{
			Lease: Duration(2 * time.Second), ClockMargin: Duration(200 * time.Millisecond), Heartbeat: Duration(500 * time.Millisecond),
			ClaimWindow: Duration(time.Minute), FirstTokenTimeout: Duration(20 * time.Second),
			TokenTimeout: Duration(5 * time.Second),
			Shutdown:     Duration(30 * time.Second),
		},
		Scheduling: Scheduling{Policy: "berylpond"},
	}
}
