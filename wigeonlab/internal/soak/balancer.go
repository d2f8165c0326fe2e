package soak

// Balancers as separate processes.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wigeonmoor.example/internal/setup"
	"wigeonmoor.example/wigeonlab/internal/proxy"
)

// balancer is one balancer of the run. It remains the same when its process ends and is started
// again. The mutex guards the fields below it.
type balancer struct {
	env    *environment
	number int
	// ip is the address at which the balancer listens. Its peers reach it, and it reaches
	// the store, through proxies.
	ip        netip.Addr
	storeLink proxy.Link
	peerLink  proxy.Link

	mutex sync.Mutex
	// process is nil while no process is running. stopRequestedAt is when it was first sent
	// a signal to exit or, if it was frozen then, when it resumed; zero before.
	process         *os.Process
	stopRequestedAt time.Time
	// done is closed when the process has exited.
	done chan struct{}
}

func (b *balancer) name() string   { return fmt.Sprintf("entry-%d", b.number) }
func (b *balancer) domain() string { return domainName(b.number % domainCount) }

// path returns the path of the balancer's file with the given extension.
func (b *balancer) path(kind string) string {
	return filepath.Join(b.env.config.Directory, b.name()+"."+kind)
}

// prepare starts the proxies and writes the settings.
func (b *balancer) prepare(ctx context.Context) error {
	advertised := netip.AddrPortFrom(b.env.ip(peerProxyNet, b.number), peerPort)
	if _, err := proxy.NewDatagramRelay(ctx, advertised, netip.AddrPortFrom(b.ip, peerPort), &b.peerLink); err != nil {
		return err
	}
	store := netip.AddrPortFrom(b.env.ip(storeProxyNet, b.number), storePort)
	if _, err := proxy.NewStreamRelay(ctx, store, b.env.sharedStoreAddress(), &b.storeLink); err != nil {
		return err
	}
	return b.writeSettings(1, 2, 3)
}

// writeSettings writes the settings file, with the given balancers as gossip seeds.
func (b *balancer) writeSettings(seeds ...int) error {
	var seedAddresses []string
	for _, seed := range seeds {
		seedAddresses = append(seedAddresses, b.env.ip(peerProxyNet, seed).String())
	}
	text := fmt.Sprintf("[Instance]\nName = %s\nDomain = %s\nBinding = Tagged\n\n[Listen]\nTraffic = %s:%d\nPeer = %s:%d\nAdmin = %s:%d\nReady = %s:%d\n\n[Peers]\nSeeds = %s\nAdvertise = %s:%d\n\n[Platform]\nURL = http://%s:%d\n\n[Limits]\nMaxFlows = 100000\n\n[Balancing]\nLearn = %s\n\n[Leave]\nLinger = 4s\n",
		b.name(), b.domain(), b.ip, trafficPort, b.ip, peerPort, b.ip, adminPort, b.ip, readyPort,
		strings.Join(seedAddresses, ","), b.env.ip(peerProxyNet, b.number), peerPort, b.env.ip(storeProxyNet, b.number), storePort, learning(b.env.config.Seed))
	if err := os.WriteFile(b.path("ini"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("soak: write settings of %s: %w", b.name(), err)
	}
	return nil
}

// learning returns whether the balancers of a run learn how servers serve: in every second run with
// the steps of evacuationSteps.
func learning(seed uint64) setup.Learning {
	if seed >= firstEvacuationSeed && seed%2 == 0 {
		return setup.LearnOn
	}
	return setup.LearnOff
}

// start starts the process unless it is already running.
func (b *balancer) start() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.process != nil {
		return nil
	}
	log, err := os.OpenFile(b.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("soak: open log of %s: %w", b.name(), err)
	}
	command := exec.Command(b.env.config.Program, "run", "-settings", b.path("ini"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(fmt.Errorf("soak: start %s: %w", b.name(), err), log.Close())
	}
	b.process, b.done, b.stopRequestedAt = command.Process, make(chan struct{}), time.Time{}
	go func() {
		// The exit status does not matter: handleExit checks whether the exit was
		// requested.
		_ = command.Wait()
		_ = log.Close()
		b.handleExit()
	}()
	return nil
}

// handleExit adds the exit of the process to the history.
func (b *balancer) handleExit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	exit := Exit{Process: b.name(), Expected: !b.stopRequestedAt.IsZero()}
	if exit.Expected {
		exit.Duration = time.Since(b.stopRequestedAt)
	}
	b.env.record(func(h *History) { h.Exits = append(h.Exits, exit) })
	b.process = nil
	close(b.done)
}

// signal sends a signal to the process if it is running. The first SIGKILL or SIGTERM counts
// as a request to exit.
func (b *balancer) signal(signal syscall.Signal) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.process == nil {
		return
	}
	if b.stopRequestedAt.IsZero() && (signal == syscall.SIGKILL || signal == syscall.SIGTERM) {
		b.stopRequestedAt = time.Now()
	}
	// The error is ignored because the process may just have exited.
	_ = b.process.Signal(signal)
}

// signalAndWait sends a signal and waits for the process to exit.
func (b *balancer) signalAndWait(signal syscall.Signal) {
	b.signal(signal)
	b.mutex.Lock()
	done, running := b.done, b.process != nil
	b.mutex.Unlock()
	if running {
		<-done
	}
}

// findRevertedLines returns the log lines in which a process reports a configuration version
// lower than its previous one. A new process may start with any version.
func (b *balancer) findRevertedLines() ([]string, error) {
	file, err := os.Open(b.path("log"))
	if err != nil {
		return nil, fmt.Errorf("soak: open log to check versions: %w", err)
	}
	defer func() { _ = file.Close() }()
	var reverted []string
	version := 0.0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Message string  `json:"msg"`
			Version float64 `json:"Version"`
		}
		// Lines that are not JSON, such as those of a panic, are skipped.
		_ = json.Unmarshal(lines.Bytes(), &line)
		switch line.Message {
		case "entry: started":
			version = 0
		case "state: view in force":
			if line.Version < version {
				reverted = append(reverted, lines.Text())
			}
			version = line.Version
		}
	}
	return reverted, lines.Err()
}
