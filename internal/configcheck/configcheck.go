// Package configcheck checks a configuration, and compares it with the version in force, before it is sent. Its load
// pattern is the operator's edit: rare, large (thousands of routes) and, if wrong, wrong at every instance at once.
//
// Errors is the validation of the daemon: an instance keeps the version in force if it finds one. Warnings are about
// configurations that an instance puts into force although they are probably not what the operator meant.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Severity of a finding.
type Severity string

// Severities.
const (
	// Error means that instances refuse the configuration.
	Error Severity = "error"
	// Warning means that instances put the configuration into force.
	Warning Severity = "warning"
)

// Part is a part of the configuration.
type Part int

// Parts of the configuration.
const (
	Whole Part = iota
	Limits
	Route
	Service
	Account
)

// Field is a field of a part; the zero value is the whole entry.
type Field string

// Fields.
const (
	Entry            Field = ""
	Version          Field = "version"
	Routes           Field = "routes"
	Name             Field = "name"
	Host             Field = "host"
	PathPrefix       Field = "path prefix"
	Kind             Field = "kind"
	Timeout          Field = "timeout"
	LatencyObjective Field = "latency objective"
	Priority         Field = "priority"
	Targets          Field = "services"
	MaxAttempts      Field = "maximum number of attempts"
	StoresHistory    Field = "stored history"
	HistoryTTL       Field = "retention of histories"
	Public           Field = "public"
	Affinity         Field = "affinity"
	Resumable        Field = "resumable"
	EventInterval    Field = "pause target"
	HomeRegions      Field = "home regions"
	HealthPath       Field = "health path"
	MaxConns         Field = "maximum number of connections"
	ColdRate         Field = "cold rate"
	ColdPeriod       Field = "cold period"
	Slots            Field = "slots"
	KVCacheTokens    Field = "KV cache"
	EventTokens      Field = "tokens in an event"
	PinDuration      Field = "longest pin"
	HeaderBytes      Field = "header limit"
	BodyBytes        Field = "body limit"
	HeaderTimeout    Field = "header timeout"
	IdleTimeout      Field = "idle timeout"
	Keys             Field = "keys"
	Rate             Field = "rate"
	Burst            Field = "burst"
)

// Location names a field without the words of the published format.
type Location struct {
	Part Part
	// Index is the position of the route, service or account in the document; -1 if only Name is known.
	Index int
	Name  string
	Field Field
}

// Finding is one problem.
type Finding struct {
	Severity Severity
	Location Location
	Message  string
}

// maxMessageBytes is the length at which a message that quotes the document is cut.
const maxMessageBytes = 300

// MaxFindings bounds the findings of one function; further ones are only counted.
const MaxFindings = 200

// Findings is a bounded list of findings.
type Findings struct {
	List []Finding
	// Total counts all findings, also those beyond MaxFindings.
	Total int
}

func (f *Findings) add(s Severity, l Location, format string, args ...any) {
	f.Total++
	if len(f.List) < MaxFindings {
		message := fmt.Sprintf(format, args...)
		if len(message) > maxMessageBytes {
			message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
		}
		f.List = append(f.List, Finding{Severity: s, Location: l, Message: message})
	}
}

func (f *Findings) errorf(l Location, format string, args ...any) { f.add(Error, l, format, args...) }
func (f *Findings) warnf(l Location, format string, args ...any)  { f.add(Warning, l, format, args...) }

func whole(f Field) Location                     { return Location{Part: Whole, Index: -1, Field: f} }
func limits(f Field) Location                    { return Location{Part: Limits, Index: -1, Field: f} }
func route(i int, name string, f Field) Location { return Location{Route, i, name, f} }
func service(name string, f Field) Location      { return Location{Service, -1, name, f} }
func account(name string, f Field) Location      { return Location{Account, -1, name, f} }

// keyDigestBytes is the length of a key's digest: enough to tell an operator's keys apart, not to recover one.
const keyDigestBytes = 4

// KeyDigest returns a short digest of a key, for output in place of the key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:keyDigestBytes])
}
