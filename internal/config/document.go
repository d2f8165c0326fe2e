// Package config reads, checks and compiles the values that operators publish:
// the index, failure domains, teams and services with their backend servers.
//
// Each service is a value of its own and a small index names the version of
// each value, so that a change moves a few kilobytes. One value for everything
// was rejected: at 9,000 backend servers it is about a megabyte, and a daemon's
// control budget of 17 KB/s could not carry it within 4 s.
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

// Version counts the publications of a value. It only grows.
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

// MaxValueBytes is the platform's bound on the size of one value.
const MaxValueBytes = 1 << 20

// Duration is a time span, written as in "30s" or "4h".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"30s\" or \"4h\"", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Index lists the values in force and their versions.
type Index struct {
	Version  Version
	HashSeed flow.Seed
	Values   []IndexEntry
}

// IndexEntry names one value in force.
type IndexEntry struct {
	Name    ValueName
	Version Version
}

// Domains lists the failure domains.
type Domains struct {
	Domains []Domain
}

// Domain is a failure domain. Fabric names the set of balancers between which
// its fabric sprays packets; domains with one fabric share their backend servers.
type Domain struct {
	Name   string
	Region string
	Fabric string
}

// Team owns services, within limits.
type Team struct {
	Name        string
	Addresses   []netip.Prefix
	MaxServices int
	MaxBackends int
}

// Return says how answers reach callers.
type Return string

// ReturnDirect sends answers from the backend server straight to the caller.
const ReturnDirect Return = "Direct"

// State is a backend server's place in its life.
type State string

// The states of a backend server.
const (
	Active  State = "Active"
	Leaving State = "Leaving"
)

// Service is an address that callers use, with its rules and backend servers.
type Service struct {
	Name     string
	Team     string
	Address  netip.AddrPort
	Protocol flow.Protocol
	Return   Return
	// IdleTimeout is how long a flow may be silent before it may be forgotten.
	IdleTimeout Duration
	// ColdStart is how long a new backend server takes to reach its full share.
	ColdStart Duration
	// DrainDeadline bounds how long flows stay on a leaving backend server; zero
	// lets them finish.
	DrainDeadline Duration
	// ResetAfter is how long a backend server's reports must have been unhealthy
	// before its open flows are reset; zero never resets them.
	ResetAfter Duration
	Limits     Limits
	Backends   []Backend
}

// Limits bound what one balancer sends to one backend server. Zero is no limit.
type Limits struct {
	NewPerSecond int
	OpenFlows    int
}

// Backend is a backend server of a service.
type Backend struct {
	Name   string
	Domain string
	// Address receives bare IP packets inside UDP.
	Address netip.AddrPort
	// Load is the address of the load report over HTTP; it may be left out.
	Load   netip.AddrPort
	Weight ring.Weight
	Slots  int
	State  State
}

// InstanceState is an instance's state on the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "Live"
	InstanceLeaving InstanceState = "Leaving"
)

// Instances is the platform's lagging list of balancers.
type Instances struct {
	Instances []Instance
}

// Instance is one balancer on the list. Address is its peer address, Traffic the
// one to which the fabric sends.
type Instance struct {
	Name    string
	Domain  string
	Rack    string
	Fabric  string
	Address netip.AddrPort
	Traffic netip.AddrPort
	State   InstanceState
}

// Key returns the instance's key between balancers.
func (i Instance) Key() flow.MemberKey {
	return flow.MemberKey(flow.NameKey(i.Name))
}

// Problem is one fault of a published value, for a person to mend.
type Problem struct {
	File   string
	Line   int
	Path   string
	Reason string
	Fix    string
}

// String returns the problem as one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", place, p.Line)
	}
	if p.Path != "" {
		place += ": " + p.Path
	}
	text := place + ": " + p.Reason
	if p.Fix != "" {
		text += " (" + p.Fix + ")"
	}
	return text
}

// Problems are all faults found at once.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Decode reads one JSON document strictly: unknown fields, trailing data and
// oversized values are refused. File is the name used in the error.
func Decode[T any](file string, data []byte) (T, error) {
	var document T
	if len(data) > MaxValueBytes {
		reason := fmt.Sprintf("%d bytes, at most %d are published in one value", len(data), MaxValueBytes)
		return document, Problems{{File: file, Reason: reason, Fix: "split the value"}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return document, Problems{decodeProblem(file, data, decoder.InputOffset(), err)}
	}
	if decoder.More() {
		line := lineAt(data, decoder.InputOffset())
		return document, Problems{{File: file, Line: line, Reason: "data after the document", Fix: "remove it"}}
	}
	return document, nil
}

func decodeProblem(file string, data []byte, offset int64, err error) Problem {
	problem := Problem{File: file, Reason: strings.TrimPrefix(err.Error(), "json: ")}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
		problem.Path = kind.Field
	case strings.Contains(err.Error(), "unknown field"):
		problem.Fix = "fields are written as in docs/CONFIGURATION.md"
		if at := bytes.Index(data, []byte(quoted(err.Error()))); at >= 0 {
			offset = int64(at)
		}
	}
	problem.Line = lineAt(data, offset)
	return problem
}

// quoted returns the first quoted part of a text, with its quotes.
func quoted(text string) string {
	parts := strings.SplitN(text, `"`, 3)
	if len(parts) < 3 {
		return text
	}
	return `"` + parts[1] + `"`
}

func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}
