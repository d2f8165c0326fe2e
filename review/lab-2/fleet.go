package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The ports of the machines, the same on all of them.
const (
	trafficPort   = 8172
	readinessPort = 8167
	controlPort   = 8166
	internalPort  = 7720
	metricsPort   = 9464
	targetPort    = 8080
	storePort     = 8169
)

// plan holds the addresses of a deployment, all in one block of the loopback range.
type plan struct {
	block int
	// guard is open for as long as the plan is used, so that a case that starts meanwhile takes
	// another block.
	guard net.Listener
}

// address returns an address of the plan. Groups are 1 for machines, 2 for clients, 3 for targets,
// 4 for the store, which each machine reaches at an address of its own, and 5 for the guard.
func (p plan) address(group, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(p.block), byte(group), byte(number)}), uint16(port))
}

// freePlan returns a plan whose addresses are free.
func freePlan(machines, targets int) (plan, error) {
	for block := 70; block < 120; block++ {
		p := plan{block: block}
		var err error
		if p.guard, err = net.Listen("tcp4", p.address(5, 1, storePort).String()); err != nil {
			continue
		}
		addresses := []netip.AddrPort{p.address(2, 1, trafficPort)}
		for number := range machines {
			addresses = append(addresses, p.address(4, number+1, storePort))
			for _, port := range []int{readinessPort, metricsPort, internalPort, trafficPort} {
				addresses = append(addresses, p.address(1, number+1, port))
			}
		}
		for number := range targets {
			addresses = append(addresses, p.address(3, number+1, targetPort))
		}
		if allFree(addresses) {
			return p, nil
		}
		_ = p.guard.Close()
	}
	return plan{}, fmt.Errorf("no free addresses")
}

func allFree(addresses []netip.AddrPort) bool {
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return false
		}
		_ = listener.Close()
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return false
		}
		_ = conn.Close()
	}
	return true
}

// machine is a machine with a balancer's process.
type machine struct {
	name, zone string
	ip         netip.Addr
	traffic    netip.AddrPort
	ready      netip.AddrPort
	// root is the root of the repository, words are the command's, settings is the settings file.
	root, settings string
	words          []string
	command        *exec.Cmd
	log            *os.File
}

// fleet is the balancers of a deployment.
type fleet struct {
	machines []*machine
}

var (
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	placeholder = regexp.MustCompile(`\{\{[#/]?([^}]*)\}\}`)
)

// startFleet starts a balancer on each machine with the command and the template of the deploy
// file. Zones are given by machine.
func startFleet(p plan, root, directory string, zones []string, record *record) (*fleet, error) {
	system, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/wigeond.ini"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(system)
	if match == nil {
		return nil, fmt.Errorf("deploy/system.toml has no line that begins with run")
	}
	var seeds []string
	for number := range min(len(zones), 3) {
		seeds = append(seeds, p.address(1, number+1, controlPort).String())
	}
	f := &fleet{}
	for number, zone := range zones {
		m := &machine{
			name: fmt.Sprintf("frontend-%s-%d", zone, number+1), zone: zone,
			ip: p.address(1, number+1, 0).Addr(), traffic: p.address(1, number+1, trafficPort), ready: p.address(1, number+1, readinessPort),
		}
		values := map[string]string{
			"node_name": m.name, "zone": zone, "ip": m.ip.String(),
			"bind_addresses.datagram_address": m.traffic.String(), "bind_addresses.readiness": m.ready.String(),
			"internal_port_range.0": fmt.Sprint(internalPort), "seed_nodes": strings.Join(seeds, ","),
			"platform.address": p.address(4, number+1, storePort).String(), "limits.link_mbps": "1000.0",
			"contracts": "base,drain,config,cost,recover,flows,platform",
		}
		// All sections of the template have a value here, so only their marks are removed.
		fill := func(text string) string {
			return placeholder.ReplaceAllStringFunc(text, func(mark string) string {
				if mark[2] == '#' || mark[2] == '/' {
					return ""
				}
				return values[placeholder.FindStringSubmatch(mark)[1]]
			})
		}
		settings := filepath.Join(directory, m.name+".ini")
		if err := os.WriteFile(settings, []byte(fill(string(template))), 0o644); err != nil {
			return f, err
		}
		m.root, m.settings, m.words = root, settings, strings.Fields(fill(string(match[1])))
		if m.log, err = os.Create(filepath.Join(directory, m.name+".log")); err != nil {
			return f, err
		}
		if err := m.start(record); err != nil {
			return f, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// start starts the machine's process.
func (m *machine) start(record *record) error {
	m.command = exec.Command(filepath.Join(m.root, m.words[0]), m.words[1:]...)
	m.command.Dir, m.command.Stdout, m.command.Stderr = m.root, m.log, m.log
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONMOOR_NODE_FILE=" + m.settings}
	record.line("machine %s starts", m.name)
	return m.command.Start()
}

// restart ends the machine's process by SIGTERM, and starts it again.
func (m *machine) restart(record *record) error {
	record.line("machine %s gets SIGTERM", m.name)
	if err := m.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := m.command.Wait(); err != nil {
		record.line("the process on %s ended: %v", m.name, err)
	}
	return m.start(record)
}

// stop ends all processes of the fleet.
func (f *fleet) stop() {
	for _, m := range f.machines {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		_ = m.command.Wait()
		_ = m.log.Close()
	}
}

// inRotation returns whether the machine's readiness is 200.
func (m *machine) inRotation() bool {
	httpClient := http.Client{Timeout: 400 * time.Millisecond}
	response, err := httpClient.Get("http://" + m.ready.String() + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitRotation waits until all machines are in rotation.
func (f *fleet) awaitRotation(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.inRotation() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not in rotation after %s", m.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
