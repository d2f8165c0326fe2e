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

// columns are the columns of an asset register's export. Other columns are ignored. Load,
// Weight, Slots and State are optional.
var columns = []string{"Service", "Name", "Domain", "Address", "Load", "Weight", "Slots", "State"}

const defaultWeight = 100

// Import updates the backend servers of services from an asset register's export in CSV
// format. The file name is used in errors. Backend servers that are missing from the export
// of their service are marked as leaving rather than removed, because removing them would
// reset their open flows. Services without a row in the export are not changed.
//
// If the rows are invalid, the error is of type config.Problems and holds all problems found.
// The documents are unchanged after an error.
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
		service, backend, rowProblems := parseRow(header, row)
		for _, problem := range rowProblems {
			problem.File, problem.Line = file, line
			problems = append(problems, problem)
		}
		rows[service] = append(rows[service], backend)
	}
	for service := range rows {
		exists := slices.ContainsFunc(documents.Services, func(s config.Service) bool { return s.Name == service })
		if !exists {
			problems = append(problems, config.Problem{File: file, Path: "Service", Reason: fmt.Sprintf("%q is not a service", service), Fix: "create the value of the service first"})
		}
	}
	if len(problems) > 0 {
		return problems
	}
	for index := range documents.Services {
		service := &documents.Services[index]
		if listed, named := rows[service.Name]; named {
			service.Backends = mergeBackends(service.Backends, listed)
		}
	}
	return nil
}

// mergeBackends returns the backend servers of a service after an import. Existing ones come
// first, in their previous order.
func mergeBackends(existing, listed []config.Backend) []config.Backend {
	var merged []config.Backend
	for _, old := range existing {
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

// parseRow parses one row of the export. It returns the row's service and backend server, and
// the problems of the row.
func parseRow(header, row []string) (string, config.Backend, config.Problems) {
	var problems config.Problems
	values := make(map[string]string, len(columns))
	for index, name := range header {
		values[strings.TrimSpace(name)] = strings.TrimSpace(row[index])
	}
	parseAddress := func(column string, optional bool) netip.AddrPort {
		if optional && values[column] == "" {
			return netip.AddrPort{}
		}
		parsed, err := netip.ParseAddrPort(values[column])
		if err != nil {
			problems = append(problems, config.Problem{Path: column, Reason: fmt.Sprintf("%q is not an address", values[column]), Fix: "write it as 192.0.2.7:5555"})
		}
		return parsed
	}
	parseNumber := func(column string, fallback int) int {
		if values[column] == "" {
			return fallback
		}
		parsed, err := strconv.Atoi(values[column])
		if err != nil {
			problems = append(problems, config.Problem{Path: column, Reason: fmt.Sprintf("%q is not a number", values[column])})
		}
		return parsed
	}
	backend := config.Backend{
		Name:    values["Name"],
		Domain:  values["Domain"],
		Address: parseAddress("Address", false),
		Load:    parseAddress("Load", true),
		Weight:  ring.Weight(parseNumber("Weight", defaultWeight)),
		Slots:   parseNumber("Slots", 0),
		State:   config.State(values["State"]),
	}
	if backend.State == "" {
		backend.State = config.Active
	}
	return values["Service"], backend, problems
}
