package config

// Validation of bundles. Each value is decoded and checked on its own first, then names,
// addresses and limits are checked across all values. All problems are collected, so that
// operators see every one of them at once.

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wigeonmoor.example/internal/flow"
)

// Value is one published value as the platform stores it.
type Value struct {
	Name    ValueName
	Version Version
	// Data is the JSON document.
	Data []byte
}

// Bundle is a complete configuration: an index with the values that it lists.
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

// Decode decodes and validates a bundle. Its error is of type Problems and holds all problems
// found.
func (b Bundle) Decode() (*Documents, error) {
	documents := &Documents{}
	var problems Problems
	index, err := Decode[Index](string(IndexName), b.Index.Data)
	problems = appendProblems(problems, err)
	documents.Index = index
	if err == nil && index.Version != b.Index.Version {
		reason := fmt.Sprintf("contains version %d, but is stored as version %d", index.Version, b.Index.Version)
		problems = append(problems, Problem{File: string(IndexName), Path: "Version", Reason: reason})
	}
	for _, value := range b.Values {
		problems = appendProblems(problems, documents.addValue(value))
	}
	for _, entry := range index.Values {
		present := slices.ContainsFunc(b.Values, func(value Value) bool { return value.Name == entry.Name })
		if !present {
			problems = append(problems, Problem{File: string(IndexName), Path: string(entry.Name), Reason: "the value is missing"})
		}
	}
	problems = append(problems, documents.check()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return documents, nil
}

// addValue decodes a value and adds it to the documents.
func (d *Documents) addValue(value Value) error {
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
		return checkValueName(name, teamPrefix, team.Name)
	case strings.HasPrefix(name, servicePrefix):
		service, err := Decode[Service](name, value.Data)
		if err != nil {
			return err
		}
		d.Services = append(d.Services, service)
		return checkValueName(name, servicePrefix, service.Name)
	}
	return Problems{{File: name, Reason: "unknown kind of value", Fix: "the name must be domains, team/NAME or service/NAME"}}
}

// checkValueName checks that a value is published under the name in its document.
func checkValueName(value, prefix, name string) error {
	if value == prefix+name {
		return nil
	}
	return Problems{{File: value, Path: "Name", Reason: fmt.Sprintf("is %q, but the value is named %q", name, value)}}
}

// appendProblems appends the problems of an error, which may be nil.
func appendProblems(problems Problems, err error) Problems {
	if err == nil {
		return problems
	}
	if more, ok := err.(Problems); ok {
		return append(problems, more...)
	}
	return append(problems, Problem{Reason: err.Error()})
}

// checker collects problems while it visits the documents.
type checker struct {
	problems   Problems
	namesByKey map[uint32]string
	owners     map[string]string
}

func (c *checker) addProblem(file, path, reason, fix string) {
	c.problems = append(c.problems, Problem{File: file, Path: path, Reason: reason, Fix: fix})
}

// claim records the owner of a resource, or reports a problem if it already has one.
func (c *checker) claim(file, path, resource, owner string) {
	if other, claimed := c.owners[resource]; claimed {
		c.addProblem(file, path, fmt.Sprintf("%s is claimed by %s and by %s", resource, other, owner), "remove one of the two")
		return
	}
	c.owners[resource] = owner
}

// name checks a name, and that its key differs from the keys of all other names.
func (c *checker) checkName(file, path, kind, name string) {
	if name == "" || strings.ContainsAny(name, " \t\n/=\"") {
		c.addProblem(file, path, fmt.Sprintf("%q is not a valid name", name), "use letters, digits, dots and hyphens")
		return
	}
	key := flow.NameKey(name)
	full := kind + " " + name
	if other, used := c.namesByKey[key]; used && other != full {
		c.addProblem(file, path, fmt.Sprintf("%q has the same hash key as %s", name, other), "rename one of the two")
	}
	c.namesByKey[key] = full
}

