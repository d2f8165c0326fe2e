package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/watch"
)

// Publish validates the values of a directory and publishes those that differ from the
// platform's, the index last, as an operator does. It returns the new version of the
// configuration. Errors are those of reading and validating the directory, and of the calls to
// the platform.
func Publish(ctx context.Context, platform netip.AddrPort, directory string) (config.Version, error) {
	local, err := config.ReadDirectory(directory)
	if err != nil {
		return 0, err
	}
	documents, err := local.Decode()
	if err != nil {
		return 0, err
	}
	previous, err := fetchBundle(ctx, platform)
	if err != nil {
		return 0, err
	}
	version := previous.Index.Version + 1
	bundle, err := config.Render(*documents, previous, version)
	if err != nil {
		return 0, err
	}
	for _, value := range append(bundle.Values, bundle.Index) {
		if value.Version != version {
			continue
		}
		if err := putValue(ctx, platform, value); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// fetchBundle reads the current configuration from the platform. White space around the values
// is removed, because config.Render writes none and the values must compare equal.
func fetchBundle(ctx context.Context, platform netip.AddrPort) (config.Bundle, error) {
	client := watch.NewClient("http://" + platform.String())
	value, err := client.Get(ctx, config.IndexName, 0, 0)
	if err != nil {
		return config.Bundle{}, err
	}
	index, err := config.Decode[config.Index](string(value.Name), value.Data)
	if err != nil {
		return config.Bundle{}, err
	}
	bundle := config.Bundle{Index: value}
	for _, entry := range index.Values {
		current, err := client.Get(ctx, entry.Name, 0, 0)
		if err != nil {
			return config.Bundle{}, err
		}
		current.Data = bytes.TrimSpace(current.Data)
		bundle.Values = append(bundle.Values, current)
	}
	return bundle, nil
}

// PublishInstances publishes the list of balancers of a fabric, that of the first balancer. It
// returns an error if the list is empty or the platform rejects it.
func PublishInstances(ctx context.Context, platform netip.AddrPort, list config.Instances) error {
	if len(list.Instances) == 0 {
		return errors.New("publish instances: the list is empty")
	}
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return fmt.Errorf("publish instances: encode the list: %w", err)
	}
	return putValue(ctx, platform, config.Value{Name: watch.InstancesName(list.Instances[0].Fabric), Data: data})
}

// putValue publishes a value. If its version is 0, the platform assigns the next version.
func putValue(ctx context.Context, platform netip.AddrPort, value config.Value) error {
	address := "http://" + platform.String() + "/v1/values/" + string(value.Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(value.Data))
	if err != nil {
		return fmt.Errorf("publish %s: %w", value.Name, err)
	}
	if value.Version > 0 {
		request.Header.Set(watch.VersionHeader, strconv.FormatUint(uint64(value.Version), 10))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("publish %s: %w", value.Name, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("publish %s on %s: status %s", value.Name, platform, response.Status)
	}
	return nil
}
