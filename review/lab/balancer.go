package main

// Balancers: the project's own program, started with the command of the deploy file, with settings
// from its template.

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The ports of all balancers.
const (
	datagramPort  = 8172
	readinessPort = 8167
	controlPort   = 8166
	internalPort  = 7720
)

// restartDelay is the delay after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// stableWindow is stable_window_ms of the small deployments.
const stableWindow = 4 * time.Second

// balancer is a machine of the system with its process.
type balancer struct {
	world *world
	name  string
	zone  string
	ip    netip.Addr

	mutex   sync.Mutex
	process *exec.Cmd
	// disturbedAt is when the process was last started or sent a signal.
	disturbedAt time.Time
	done        chan struct{}
}

// settings fills in the template of the deploy file.
func (b *balancer) settings(template string) string {
	var seeds []string
	for _, seed := range b.world.seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed, controlPort).String())
	}
	list := strings.Join(seeds, ",")
	return strings.NewReplacer(
		"{{node_name}}", b.name,
		"{{zone}}", b.zone,
		"{{ip}}", b.ip.String(),
		"{{bind_addresses.datagram_address}}", netip.AddrPortFrom(b.ip, datagramPort).String(),
		"{{bind_addresses.readiness}}", netip.AddrPortFrom(b.ip, readinessPort).String(),
		"{{internal_port_range.0}}", fmt.Sprint(internalPort),
		"{{#seed_nodes.0}}", "", "{{/seed_nodes.0}}", "", "{{seed_nodes}}", list,
		"{{platform.address}}", b.world.storeAddress.String(),
		"{{#limits.link_mbps}}", "", "{{/limits.link_mbps}}", "", "{{limits.link_mbps}}", "1000.0",
	).Replace(template)
}

// start starts the process.
func (b *balancer) start() error {
	template, err := os.ReadFile(filepath.Join("deploy", "wigeond.ini"))
	if err != nil {
		return err
	}
	path := filepath.Join(b.world.directory, b.name+".ini")
	if err := os.WriteFile(path, []byte(b.settings(string(template))), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.world.directory, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/wigeond", "run")
	command.Env = []string{"WIGEONMOOR_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + b.world.directory, "LANG=C"}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	b.mutex.Lock()
	b.process, b.disturbedAt, b.done = command, time.Now(), done
	b.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (b *balancer) kill() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.process == nil {
		return
	}
	b.disturbedAt = time.Now()
	_ = b.process.Process.Kill()
	<-b.done
	b.process = nil
}

// inTouch reports whether the balancer's process ran without disturbance for the whole stable
// window before a time. Store and links are never disturbed here.
func (b *balancer) inTouch(at time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.process != nil && at.Sub(b.disturbedAt) > stableWindow
}

// isReader reports whether the process last said in its log that it reads the store for the fleet.
func (b *balancer) isReader() bool {
	data, err := os.ReadFile(filepath.Join(b.world.directory, b.name+".log"))
	if err != nil {
		return false
	}
	last := strings.LastIndex(string(data), "gossip: reader role updated")
	return last >= 0 && strings.Contains(strings.SplitN(string(data[last:]), "\n", 2)[0], `"Reader":true`)
}
