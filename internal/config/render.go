package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Render writes documents as the values to publish. Values that are the same as
// in the previous bundle keep their versions; all others get the new version.
func Render(documents Documents, previous Bundle, version Version) (Bundle, error) {
	bundle := Bundle{}
	index := Index{Version: version, HashSeed: documents.Index.HashSeed}
	add := func(name ValueName, document any) error {
		data, err := json.MarshalIndent(document, "", "  ")
		if err != nil {
			return fmt.Errorf("config: render %s: %w", name, err)
		}
		value := Value{Name: name, Version: version, Data: data}
		for _, before := range previous.Values {
			if before.Name == name && bytes.Equal(before.Data, data) {
				value.Version = before.Version
			}
		}
		bundle.Values = append(bundle.Values, value)
		index.Values = append(index.Values, IndexEntry{Name: name, Version: value.Version})
		return nil
	}
	if err := add(DomainsName, Domains{Domains: documents.Domains}); err != nil {
		return Bundle{}, err
	}
	for _, team := range documents.Teams {
		if err := add(teamPrefix+ValueName(team.Name), team); err != nil {
			return Bundle{}, err
		}
	}
	for _, service := range documents.Services {
		if err := add(servicePrefix+ValueName(service.Name), service); err != nil {
			return Bundle{}, err
		}
	}
	data, err := json.MarshalIndent(index, "", "  ")
	if err != nil {
		return Bundle{}, fmt.Errorf("config: render index: %w", err)
	}
	bundle.Index = Value{Name: IndexName, Version: version, Data: data}
	return bundle, nil
}
