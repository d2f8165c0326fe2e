// Package setup reads a balancer's settings from an INI file.
//
// Every key stands in one table with its check and its description, from which
// the errors and docs/SETTINGS.md are made. All errors of a file are reported at
// once, with the nearest valid key where one is misspelt.
package setup

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"

	"wigeonmoor.example/internal/config"
)

// Settings are one balancer's settings.
type Settings struct {
	Instance              config.Instance
	Traffic               netip.AddrPort
	Admin                 netip.AddrPort
	Platform              string
	CallerReturn          netip.AddrPort
	ControlBytesPerSecond int
	MaxFlows              int
	// Link is the speed of the instance's link.
	Link         Megabits
	LogDecisions bool
	Linger       time.Duration
	Binding      Binding
	// Ready is the HTTP address of the readiness answer.
	Ready netip.AddrPort
	// Seeds are the IP numbers of other balancers.
	Seeds []netip.Addr
	// Advertise is where other balancers reach this one; it is invalid where that is
	// the address it listens on.
	Advertise netip.AddrPort
}

// Megabits is a speed in Mbit/s.
type Megabits float64

// BytesPerSecond returns the speed in bytes.
func (m Megabits) BytesPerSecond() float64 { return float64(m) * 1e6 / 8 }

// PeerAddress returns where other balancers reach this one.
func (s *Settings) PeerAddress() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Instance.Address
}

// SeedAddresses returns where the seeds listen: all balancers have the same port for
// peers.
func (s *Settings) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed, s.Instance.Address.Port()))
	}
	return addresses
}

// Binding says how a flow keeps its backend server.
type Binding string

// The bindings.
const (
	// Owned: each flow has an owner among the balancers, which decides for it.
	Owned Binding = "Owned"
	// Tagged: each packet carries a tag that names the flow's backend server.
	Tagged Binding = "Tagged"
)

// Key is one key of the settings file.
type Key struct {
	Section     string
	Name        string
	Default     string
	Description string
	set         func(settings *Settings, value string) error
	// only is the binding that needs the key, empty for both.
	only Binding
}

// Keys returns all keys in the order of the documentation.
func Keys() []Key {
	return []Key{
		{"Instance", "Name", "", "Name of this instance, as on the platform's list.", text(func(s *Settings) *string { return &s.Instance.Name }), ""},
		{"Instance", "Domain", "", "Failure domain of this instance.", text(func(s *Settings) *string { return &s.Instance.Domain }), ""},
		{"Instance", "Rack", "none", "Rack of this instance; copies of its state go to other racks first.", text(func(s *Settings) *string { return &s.Instance.Rack }), ""},
		{"Instance", "Fabric", "", "Fabric that sprays packets over this instance and its peers; with Owned only.", text(func(s *Settings) *string { return &s.Instance.Fabric }), Owned},
		{"Instance", "Binding", string(Owned), "How a flow keeps its backend server: Owned or Tagged.", setBinding, ""},
		{"Listen", "Traffic", "", "UDP address that takes callers' packets from the fabric.", address(func(s *Settings) *netip.AddrPort { return &s.Traffic }), ""},
		{"Listen", "Peer", "", "UDP and TCP address for other balancers.", address(func(s *Settings) *netip.AddrPort { return &s.Instance.Address }), ""},
		{"Listen", "Admin", "127.0.0.1:7790", "HTTP address of the read-only interface for operators.", address(func(s *Settings) *netip.AddrPort { return &s.Admin }), ""},
		{"Listen", "Ready", "", "HTTP address that answers whether this balancer takes traffic; with Tagged only.", address(func(s *Settings) *netip.AddrPort { return &s.Ready }), Tagged},
		{"Peers", "Seeds", "none", "IP numbers of some other balancers, with commas between. A port is left out of account, as all have the same; with Tagged only.", optional(setSeeds), Tagged},
		{"Peers", "Advertise", "none", "Address at which other balancers reach this one, where it is not Listen.Peer, as behind address translation; with Tagged only.", optional(address(func(s *Settings) *netip.AddrPort { return &s.Advertise })), Tagged},
		{"Platform", "URL", "", "Base URL of the configuration service.", setURL, ""},
		{"Callers", "Return", "", "UDP address of the fabric that takes packets to callers; with Owned only.", address(func(s *Settings) *netip.AddrPort { return &s.CallerReturn }), Owned},
		{"Limits", "ControlBytesPerSecond", "4000", "Budget for control traffic that can wait, in bytes a second.", number(func(s *Settings) *int { return &s.ControlBytesPerSecond }, 500, 100_000_000), ""},
		{"Limits", "MaxFlows", "2000000", "Flow records held at most.", number(func(s *Settings) *int { return &s.MaxFlows }, 1000, 100_000_000), ""},
		{"Limits", "Link", "10", "Speed of this instance's link in Mbit/s; a fifth of it at most carries differences between balancers; with Tagged only.", setLink, Tagged},
		{"Log", "Decisions", "true", "Write a line for each routing or placement decision.", setDecisions, ""},
		{"Leave", "Linger", "5s", "Time that a leaving balancer forwards packets until the fabric's list has caught up.", setLinger, ""},
	}
}

func text(field func(*Settings) *string) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		if strings.ContainsAny(value, " \t\"") {
			return errors.New("must be one word")
		}
		*field(settings) = value
		return nil
	}
}

