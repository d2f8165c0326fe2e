package stand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/watch"
	"wigeonmoor.example/wigeonlab/internal/deploy"
)

// startPlatform starts a simulated platform with the values of a deployment. It returns the
// deployment, the directory of the values, and the platform's address.
func startPlatform(t *testing.T) (deploy.Deployment, string, netip.AddrPort) {
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
	return deployment, directory + "/published", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
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
