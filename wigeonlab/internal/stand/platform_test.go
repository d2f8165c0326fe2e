package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/watch"
	"wigeonmoor.example/wigeonlab/internal/deploy"
)

// startPlatform starts a simulated platform with the values of a deployment. It returns the
// deployment, the directory of the values, and the platform's address.
func startPlatform(t *testing.T) (deploy.Deployment, string, netip.AddrPort) {
	t.Helper()
	deployment, directory, address, _ := startRestorablePlatform(t)
	return deployment, directory, address
}

func startRestorablePlatform(t *testing.T) (deploy.Deployment, string, netip.AddrPort, *Platform) {
	t.Helper()
	deployment, err := deploy.ByName("horodis")
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	if err := deployment.Write(directory); err != nil {
		t.Fatal(err)
	}
	platform, err := NewPlatform(directory + "/published")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(platform.routes())
	t.Cleanup(server.Close)
	return deployment, directory + "/published", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform
}

// TestWatchAndPublish checks that a watcher receives the initial configuration, the list of
// balancers, and a change that Publish makes.
func TestWatchAndPublish(t *testing.T) {
	is := is.New(t)
	deployment, directory, address := startPlatform(t)
	bundles, lists := make(chan config.Bundle), make(chan config.Instances, 1)
	problems := make(chan error, 16)
	watch.New(t.Context(), watch.Config{
		URL:           "http://" + address.String(),
		Fabric:        deployment.Instances().Instances[0].Fabric,
		IsReader:      func() bool { return true },
		CurrentBundle: func() (config.Bundle, bool) { return config.Bundle{}, false },
		OnBundle:      func(bundle config.Bundle) { bundles <- bundle },
		OnInstances:   func(list config.Instances) { lists <- list },
		OnError:       func(err error) { problems <- err },
	})
	first := <-bundles
	is.Equal(first.Index.Version, config.Version(1))
	_, err := first.Decode()
	is.NoErr(err)
	is.Equal(len((<-lists).Instances), 8)

	local, err := config.ReadDirectory(directory)
	is.NoErr(err)
	documents, err := local.Decode()
	is.NoErr(err)
	documents.Services[0].Backends[0].State = config.Leaving
	data, err := json.Marshal(documents.Services[0])
	is.NoErr(err)
	path := filepath.Join(directory, "service", documents.Services[0].Name+".json")
	is.NoErr(os.WriteFile(path, data, 0o644))
	version, err := Publish(t.Context(), address, directory)
	is.NoErr(err)
	is.Equal(version, config.Version(2))
	second := <-bundles
	is.Equal(second.Index.Version, config.Version(2))
	is.Equal(len(second.ChangesSince(first).Changed), 1) // one service's value
}

// A platform that was restored from an older copy assigns versions again. The list of balancers
// that it has then must be read although its version is not newer, the configuration in force
// must stay, and the next one must not contain values of the lost history.
func TestRestoredPlatformIsReadAnew(t *testing.T) {
	is := is.New(t)
	deployment, _, address, platform := startRestorablePlatform(t)
	list := deployment.Instances()
	shortened := list
	shortened.Instances = list.Instances[:5]
	copied := platform.Copy()
	bundles, lists, problems := make(chan config.Bundle, 4), make(chan config.Instances, 4), make(chan error, 16)
	var mutex sync.Mutex
	var inForce config.Bundle
	watch.New(t.Context(), watch.Config{
		URL: "http://" + address.String(), Fabric: list.Instances[0].Fabric, IsReader: func() bool { return true },
		CurrentBundle: func() (config.Bundle, bool) {
			mutex.Lock()
			defer mutex.Unlock()
			return inForce, inForce.Index.Version > 0
		},
		OnBundle: func(bundle config.Bundle) {
			mutex.Lock()
			defer mutex.Unlock()
			inForce = bundle
			bundles <- bundle
		},
		OnInstances: func(list config.Instances) { lists <- list },
		OnError:     func(err error) { problems <- err },
	})
	is.Equal((<-bundles).Index.Version, config.Version(1))
	is.Equal(len((<-lists).Instances), len(list.Instances))
	is.NoErr(PublishInstances(t.Context(), address, list))
	is.Equal(len((<-lists).Instances), len(list.Instances))
	isPlanning := func(service config.Service) bool { return service.Name == "planning" }
	// publishCold publishes a service with the given time of a cold start.
	publishCold := func(version config.Version, cold time.Duration) {
		documents, err := inForce.Decode()
		is.NoErr(err)
		documents.Services[slices.IndexFunc(documents.Services, isPlanning)].ColdStart = config.Duration(cold)
		bundle, err := config.Render(*documents, config.Bundle{}, 2)
		is.NoErr(err)
		for index, value := range bundle.Values {
			if value.Name == "service/planning" {
				is.NoErr(putValue(t.Context(), address, value))
				continue
			}
			bundle.Values[index].Version = 1
		}
		is.NoErr(writeIndex(t.Context(), address, bundle, version))
	}
	publishCold(2, time.Second)
	is.Equal((<-bundles).Index.Version, config.Version(2))
	platform.Restore(copied)
	is.True(strings.Contains((<-problems).Error(), "publish the configuration again with a version above 2"))
	is.NoErr(PublishInstances(t.Context(), address, shortened))
	for read := range lists {
		if len(read.Instances) == len(shortened.Instances) {
			break
		}
	}
	before := inForce
	publishCold(3, 2*time.Second)
	third := <-bundles
	documents, err := third.Decode()
	is.NoErr(err)
	is.Equal(time.Duration(documents.Services[slices.IndexFunc(documents.Services, isPlanning)].ColdStart), 2*time.Second)
	is.Equal(len(third.ChangesSince(before).Changed), 1)
}

// writeIndex publishes the index of a bundle with a version.
func writeIndex(ctx context.Context, address netip.AddrPort, bundle config.Bundle, version config.Version) error {
	index, err := config.Decode[config.Index](string(config.IndexName), bundle.Index.Data)
	if err != nil {
		return err
	}
	index.Version, index.Values = version, nil
	for _, value := range bundle.Values {
		index.Values = append(index.Values, config.IndexEntry{Name: value.Name, Version: value.Version})
	}
	data, err := json.Marshal(index)
	if err != nil {
		return err
	}
	return putValue(ctx, address, config.Value{Name: config.IndexName, Version: version, Data: data})
}

// TestPlatformDown checks that reading a value while the platform is down returns an error that
// names the value.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	_, _, address := startPlatform(t)
	response, err := http.Post("http://"+address.String()+"/stand/down?Down=true", "", nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	_, err = watch.NewClient("http://"+address.String()).Get(t.Context(), config.IndexName, 0, 0)
	is.True(err != nil && strings.Contains(err.Error(), "get index"))
}
