package plans

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/ring"
)

// columns are the columns of an asset register's export. Further columns are
// ignored; Load, Weight, Slots and State may be left out.
var columns = []string{"Service", "Name", "Domain", "Address", "Load", "Weight", "Slots", "State"}

const defaultWeight = 100

// Import puts the backend servers of an asset register's export into the services
// that they name. Backend servers that a named service has and the export lacks
// are marked as leaving rather than removed, so that no open flow is cut. All
// problems are reported at once and nothing is taken then.
func Import(file string, from io.Reader, documents *config.Documents) error {
	reader := csv.NewReader(from)
	header, err := reader.Read()
	if err != nil {
		return fmt.Errorf("import %s: read header: %w", file, err)
	}
	rows := make(map[string][]config.Backend)
	var problems config.Problems
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			problems = append(problems, config.Problem{File: file, Line: line, Reason: err.Error()})
			break
		}
		service, backend, found := readRow(header, row)
		for _, problem := range found {
			problem.File, problem.Line = file, line
			problems = append(problems, problem)
		}
		rows[service] = append(rows[service], backend)
	}
	for service := range rows {
		known := slices.ContainsFunc(documents.Services, func(s config.Service) bool { return s.Name == service })
		if !known {
			problems = append(problems, config.Problem{File: file, Path: "Service", Reason: fmt.Sprintf("%q is no service", service), Fix: "write its service value first"})
		}
	}
	if len(problems) > 0 {
		return problems
	}
	for index := range documents.Services {
		service := &documents.Services[index]
		if listed, named := rows[service.Name]; named {
			service.Backends = merge(service.Backends, listed)
		}
	}
	return nil
}

// merge keeps the order of the backend servers that are known already.
func merge(before, listed []config.Backend) []config.Backend {
	var merged []config.Backend
	for _, old := range before {
		index := slices.IndexFunc(listed, func(b config.Backend) bool { return b.Name == old.Name })
		if index < 0 {
			old.State = config.Leaving
			merged = append(merged, old)
			continue
		}
		merged = append(merged, listed[index])
	}
	for _, backend := range listed {
		if !slices.ContainsFunc(merged, func(b config.Backend) bool { return b.Name == backend.Name }) {
			merged = append(merged, backend)
		}
	}
	return merged
}

// readRow reads one line of the export.
func readRow(header, row []string) (string, config.Backend, config.Problems) {
	var problems config.Problems
	values := make(map[string]string, len(columns))
	for index, name := range header {
		values[strings.TrimSpace(name)] = strings.TrimSpace(row[index])
	}
	address := func(column string, optional bool) netip.AddrPort {
		if optional && values[column] == "" {
			return netip.AddrPort{}
		}
		parsed, err := netip.ParseAddrPort(values[column])
		if err != nil {
			problems = append(problems, config.Problem{Path: column, Reason: fmt.Sprintf("%q is no address", values[column]), Fix: "write it as 192.0.2.7:5555"})
		}
		return parsed
	}
	number := func(column string, otherwise int) int {
		if values[column] == "" {
			return otherwise
		}
		parsed, err := strconv.Atoi(values[column])
		if err != nil {
			problems = append(problems, config.Problem{Path: column, Reason: fmt.Sprintf("%q is no number", values[column])})
		}
		return parsed
	}
	backend := config.Backend{
		Name:    values["Name"],
		Domain:  values["Domain"],
		Address: address("Address", false),
		Load:    address("Load", true),
		Weight:  ring.Weight(number("Weight", defaultWeight)),
		Slots:   number("Slots", 0),
		State:   config.State(values["State"]),
	}
	if backend.State == "" {
		backend.State = config.Active
	}
	return values["Service"], backend, problems
}
