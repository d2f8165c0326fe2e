package config

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// ReadDirectory reads the values of a configuration from the files index.json, domains.json,
// team/NAME.json and service/NAME.json. It skips instance lists, which are not part of
// the configuration. It does not validate the values; its error says which file or
// directory could not be read.
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

// addFile adds the contents of a file unless it is an instance list.
func (b *Bundle) addFile(name ValueName, data []byte) {
	switch {
	case name == IndexName:
		// The version is part of the document. Bundle.Decode reports decoding errors.
		index, _ := Decode[Index](string(name), data)
		b.Index = Value{Name: name, Version: index.Version, Data: data}
	case !strings.HasPrefix(string(name), string(InstancesName)):
		b.Values = append(b.Values, Value{Name: name, Data: data})
	}
}
