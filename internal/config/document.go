// Package config decodes, validates and compiles the configuration that operators publish:
// the index, the failure domains, the teams, and the services with their backend servers.
//
// Each service is a separate value, and a small index lists the version of each value, so
// that a change transfers only a few kilobytes. A single value for everything was rejected:
// with 9,000 backend servers it is about a megabyte, which does not fit into a daemon's
// control traffic budget of 17 KB/s within 4 s.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/ring"
)

// Version is the version of a published value. It never decreases.
type Version uint64

// ValueName names a published value, for example "service/planning".
type ValueName string

// The names and prefixes of published values.
const (
	IndexName     ValueName = "index"
	DomainsName   ValueName = "domains"
	InstancesName ValueName = "instances"
	servicePrefix           = "service/"
	teamPrefix              = "team/"
)

// MaxValueBytes is the platform's limit on the size of a value.
const MaxValueBytes = 1 << 20

// Duration is a duration that is encoded as text, for example "30s" or "4h".
type Duration time.Duration

// UnmarshalText parses a duration in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"30s\" or \"4h\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats a duration in the syntax of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Index lists the values of the current configuration and their versions.
type Index struct {
	Version  Version
	HashSeed flow.Seed
	Values   []IndexEntry
}

// IndexEntry is a value and its version in an Index.
type IndexEntry struct {
	Name    ValueName
	Version Version
}

// Domains is the document with all failure domains.
type Domains struct {
	Domains []Domain
}

// Domain is a failure domain. Fabric names the network fabric that spreads the domain's
// packets over a set of balancers. Domains with the same fabric share their backend servers.
type Domain struct {
	Name   string
	Region string
	Fabric string
}

// Team owns services. Its services may use only Addresses. MaxServices and MaxBackends limit
// the number of its services and of their backend servers; zero means no limit.
type Team struct {
	Name        string
	Addresses   []netip.Prefix
	MaxServices int
	MaxBackends int
}

// Return says how responses reach callers.
type Return string

// ReturnDirect is direct server return: backend servers send responses directly to callers.
const ReturnDirect Return = "Direct"

// State is the lifecycle state of a backend server.
type State string

// The states of a backend server. Leaving servers get no new flows.
const (
	Active  State = "Active"
	Leaving State = "Leaving"
)

// Service is an address that callers connect to, with its settings and backend servers.
type Service struct {
	Name     string
	Team     string
	Address  netip.AddrPort
	Protocol flow.Protocol
	Return   Return
	// IdleTimeout is the time without packets after which a flow may expire.
	IdleTimeout Duration
	// ColdStart is how long a new backend server takes to reach its full share of new flows.
	ColdStart Duration
	// DrainDeadline limits how long flows stay on a leaving backend server. Zero means that
	// flows run to their end.
	DrainDeadline Duration
	// ResetAfter is how long a backend server must report itself unhealthy before its open
	// flows are reset. Zero means that they are never reset.
	ResetAfter Duration
	Limits     Limits
	Backends   []Backend
}

// Limits limits the new flows per second and the open flows of one backend server at one
// balancer. Zero means no limit.
type Limits struct {
	NewPerSecond int
	OpenFlows    int
}

// Backend is a backend server of a service.
type Backend struct {
	Name   string
	Domain string
	// Address is the UDP endpoint that receives encapsulated IP packets.
	Address netip.AddrPort
	// Load is the HTTP endpoint of the load report. It is optional.
	Load   netip.AddrPort
	Weight ring.Weight
	// Slots is the number of requests that the server processes concurrently, 0 if unknown.
	Slots int
	State State
}

// InstanceState is the state of an instance on the platform's instance list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "Live"
	InstanceLeaving InstanceState = "Leaving"
)

// Instances is the platform's instance list: the balancers of a fabric. It lags behind the
// actual state.
type Instances struct {
	Instances []Instance
}

// Instance is one balancer on the instance list. Address receives control traffic from peers,
// Traffic receives packets from the fabric.
type Instance struct {
	Name    string
	Domain  string
	Rack    string
	Fabric  string
	Address netip.AddrPort
	Traffic netip.AddrPort
	State   InstanceState
}

// Key returns the key that identifies the instance among balancers.
func (i Instance) Key() flow.MemberKey {
	return flow.MemberKey(flow.NameKey(i.Name))
}

// Problem is a mistake in a published value, described for operators. File is the name of the
// value or its file, Path the field, and Fix a suggestion for correcting it. Line is 0 if
// unknown; Path and Fix may be empty.
type Problem struct {
	File   string
	Line   int
	Path   string
	Reason string
	Fix    string
}

// String formats the problem on one line.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", location, p.Line)
	}
	if p.Path != "" {
		location += ": " + p.Path
	}
	text := location + ": " + p.Reason
	if p.Fix != "" {
		text += " (" + p.Fix + ")"
	}
	return text
}

// Problems holds all problems found by a check.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes a JSON document strictly: it rejects unknown fields, trailing data and
// values larger than MaxValueBytes. The error is of type Problems and names the file.
func Decode[T any](file string, data []byte) (T, error) {
	var document T
	if len(data) > MaxValueBytes {
		reason := fmt.Sprintf("%d bytes, at most %d are allowed in one value", len(data), MaxValueBytes)
		return document, Problems{{File: file, Reason: reason, Fix: "split the value"}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return document, Problems{newDecodeProblem(file, data, decoder.InputOffset(), err)}
	}
	if decoder.More() {
		line := lineAt(data, decoder.InputOffset())
		return document, Problems{{File: file, Line: line, Reason: "unexpected data after the document", Fix: "remove it"}}
	}
	return document, nil
}

// newDecodeProblem describes a decoding error. It locates the line as exactly as the error
// permits.
func newDecodeProblem(file string, data []byte, offset int64, err error) Problem {
	problem := Problem{File: file, Reason: strings.TrimPrefix(err.Error(), "json: ")}
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
		problem.Path = mismatch.Field
	case strings.Contains(err.Error(), "unknown field"):
		problem.Fix = "docs/CONFIGURATION.md lists the fields"
		if found := bytes.Index(data, []byte(firstQuoted(err.Error()))); found >= 0 {
			offset = int64(found)
		}
	}
	problem.Line = lineAt(data, offset)
	return problem
}

// firstQuoted returns the first double-quoted part of a text with its quotes, or the text if
// it has none.
func firstQuoted(text string) string {
	parts := strings.SplitN(text, `"`, 3)
	if len(parts) < 3 {
		return text
	}
	return `"` + parts[1] + `"`
}

// lineAt returns the number of the line that holds a byte offset, counted from 1.
func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
