// Package setup reads a balancer's settings from an INI file.
//
// Keys is the table of all keys. Each entry has a default, a description and a function
// that validates and stores the value. The descriptions also appear in error messages and
// in docs/SETTINGS.md. Parse reports all problems of a file at once and suggests the closest
// valid key for each unknown one.
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

// Settings holds the settings of one balancer.
type Settings struct {
	// Instance describes this balancer. Its Address is that of the peer listener.
	Instance config.Instance
	// TrafficAddress is the UDP address that receives callers' packets.
	TrafficAddress netip.AddrPort
	// AdminAddress is the HTTP address of the interface for operators.
	AdminAddress netip.AddrPort
	// PlatformURL is the base URL of the configuration service, without a trailing slash.
	PlatformURL string
	// CallerReturnAddress is the UDP address to which packets for callers are sent.
	CallerReturnAddress netip.AddrPort
	// ControlBytesPerSecond is the rate limit for deferrable control traffic.
	ControlBytesPerSecond int
	// MaxFlows is the maximum number of flow records.
	MaxFlows int
	// LinkSpeed is the transfer rate of this instance's network link.
	LinkSpeed MegabitsPerSecond
	// ColdOverage and ColdSlack say by how much the published rate limit of a cold backend server
	// may be exceeded: a factor, and a number of requests per second.
	ColdOverage, ColdSlack float64
	// Contracts are the words by which the platform names what this deployment relies on.
	Contracts []string
	// Learn says whether the balancer learns the cost of requests and how well servers serve.
	Learn Learning
	// LogDecisions is set if each routing or placement decision is logged.
	LogDecisions bool
	// Linger is how long a leaving balancer continues to forward packets.
	Linger  time.Duration
	Binding Binding
	// ReadyAddress is the HTTP address of the readiness check.
	ReadyAddress netip.AddrPort
	// Seeds are the IP addresses of some other balancers.
	Seeds []netip.Addr
	// AdvertisedAddress is the address at which other balancers reach this one. It is the
	// zero AddrPort if they use the listening address.
	AdvertisedAddress netip.AddrPort
}

// MegabitsPerSecond is a transfer rate in Mbit/s.
type MegabitsPerSecond float64

// BytesPerSecond returns the rate in bytes per second.
func (m MegabitsPerSecond) BytesPerSecond() float64 { return float64(m) * 1e6 / 8 }

// PeerAddress returns the address at which other balancers reach this one.
func (s *Settings) PeerAddress() netip.AddrPort {
	if s.AdvertisedAddress.IsValid() {
		return s.AdvertisedAddress
	}
	return s.Instance.Address
}

// SeedAddresses returns the addresses at which the seeds listen for peers. All balancers use
// the same port for this.
func (s *Settings) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed, s.Instance.Address.Port()))
	}
	return addresses
}

// Binding is the mechanism that keeps a flow on its backend server.
type Binding string

// The bindings.
const (
	// Owned assigns each flow to one balancer, its owner, which chooses the backend server.
	Owned Binding = "Owned"
	// Tagged identifies the backend server of a flow by a tag in the flow's packets.
	Tagged Binding = "Tagged"
)

// Learning says whether the balancer learns how backend servers serve.
type Learning string

// The values of Learning.
const (
	LearnOn  Learning = "On"
	LearnOff Learning = "Off"
	// LearnAuto learns if Contracts asks for it.
	LearnAuto Learning = "Auto"
)

// Key is one key of the settings file.
type Key struct {
	Section     string
	Name        string
	Default     string
	Description string
	// set validates a value and stores it.
	set func(settings *Settings, value string) error
	// requiredBy is the only binding that requires the key, or empty if both do. It matters
	// only for keys without a default.
	requiredBy Binding
}

