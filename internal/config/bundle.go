package config

// A bundle is checked whole: first each value by itself, then names, addresses and
// limits across all of them, so that every problem is reported at once.

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"wigeonmoor.example/internal/flow"
)

// Value is one published value as the platform holds it.
type Value struct {
	Name    ValueName
	Version Version
	Data    []byte
}

// Bundle is an index with the values that it names: one whole configuration.
type Bundle struct {
	Index  Value
	Values []Value
}

// Documents are the decoded values of a bundle.
type Documents struct {
	Index    Index
	Domains  []Domain
	Teams    []Team
	Services []Service
}

// Read decodes and checks a bundle. All problems are returned at once, as Problems.
func (b Bundle) Read() (*Documents, error) {
	documents := &Documents{}
	var problems Problems
	index, err := Decode[Index](string(IndexName), b.Index.Data)
	problems = gather(problems, err)
	documents.Index = index
	if err == nil && index.Version != b.Index.Version {
		reason := fmt.Sprintf("says version %d, but is held as version %d", index.Version, b.Index.Version)
		problems = append(problems, Problem{File: string(IndexName), Path: "Version", Reason: reason})
	}
	for _, value := range b.Values {
		problems = gather(problems, documents.add(value))
	}
	for _, entry := range index.Values {
		held := slices.ContainsFunc(b.Values, func(value Value) bool { return value.Name == entry.Name })
		if !held {
			problems = append(problems, Problem{File: string(IndexName), Path: string(entry.Name), Reason: "the value is missing"})
		}
	}
	problems = append(problems, documents.check()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return documents, nil
}

// add decodes one value into its part of the documents.
func (d *Documents) add(value Value) error {
	name := string(value.Name)
	switch {
	case value.Name == DomainsName:
		domains, err := Decode[Domains](name, value.Data)
		d.Domains = domains.Domains
		return err
	case strings.HasPrefix(name, teamPrefix):
		team, err := Decode[Team](name, value.Data)
		if err != nil {
			return err
		}
		d.Teams = append(d.Teams, team)
		return sameName(name, teamPrefix, team.Name)
	case strings.HasPrefix(name, servicePrefix):
		service, err := Decode[Service](name, value.Data)
		if err != nil {
			return err
		}
		d.Services = append(d.Services, service)
		return sameName(name, servicePrefix, service.Name)
	}
	return Problems{{File: name, Reason: "unknown kind of value", Fix: "names are domains, team/NAME or service/NAME"}}
}

func sameName(value, prefix, name string) error {
	if value == prefix+name {
		return nil
	}
	return Problems{{File: value, Path: "Name", Reason: fmt.Sprintf("is %q, but the value is %q", name, value)}}
}

func gather(problems Problems, err error) Problems {
	if err == nil {
		return problems
	}
	if more, ok := err.(Problems); ok {
		return append(problems, more...)
	}
	return append(problems, Problem{Reason: err.Error()})
}

// checker gathers problems while it walks the documents.
type checker struct {
	problems Problems
	keys     map[uint32]string
	claims   map[string]string
}

func (c *checker) add(file, path, reason, fix string) {
	c.problems = append(c.problems, Problem{File: file, Path: path, Reason: reason, Fix: fix})
}

// claim records that a thing belongs to an owner, and refuses a second owner.
func (c *checker) claim(file, path, thing, owner string) {
	if other, taken := c.claims[thing]; taken {
		c.add(file, path, fmt.Sprintf("%s is claimed by %s and by %s", thing, other, owner), "remove one of the two")
		return
	}
	c.claims[thing] = owner
}

// name checks a name and that its key is no other name's.
func (c *checker) name(file, path, kind, name string) {
	if name == "" || strings.ContainsAny(name, " \t\n/=\"") {
		c.add(file, path, fmt.Sprintf("%q is not a name", name), "use letters, digits, dots and hyphens")
		return
	}
	key := flow.NameKey(name)
	full := kind + " " + name
	if other, taken := c.keys[key]; taken && other != full {
		c.add(file, path, fmt.Sprintf("%q has the same key as %s", name, other), "rename one of the two")
	}
	c.keys[key] = full
}

// check returns the problems between and within the documents.
func (d *Documents) check() Problems {
	c := &checker{keys: make(map[uint32]string), claims: make(map[string]string)}
	for index, domain := range d.Domains {
		path := fmt.Sprintf("Domains[%d].Name", index)
		c.name(string(DomainsName), path, "failure domain", domain.Name)
		c.claim(string(DomainsName), path, "failure domain "+domain.Name, fmt.Sprintf("Domains[%d]", index))
	}
	for _, team := range d.Teams {
		c.name(teamPrefix+team.Name, "Name", "team", team.Name)
	}
	for _, service := range d.Services {
		d.checkService(c, service)
	}
	d.checkTeams(c)
	return c.problems
}

func (d *Documents) checkService(c *checker, service Service) {
	file := servicePrefix + service.Name
	owner := fmt.Sprintf("service %s of team %s", service.Name, service.Team)
	c.name(file, "Name", "service", service.Name)
	if !service.Address.IsValid() || service.Address.Port() == 0 {
		c.add(file, "Address", "is missing or has no port", "write it as \"198.51.100.1:443\"")
	}
	if service.Protocol != flow.TCP && service.Protocol != flow.UDP {
		c.add(file, "Protocol", fmt.Sprintf("%q is not a protocol", service.Protocol), "use \"TCP\" or \"UDP\"")
	}
	if service.Return != ReturnDirect {
		c.add(file, "Return", fmt.Sprintf("%q is not a way of return", service.Return), "use \"Direct\"")
	}
	if service.IdleTimeout <= 0 {
		c.add(file, "IdleTimeout", "must be above zero", "use \"4h\" for lines that are silent for hours")
	}
	if service.ColdStart < 0 || service.DrainDeadline < 0 || service.ResetAfter < 0 || service.Limits.NewPerSecond < 0 || service.Limits.OpenFlows < 0 {
		c.add(file, "Limits", "a span or limit is below zero", "use zero for no limit")
	}
	c.claim(file, "Address", fmt.Sprintf("address %s %s", service.Protocol, service.Address), owner)
	for index, backend := range service.Backends {
		d.checkBackend(c, file, fmt.Sprintf("Backends[%d]", index), owner, backend)
	}
}

func (d *Documents) checkBackend(c *checker, file, path, owner string, backend Backend) {
	c.name(file, path+".Name", "backend server", backend.Name)
	c.claim(file, path+".Name", "backend server "+backend.Name, owner)
	c.claim(file, path+".Address", "backend server address "+backend.Address.String(), owner)
	if !backend.Address.IsValid() || backend.Address.Port() == 0 {
		c.add(file, path+".Address", "is missing or has no port", "write it as \"192.0.2.7:5555\"")
	}
	if backend.State != Active && backend.State != Leaving {
		c.add(file, path+".State", fmt.Sprintf("%q is not a state", backend.State), "use \"Active\" or \"Leaving\"")
	}
	if backend.Weight == 0 || backend.Weight > maxWeight {
		c.add(file, path+".Weight", fmt.Sprintf("%d is not a weight", backend.Weight), fmt.Sprintf("use 1 to %d", maxWeight))
	}
	if backend.Slots < 0 {
		c.add(file, path+".Slots", "is below zero", "leave it out where it is unknown")
	}
	known := slices.ContainsFunc(d.Domains, func(domain Domain) bool { return domain.Name == backend.Domain })
	if !known {
		c.add(file, path+".Domain", fmt.Sprintf("%q is no failure domain", backend.Domain), "add it to the value domains")
	}
}

// maxWeight bounds the turns that the lightest backend server waits in a table.
const maxWeight = 1000

func (d *Documents) checkTeams(c *checker) {
	for _, service := range d.Services {
		index := slices.IndexFunc(d.Teams, func(team Team) bool { return team.Name == service.Team })
		if index < 0 {
			c.add(servicePrefix+service.Name, "Team", fmt.Sprintf("%q is no team", service.Team), "publish team/"+service.Team)
			continue
		}
		if !d.Teams[index].allows(service.Address.Addr()) {
			reason := fmt.Sprintf("%s is not among the addresses of team %s", service.Address.Addr(), service.Team)
			c.add(servicePrefix+service.Name, "Address", reason, "ask for the address in team/"+service.Team)
		}
	}
	for _, team := range d.Teams {
		services, backends := d.usage(team.Name)
		file := teamPrefix + team.Name
		if team.MaxServices > 0 && services > team.MaxServices {
			c.add(file, "MaxServices", fmt.Sprintf("%d services, at most %d", services, team.MaxServices), "")
		}
		if team.MaxBackends > 0 && backends > team.MaxBackends {
			c.add(file, "MaxBackends", fmt.Sprintf("%d backend servers, at most %d", backends, team.MaxBackends), "")
		}
	}
}

func (t Team) allows(address netip.Addr) bool {
	return slices.ContainsFunc(t.Addresses, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

func (d *Documents) usage(team string) (services, backends int) {
	for _, service := range d.Services {
		if service.Team == team {
			services++
			backends += len(service.Backends)
		}
	}
	return services, backends
}

// Select returns the values that the index names, at its versions.
func Select(index Index, values []Value) []Value {
	var selected []Value
	for _, entry := range index.Values {
		for _, value := range values {
			if value.Name == entry.Name && value.Version == entry.Version {
				selected = append(selected, value)
				break
			}
		}
	}
	return selected
}

// Holds reports whether the bundle has the value that an index entry names.
func (b Bundle) Holds(entry IndexEntry) bool {
	return slices.ContainsFunc(b.Values, func(value Value) bool {
		return value.Name == entry.Name && value.Version == entry.Version
	})
}

// Changes are the differences between two bundles.
type Changes struct {
	Changed []Value
	Removed []ValueName
}

// Since returns what has changed in the bundle since an earlier one.
func (b Bundle) Since(earlier Bundle) Changes {
	var changes Changes
	before := earlier.versions()
	for _, value := range b.Values {
		version, known := before[value.Name]
		if !known || version != value.Version {
			changes.Changed = append(changes.Changed, value)
		}
		delete(before, value.Name)
	}
	for _, value := range earlier.Values {
		if _, gone := before[value.Name]; gone {
			changes.Removed = append(changes.Removed, value.Name)
		}
	}
	return changes
}

func (b Bundle) versions() map[ValueName]Version {
	versions := make(map[ValueName]Version, len(b.Values))
	for _, value := range b.Values {
		versions[value.Name] = value.Version
	}
	return versions
}

// With returns the bundle after changes, with an index of its own for them.
func (b Bundle) With(changes Changes, version Version, seed flow.Seed) (Bundle, error) {
	result := Bundle{}
	replaced := Bundle{Values: changes.Changed}.versions()
	for _, value := range b.Values {
		_, changed := replaced[value.Name]
		if !changed && !slices.Contains(changes.Removed, value.Name) {
			result.Values = append(result.Values, value)
		}
	}
	result.Values = append(result.Values, changes.Changed...)
	if err := result.writeIndex(version, seed); err != nil {
		return Bundle{}, err
	}
	return result, nil
}