// check returns all problems within and across the decoded documents.
func (d *Documents) check() Problems {
	c := &checker{namesByKey: make(map[uint32]string), owners: make(map[string]string)}
	for index, domain := range d.Domains {
		path := fmt.Sprintf("Domains[%d].Name", index)
		c.checkName(string(DomainsName), path, "failure domain", domain.Name)
		c.claim(string(DomainsName), path, "failure domain "+domain.Name, fmt.Sprintf("Domains[%d]", index))
	}
	for _, team := range d.Teams {
		c.checkName(teamPrefix+team.Name, "Name", "team", team.Name)
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
	c.checkName(file, "Name", "service", service.Name)
	if !service.Address.IsValid() || service.Address.Port() == 0 {
		c.addProblem(file, "Address", "is missing or has no port", "write it as \"198.51.100.1:443\"")
	}
	if service.Protocol != flow.TCP && service.Protocol != flow.UDP {
		c.addProblem(file, "Protocol", fmt.Sprintf("%q is not a protocol", service.Protocol), "use \"TCP\" or \"UDP\"")
	}
	if service.Return != ReturnDirect {
		c.addProblem(file, "Return", fmt.Sprintf("%q is not a return path", service.Return), "use \"Direct\"")
	}
	if service.IdleTimeout <= 0 {
		c.addProblem(file, "IdleTimeout", "must be above zero", "use for example \"4h\" for connections that are idle for hours")
	}
	if service.ColdStart < 0 || service.DrainDeadline < 0 || service.ResetAfter < 0 || service.Limits.NewPerSecond < 0 || service.Limits.OpenFlows < 0 {
		c.addProblem(file, "Limits", "a duration or limit is negative", "use zero for no limit")
	}
	c.claim(file, "Address", fmt.Sprintf("address %s %s", service.Protocol, service.Address), owner)
	for index, backend := range service.Backends {
		d.checkBackend(c, file, fmt.Sprintf("Backends[%d]", index), owner, backend)
	}
}

func (d *Documents) checkBackend(c *checker, file, path, owner string, backend Backend) {
	c.checkName(file, path+".Name", "backend server", backend.Name)
	c.claim(file, path+".Name", "backend server "+backend.Name, owner)
	c.claim(file, path+".Address", "backend server address "+backend.Address.String(), owner)
	if !backend.Address.IsValid() || backend.Address.Port() == 0 {
		c.addProblem(file, path+".Address", "is missing or has no port", "write it as \"192.0.2.7:5555\"")
	}
	if backend.State != Active && backend.State != Leaving {
		c.addProblem(file, path+".State", fmt.Sprintf("%q is not a state", backend.State), "use \"Active\" or \"Leaving\"")
	}
	if backend.Weight == 0 || backend.Weight > maxWeight {
		c.addProblem(file, path+".Weight", fmt.Sprintf("%d is not a weight", backend.Weight), fmt.Sprintf("use 1 to %d", maxWeight))
	}
	if backend.Slots < 0 {
		c.addProblem(file, path+".Slots", "is negative", "omit it if it is unknown")
	}
	known := slices.ContainsFunc(d.Domains, func(domain Domain) bool { return domain.Name == backend.Domain })
	if !known {
		c.addProblem(file, path+".Domain", fmt.Sprintf("%q is not a known failure domain", backend.Domain), "add it to the domains value")
	}
}

// maxWeight bounds how many turns the backend server with the lowest weight waits for its
// next slot while a hash table is filled (see package ring).
const maxWeight = 1000

// checkTeams checks that each service belongs to a known team that may use the service's
// address, and that no team exceeds its limits.
func (d *Documents) checkTeams(c *checker) {
	for _, service := range d.Services {
		index := slices.IndexFunc(d.Teams, func(team Team) bool { return team.Name == service.Team })
		if index < 0 {
			c.addProblem(servicePrefix+service.Name, "Team", fmt.Sprintf("%q is not a known team", service.Team), "publish team/"+service.Team)
			continue
		}
		if !d.Teams[index].allowsAddress(service.Address.Addr()) {
			reason := fmt.Sprintf("%s is not among the addresses of team %s", service.Address.Addr(), service.Team)
			c.addProblem(servicePrefix+service.Name, "Address", reason, "request the address in team/"+service.Team)
		}
	}
	for _, team := range d.Teams {
		services, backends := d.countUsage(team.Name)
		file := teamPrefix + team.Name
		if team.MaxServices > 0 && services > team.MaxServices {
			c.addProblem(file, "MaxServices", fmt.Sprintf("%d services, at most %d are allowed", services, team.MaxServices), "")
		}
		if team.MaxBackends > 0 && backends > team.MaxBackends {
			c.addProblem(file, "MaxBackends", fmt.Sprintf("%d backend servers, at most %d are allowed", backends, team.MaxBackends), "")
		}
	}
}

func (t Team) allowsAddress(address netip.Addr) bool {
	return slices.ContainsFunc(t.Addresses, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

// countUsage returns the number of a team's services and of their backend servers.
func (d *Documents) countUsage(team string) (services, backends int) {
	for _, service := range d.Services {
		if service.Team == team {
			services++
			backends += len(service.Backends)
		}
	}
	return services, backends
}

// SelectValues returns those of the values that have the version listed in the index.
func SelectValues(index Index, values []Value) []Value {
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

// Contains reports whether the bundle has the value that an index entry names, in the
// entry's version.
func (b Bundle) Contains(entry IndexEntry) bool {
	return slices.ContainsFunc(b.Values, func(value Value) bool {
		return value.Name == entry.Name && value.Version == entry.Version
	})
}

// Changes holds the differences between two bundles.
type Changes struct {
	// Changed holds the added and changed values.
	Changed []Value
	Removed []ValueName
}

// ChangesSince returns the differences from an earlier bundle to this one.
func (b Bundle) ChangesSince(earlier Bundle) Changes {
	var changes Changes
	before := earlier.identities()
	for _, value := range b.Values {
		identity, known := before[value.Name]
		if !known || identity != value.identity() {
			changes.Changed = append(changes.Changed, value)
		}
		delete(before, value.Name)
	}
	for _, value := range earlier.Values {
		if _, removed := before[value.Name]; removed {
			changes.Removed = append(changes.Removed, value.Name)
		}
	}
	return changes
}

// identity identifies the content of a value. The version alone does not: a platform that was
// restored from an older copy may assign it again.
type identity struct {
	version Version
	digest  uint64
}

func (v Value) identity() identity { return identity{v.Version, xxhash.Sum64(v.Data)} }

// identities returns the identity of each value.
func (b Bundle) identities() map[ValueName]identity {
	identities := make(map[ValueName]identity, len(b.Values))
	for _, value := range b.Values {
		identities[value.Name] = value.identity()
	}
	return identities
}

// WithChanges returns a copy of the bundle with the changes applied and a new index with the
// given version and seed.
func (b Bundle) WithChanges(changes Changes, version Version, seed flow.Seed) (Bundle, error) {
	result := Bundle{}
	replaced := Bundle{Values: changes.Changed}.identities()
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