// Keys returns all keys in the order of the documentation. Parse applies them in this order.
func Keys() []Key {
	return []Key{
		{"Instance", "Name", "", "Name of this instance, as listed by the platform.", wordSetter(func(s *Settings) *string { return &s.Instance.Name }), ""},
		{"Instance", "Domain", "", "Failure domain of this instance.", wordSetter(func(s *Settings) *string { return &s.Instance.Domain }), ""},
		{"Instance", "Rack", "none", "Rack of this instance; replicas of its state are placed in other racks first.", wordSetter(func(s *Settings) *string { return &s.Instance.Rack }), ""},
		{"Instance", "Fabric", "", "Network fabric that distributes packets over this instance and its peers; with Owned only.", wordSetter(func(s *Settings) *string { return &s.Instance.Fabric }), Owned},
		{"Instance", "Binding", string(Owned), "How a flow stays on its backend server: Owned or Tagged.", setBinding, ""},
		{"Listen", "Traffic", "", "UDP address that receives callers' packets from the fabric.", addressSetter(func(s *Settings) *netip.AddrPort { return &s.TrafficAddress }), ""},
		{"Listen", "Peer", "", "UDP and TCP address for other balancers.", addressSetter(func(s *Settings) *netip.AddrPort { return &s.Instance.Address }), ""},
		{"Listen", "Admin", "127.0.0.1:7790", "HTTP address of the read-only interface for operators.", addressSetter(func(s *Settings) *netip.AddrPort { return &s.AdminAddress }), ""},
		{"Listen", "Ready", "", "HTTP address of the readiness check; with Tagged only.", addressSetter(func(s *Settings) *netip.AddrPort { return &s.ReadyAddress }), Tagged},
		{"Peers", "Seeds", "none", "Comma-separated IP addresses of some other balancers. Ports are ignored, because all balancers use the same one; with Tagged only.", optionalSetter(setSeeds), Tagged},
		{"Peers", "Advertise", "none", "Address at which other balancers reach this one if it differs from Listen.Peer, for example behind network address translation; with Tagged only.", optionalSetter(addressSetter(func(s *Settings) *netip.AddrPort { return &s.AdvertisedAddress })), Tagged},
		{"Platform", "URL", "", "Base URL of the configuration service.", setURL, ""},
		{"Platform", "Contracts", "none", "Comma-separated words by which the platform names what this deployment relies on; with Tagged only.", optionalSetter(setContracts), Tagged},
		{"Balancing", "Learn", string(LearnAuto), "Whether to learn the cost of requests and how well backend servers serve, and to place flows accordingly: On, Off, or Auto for what Platform.Contracts asks for; with Tagged only.", setLearn, Tagged},
		{"Callers", "Return", "", "UDP address of the fabric that delivers packets to callers; with Owned only.", addressSetter(func(s *Settings) *netip.AddrPort { return &s.CallerReturnAddress }), Owned},
		{"Limits", "ControlBytesPerSecond", "4000", "Rate limit for deferrable control traffic, in bytes per second.", integerSetter(func(s *Settings) *int { return &s.ControlBytesPerSecond }, 500, 100_000_000), ""},
		{"Limits", "MaxFlows", "2000000", "Maximum number of flow records.", integerSetter(func(s *Settings) *int { return &s.MaxFlows }, 1000, 100_000_000), ""},
		{"Limits", "Link", "10", "Speed of this instance's network link in Mbit/s; state transfers between balancers use at most a fifth of it; with Tagged only.", setLink, Tagged},
		{"Limits", "ColdOverage", "1", "Factor by which the published rate limit of a cold backend server may be exceeded; with Tagged only.", numberSetter(func(s *Settings) *float64 { return &s.ColdOverage }, 1, 100), Tagged},
		{"Limits", "ColdSlack", "0", "Requests per second by which the published rate limit of a cold backend server may be exceeded in addition; with Tagged only.", numberSetter(func(s *Settings) *float64 { return &s.ColdSlack }, 0, 1_000_000), Tagged},
		{"Log", "Decisions", "true", "Log each routing or placement decision.", setDecisions, ""},
		{"Leave", "Linger", "5s", "How long a leaving balancer continues to forward packets while the fabric removes it from its list.", setLinger, ""},
	}
}

// wordSetter returns a function that sets a field to a value without spaces, tabs and
// quotes.
func wordSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		if strings.ContainsAny(value, " \t\"") {
			return errors.New("must not contain spaces, tabs or quotes")
		}
		*field(settings) = value
		return nil
	}
}

// addressSetter returns a function that sets a field to an IP address and port.
func addressSetter(field func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil || parsed.Port() == 0 {
			return errors.New("must be an IP address and a port such as 192.0.2.1:7700")
		}
		*field(settings) = parsed
		return nil
	}
}

// optionalSetter returns a function that calls set unless the value is "none".
func optionalSetter(set func(*Settings, string) error) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		if value == "none" {
			return nil
		}
		return set(settings, value)
	}
}

// integerSetter returns a function that sets a field to an integer from minimum to maximum.
func integerSetter(field func(*Settings) *int, minimum, maximum int) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Errorf("must be a whole number from %d to %d", minimum, maximum)
		}
		*field(settings) = parsed
		return nil
	}
}

