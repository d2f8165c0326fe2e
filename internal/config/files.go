package config

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// ReadDirectory reads published values from files: index.json, domains.json,
// team/NAME.json and service/NAME.json. Lists of instances are left out, as they
// are no part of the configuration.
func ReadDirectory(directory string) (Bundle, error) {
	bundle := Bundle{}
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		relative, err := filepath.Rel(directory, path)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		bundle.addFile(ValueName(strings.TrimSuffix(filepath.ToSlash(relative), ".json")), data)
		return nil
	})
	if err != nil {
		return Bundle{}, fmt.Errorf("config: read directory %s: %w", directory, err)
	}
	return bundle, nil
}

func (b *Bundle) addFile(name ValueName, data []byte) {
	switch {
	case name == IndexName:
		// The version stands in the document; a fault in it is reported by Read.
		index, _ := Decode[Index](string(name), data)
		b.Index = Value{Name: name, Version: index.Version, Data: data}
	case !strings.HasPrefix(string(name), string(InstancesName)):
		b.Values = append(b.Values, Value{Name: name, Data: data})
	}
}
