package soak

// Balancers as processes of their own.

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

	"wigeonmoor.example/wigeonlab/internal/proxy"
)

// balancer is one process after the other on one instance.
type balancer struct {
	w      *world
	number int
	// ip is where it listens; its peers and its store are reached through proxies.
	ip    netip.Addr
	store proxy.Link
	peers proxy.Link

	mutex   sync.Mutex
	process *os.Process
	ending  time.Time
	done    chan struct{}
}

func (b *balancer) name() string   { return fmt.Sprintf("entry-%d", b.number) }
func (b *balancer) domain() string { return domainName(b.number % domains) }
func (b *balancer) file(kind string) string {
	return filepath.Join(b.w.config.Directory, b.name()+"."+kind)
}

// prepare writes the settings and starts the proxies.
func (b *balancer) prepare(ctx context.Context) error {
	advertised := netip.AddrPortFrom(b.w.ip(peerNet, b.number), peerPort)
	if _, err := proxy.NewDatagrams(ctx, advertised, netip.AddrPortFrom(b.ip, peerPort), &b.peers); err != nil {
		return err
	}
	store := netip.AddrPortFrom(b.w.ip(storeNet, b.number), storePort)
	if _, err := proxy.NewStreams(ctx, store, b.w.storeAddress(), &b.store); err != nil {
		return err
	}
	return b.configure(1, 2, 3)
}

// configure writes the settings with the given balancers as seeds.
func (b *balancer) configure(seeds ...int) error {
	var list []string
	for _, seed := range seeds {
		list = append(list, b.w.ip(peerNet, seed).String())
	}
	text := fmt.Sprintf("[Instance]\nName = %s\nDomain = %s\nBinding = Tagged\n\n[Listen]\nTraffic = %s:%d\nPeer = %s:%d\nAdmin = %s:%d\nReady = %s:%d\n\n[Peers]\nSeeds = %s\nAdvertise = %s:%d\n\n[Platform]\nURL = http://%s:%d\n\n[Limits]\nMaxFlows = 100000\n\n[Leave]\nLinger = 4s\n",
		b.name(), b.domain(), b.ip, trafficPort, b.ip, peerPort, b.ip, adminPort, b.ip, readyPort,
		strings.Join(list, ","), b.w.ip(peerNet, b.number), peerPort, b.w.ip(storeNet, b.number), storePort)
	if err := os.WriteFile(b.file("ini"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("soak: settings of %s: %w", b.name(), err)
	}
	return nil
}

// start runs the process, unless it runs.
func (b *balancer) start() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.process != nil {
		return nil
	}
	log, err := os.OpenFile(b.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("soak: log of %s: %w", b.name(), err)
	}
	command := exec.Command(b.w.config.Program, "run", "-settings", b.file("ini"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(fmt.Errorf("soak: start %s: %w", b.name(), err), log.Close())
	}
	b.process, b.done, b.ending = command.Process, make(chan struct{}), time.Time{}
	go func() {
		// How it ended is judged by whether it was told to.
		_ = command.Wait()
		_ = log.Close()
		b.ended()
	}()
	return nil
}

// ended notes the end of the process.
func (b *balancer) ended() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	exit := Exit{Process: b.name(), Expected: !b.ending.IsZero()}
	if exit.Expected {
		exit.Took = time.Since(b.ending)
	}
	b.w.note(func(h *History) { h.Exits = append(h.Exits, exit) })
	b.process = nil
	close(b.done)
}

// signal sends a signal to the process, if it runs. Those that end it are noted.
func (b *balancer) signal(signal syscall.Signal) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.process == nil {
		return
	}
	if b.ending.IsZero() && (signal == syscall.SIGKILL || signal == syscall.SIGTERM) {
		b.ending = time.Now()
	}
	// It may have ended just now.
	_ = b.process.Signal(signal)
}

// end sends a signal and waits for the end.
func (b *balancer) end(signal syscall.Signal) {
	b.signal(signal)
	b.mutex.Lock()
	done, running := b.done, b.process != nil
	b.mutex.Unlock()
	if running {
		<-done
	}
}

// reverted returns the log lines at which a process went back to an older version.
func (b *balancer) reverted() ([]string, error) {
	file, err := os.Open(b.file("log"))
	if err != nil {
		return nil, fmt.Errorf("soak: read log: %w", err)
	}
	defer func() { _ = file.Close() }()
	var found []string
	version := 0.0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Message string  `json:"msg"`
			Version float64 `json:"Version"`
		}
		// Lines of another form, such as a panic's, are no views.
		_ = json.Unmarshal(lines.Bytes(), &line)
		switch line.Message {
		case "entry: started":
			version = 0
		case "state: view in force":
			if line.Version < version {
				found = append(found, lines.Text())
			}
			version = line.Version
		}
	}
	return found, lines.Err()
}