func address(field func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil || parsed.Port() == 0 {
			return errors.New("must be an IP number and a port such as 192.0.2.1:7700")
		}
		*field(settings) = parsed
		return nil
	}
}

// optional leaves a field as it is when the value is none.
func optional(set func(*Settings, string) error) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		if value == "none" {
			return nil
		}
		return set(settings, value)
	}
}

func number(field func(*Settings) *int, lowest, highest int) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < lowest || parsed > highest {
			return fmt.Errorf("must be a whole number from %d to %d", lowest, highest)
		}
		*field(settings) = parsed
		return nil
	}
}

func setURL(settings *Settings, value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return errors.New("must be a URL such as http://192.0.2.1:9000")
	}
	settings.Platform = strings.TrimSuffix(value, "/")
	return nil
}

func setBinding(settings *Settings, value string) error {
	switch Binding(value) {
	case Owned, Tagged:
		settings.Binding = Binding(value)
		return nil
	}
	return errors.New("must be Owned or Tagged")
}

func setSeeds(settings *Settings, value string) error {
	for _, text := range strings.Split(value, ",") {
		text, _, _ = strings.Cut(strings.TrimSpace(text), ":")
		seed, err := netip.ParseAddr(text)
		if err != nil {
			return errors.New("must be IP numbers such as 192.0.2.1,192.0.2.2")
		}
		settings.Seeds = append(settings.Seeds, seed)
	}
	return nil
}

// slowestLink and fastestLink are in Mbit/s. Below the first a balancer's traffic has no
// room.
const slowestLink, fastestLink = 0.1, 1_000_000

func setLink(settings *Settings, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= slowestLink && parsed <= fastestLink) {
		return fmt.Errorf("must be a speed from %g to %d Mbit/s", slowestLink, fastestLink)
	}
	settings.Link = Megabits(parsed)
	return nil
}

func setDecisions(settings *Settings, value string) error {
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return errors.New("must be true or false")
	}
	settings.LogDecisions = parsed
	return nil
}

func setLinger(settings *Settings, value string) error {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 || parsed > time.Hour {
		return errors.New("must be a time span from 0s to 1h")
	}
	settings.Linger = parsed
	return nil
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("setup: read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks settings. The error holds every problem found, as config.Problems.
func Parse(path string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return Settings{}, config.Problems{{File: path, Reason: err.Error(), Fix: "lines are [Section] or Key = value"}}
	}
	settings := Settings{}
	problems := unknownKeys(path, data, file)
	for _, key := range Keys() {
		problems = append(problems, key.read(path, data, file, &settings)...)
	}
	problems = append(problems, listeners(path, settings)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	settings.Instance.State = config.InstanceLive
	return settings, nil
}

// read takes one key's value, or its default.
func (k Key) read(path string, data []byte, file *ini.File, settings *Settings) config.Problems {
	name := k.Section + "." + k.Name
	values := []string{k.Default}
	if file.Section(k.Section).HasKey(k.Name) {
		values = file.Section(k.Section).Key(k.Name).ValueWithShadows()
	}
	line := lineOf(data, k.Name)
	if len(values) > 1 {
		return config.Problems{{File: path, Line: line, Path: name, Reason: "is set twice", Fix: "remove one of the two"}}
	}
	if len(values) == 0 || values[0] == "" {
		if k.only != "" && k.only != settings.Binding {
			return nil
		}
		return config.Problems{{File: path, Path: name, Reason: "is missing", Fix: k.Description}}
	}
	if err := k.set(settings, values[0]); err != nil {
		return config.Problems{{File: path, Line: line, Path: name, Reason: fmt.Sprintf("%q: %v", values[0], err)}}
	}
	return nil
}

// unknownKeys finds keys and sections that are not in the table.
func unknownKeys(path string, data []byte, file *ini.File) config.Problems {
	var names []string
	for _, key := range Keys() {
		names = append(names, key.Section+"."+key.Name)
	}
	var problems config.Problems
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			if slices.Contains(names, name) {
				continue
			}
			problems = append(problems, config.Problem{
				File:   path,
				Line:   lineOf(data, key.Name()),
				Path:   name,
				Reason: fmt.Sprintf("is no key (its value is %q)", key.Value()),
				Fix:    "the nearest is " + nearest(name, names),
			})
		}
	}
	return problems
}

func nearest(name string, names []string) string {
	return slices.MinFunc(names, func(a, b string) int {
		return levenshtein.ComputeDistance(name, a) - levenshtein.ComputeDistance(name, b)
	})
}

// listeners finds addresses that are used twice.
func listeners(path string, settings Settings) config.Problems {
	if !settings.Traffic.IsValid() {
		return nil
	}
	if settings.Traffic == settings.Instance.Address || settings.Admin == settings.Instance.Address {
		reason := fmt.Sprintf("%s is used by two listeners", settings.Instance.Address)
		return config.Problems{{File: path, Path: "Listen.Peer", Reason: reason, Fix: "use another port"}}
	}
	return nil
}

// lineOf returns the first line that sets a key, 0 if there is none.
func lineOf(data []byte, key string) int {
	for index, line := range strings.Split(string(data), "\n") {
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return index + 1
		}
	}
	return 0
}
