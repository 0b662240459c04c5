// Package settings reads the settings file of the daemon. Every problem of a file is reported at once.
package settings

import "time"

// Duration is a time.Duration that the file gives with its unit, for example "500ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the settings of one instance. A process learns its addresses and data centre from here. The tags serve to
// write a file; Parse reads one.
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

// Instance places the daemon.
type Instance struct {
	// ID is unique among the running instances.
	ID string `toml:"id"`
	// DataCentre is the daemon's data centre; it must be among DataCentres.
	DataCentre string `toml:"data_centre"`
	// DataCentres lists all data centres of the site.
	DataCentres []string `toml:"data_centres"`
	// Slot is the daemon's place in its data centre's cell, from 0.
	Slot int `toml:"slot"`
	// CellSlots is the number of slots of the data centre's cell, 1 to 7.
	CellSlots int `toml:"cell_slots"`
}

// Listen holds the addresses that the daemon binds and tells others.
type Listen struct {
	// Callers is the host:port of the HTTP server.
	Callers string `toml:"callers"`
	// Peers is the host:port of the gRPC server for other instances and operators.
	Peers string `toml:"peers"`
	// AdvertiseCallers and AdvertisePeers are told to others where they differ from what is bound.
	AdvertiseCallers string `toml:"advertise_callers,omitempty"`
	AdvertisePeers   string `toml:"advertise_peers,omitempty"`
	// Debug is the host:port of Go's profiles; empty leaves them off. Keep it off every network but the operators'.
	Debug string `toml:"debug,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the base URL of the log service.
	Log string `toml:"log"`
	// Instances is the base URL of the instance list.
	Instances string `toml:"instances"`
	// Appends is the number of appends a second that the instances together may make.
	Appends int `toml:"appends"`
	// Retention is how long the log keeps records. What lives longer is put on the log again.
	Retention Duration `toml:"retention"`
}

// Peers names instances that are asked for the others at the start, beside the platform's list.
type Peers struct {
	Seeds []string `toml:"seeds,omitempty"`
}

// Timing bounds waits.
type Timing struct {
	// Lease is how long a holder keeps a part without an answer of its cell.
	Lease Duration `toml:"lease"`
	// Margin allows for the drift of clocks over a lease.
	Margin Duration `toml:"margin"`
	// Heartbeat is the pause between two heartbeats within a cell.
	Heartbeat Duration `toml:"heartbeat"`
	// ClaimWindow is how long a cell remembers claims, and how long a slot that starts without what its predecessor
	// knew abstains from votes on claims.
	ClaimWindow Duration `toml:"claim_window"`
	// FirstToken bounds the wait for an engine's first token.
	FirstToken Duration `toml:"first_token"`
	// Progress bounds the wait between two tokens.
	Progress Duration `toml:"progress"`
	// Shutdown bounds a graceful shutdown.
	Shutdown Duration `toml:"shutdown"`
}

// Scheduling chooses the policy.
type Scheduling struct {
	// Policy is "berylpond", "least-loaded" or "fifo-round-robin".
	Policy string `toml:"policy"`
}

// Log sets the daemon's own log.
type Log struct {
	// Verbosity is klog's level, from 0.
	Verbosity int `toml:"verbosity"`
}

// Faults arms failpoints. For tests only.
type Faults struct {
	Failpoints string `toml:"failpoints,omitempty"`
	// PanicOnViolation ends the process when an invariant is violated.
	PanicOnViolation bool `toml:"panic_on_violation"`
}

// Default returns the settings that a file may leave out.
func Default() Settings {
	return Settings{
		Instance: Instance{CellSlots: 1},
		Platform: Platform{Appends: 300, Retention: Duration(time.Hour)},
		Timing: Timing{
			Lease: Duration(2 * time.Second), Margin: Duration(200 * time.Millisecond), Heartbeat: Duration(500 * time.Millisecond),
			ClaimWindow: Duration(time.Minute), FirstToken: Duration(20 * time.Second), Progress: Duration(5 * time.Second),
			Shutdown: Duration(30 * time.Second),
		},
		Scheduling: Scheduling{Policy: "berylpond"},
	}
}