// numberSetter returns a function that sets a field to a number from minimum to maximum.
func numberSetter(field func(*Settings) *float64, minimum, maximum float64) func(*Settings, string) error {
	return func(settings *Settings, value string) error {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || !(parsed >= minimum && parsed <= maximum) {
			return fmt.Errorf("must be a number from %g to %g", minimum, maximum)
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
	settings.PlatformURL = strings.TrimSuffix(value, "/")
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

func setContracts(settings *Settings, value string) error {
	settings.Contracts = nil
	for _, word := range strings.Split(value, ",") {
		settings.Contracts = append(settings.Contracts, strings.TrimSpace(word))
	}
	return nil
}

func setLearn(settings *Settings, value string) error {
	switch Learning(value) {
	case LearnOn, LearnOff, LearnAuto:
		settings.Learn = Learning(value)
		return nil
	}
	return errors.New("must be On, Off or Auto")
}

func setSeeds(settings *Settings, value string) error {
	settings.Seeds = nil
	for _, item := range strings.Split(value, ",") {
		item, _, _ = strings.Cut(strings.TrimSpace(item), ":")
		seed, err := netip.ParseAddr(item)
		if err != nil {
			return errors.New("must be IP addresses such as 192.0.2.1,192.0.2.2")
		}
		settings.Seeds = append(settings.Seeds, seed)
	}
	return nil
}

// minLinkMbps and maxLinkMbps limit the link speed in Mbit/s. A slower link could not carry
// a balancer's own traffic.
const minLinkMbps, maxLinkMbps = 0.1, 1_000_000

func setLink(settings *Settings, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= minLinkMbps && parsed <= maxLinkMbps) {
		return fmt.Errorf("must be a speed from %g to %d Mbit/s", minLinkMbps, maxLinkMbps)
	}
	settings.LinkSpeed = MegabitsPerSecond(parsed)
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
		return errors.New("must be a duration from 0s to 1h")
	}
	settings.Linger = parsed
	return nil
}

// Load reads and validates a settings file. It returns the errors of Parse, or an error that
// wraps that of os.ReadFile.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("setup: read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and validates the contents of a settings file. The path is only used in
// messages. The error is of type config.Problems and holds all problems found.
func Parse(path string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return Settings{}, config.Problems{{File: path, Reason: err.Error(), Fix: "each line must be [Section] or Key = value"}}
	}
	settings := Settings{}
	problems := findUnknownKeys(path, data, file)
	for _, key := range Keys() {
		problems = append(problems, key.apply(path, data, file, &settings)...)
	}
	problems = append(problems, findAddressConflicts(path, settings)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	settings.Instance.State = config.InstanceLive
	return settings, nil
}

// Override changes one setting by an assignment "Section.Key=value", as from the command line. An empty
// value changes nothing. The error is of type config.Problems.
func (s *Settings) Override(assignment string) error {
	name, value, found := strings.Cut(assignment, "=")
	var names []string
	for _, key := range Keys() {
		if names = append(names, key.Section+"."+key.Name); key.Section+"."+key.Name != name || !found {
			continue
		}
		if value == "" {
			return nil
		}
		if err := key.set(s, value); err != nil {
			return config.Problems{{File: "-set", Path: name, Reason: fmt.Sprintf("%q: %v", value, err)}}
		}
		return nil
	}
	return config.Problems{{File: "-set", Path: name, Reason: "is not a valid key with a value", Fix: "the closest valid key is " + nearestName(name, names)}}
}

// apply stores the key's value in the file, or its default, in settings.
func (k Key) apply(path string, data []byte, file *ini.File, settings *Settings) config.Problems {
	name := k.Section + "." + k.Name
	values := []string{k.Default}
	if file.Section(k.Section).HasKey(k.Name) {
		values = file.Section(k.Section).Key(k.Name).ValueWithShadows()
	}
	line := findLine(data, k.Name)
	if len(values) > 1 {
		return config.Problems{{File: path, Line: line, Path: name, Reason: "is set more than once", Fix: "remove all but one"}}
	}
	if len(values) == 0 || values[0] == "" {
		if k.requiredBy != "" && k.requiredBy != settings.Binding {
			return nil
		}
		return config.Problems{{File: path, Path: name, Reason: "is missing", Fix: k.Description}}
	}
	if err := k.set(settings, values[0]); err != nil {
		return config.Problems{{File: path, Line: line, Path: name, Reason: fmt.Sprintf("%q: %v", values[0], err)}}
	}
	return nil
}

// findUnknownKeys returns a problem for each key in the file that is not in the table.
func findUnknownKeys(path string, data []byte, file *ini.File) config.Problems {
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
				Line:   findLine(data, key.Name()),
				Path:   name,
				Reason: fmt.Sprintf("is not a valid key (its value is %q)", key.Value()),
				Fix:    "the closest valid key is " + nearestName(name, names),
			})
		}
	}
	return problems
}

// nearestName returns the name with the smallest edit distance to a misspelled one.
func nearestName(name string, names []string) string {
	return slices.MinFunc(names, func(a, b string) int {
		return levenshtein.ComputeDistance(name, a) - levenshtein.ComputeDistance(name, b)
	})
}

// findAddressConflicts returns a problem if the address of the peer listener is also that of
// the traffic or the admin listener.
func findAddressConflicts(path string, settings Settings) config.Problems {
	if !settings.TrafficAddress.IsValid() {
		return nil
	}
	if settings.TrafficAddress == settings.Instance.Address || settings.AdminAddress == settings.Instance.Address {
		reason := fmt.Sprintf("%s is used by two listeners", settings.Instance.Address)
		return config.Problems{{File: path, Path: "Listen.Peer", Reason: reason, Fix: "use another port"}}
	}
	return nil
}

// findLine returns the number of the first line that sets a key, or 0 if there is none.
func findLine(data []byte, key string) int {
	for index, line := range strings.Split(string(data), "\n") {
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return index + 1
		}
	}
	return 0
}
