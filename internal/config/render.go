package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wigeonmoor.example/internal/flow"
)

// Render encodes documents as the values to publish. Values that equal those of the
// previous bundle keep their versions; all others get the new version.
func Render(documents Documents, previous Bundle, version Version) (Bundle, error) {
	bundle := Bundle{}
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
	if err := bundle.writeIndex(version, documents.Index.HashSeed); err != nil {
		return Bundle{}, err
	}
	return bundle, nil
}

// writeIndex sets the bundle's index to one that lists its values.
func (b *Bundle) writeIndex(version Version, seed flow.Seed) error {
	index := Index{Version: version, HashSeed: seed}
	for _, value := range b.Values {
		index.Values = append(index.Values, IndexEntry{Name: value.Name, Version: value.Version})
	}
	data, err := json.MarshalIndent(index, "", "  ")
	if err != nil {
		return fmt.Errorf("config: render index: %w", err)
	}
	b.Index = Value{Name: IndexName, Version: version, Data: data}
	return nil
}
