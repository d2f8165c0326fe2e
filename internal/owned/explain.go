package owned

// Diagnostics for operators: where a flow goes and why, and the state of the backend
// servers.

import (
	"fmt"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// Explanation describes where a flow goes and why, as this balancer sees it. Balancers
// and backend servers are given by name, "none" if there is none.
type Explanation struct {
	Flow     string
	ID       string
	Service  string
	Slot     flow.Slot
	Owner    string
	Replicas []string
	// Held is true if this balancer owns the slot.
	Held bool
	// Default is the slot's backend server in the configuration in force.
	Default string
	// Base is the backend server of the slot's flows that have no record.
	Base string
	// Recorded is true if this balancer has a record of the flow. The fields Kind, State
	// and IdleSeconds are set only then.
	Recorded      bool
	Kind          string
	State         string
	Backend       string
	IdleSeconds   flow.Second
	Reason        string
	ConfigVersion config.Version
}

// Explain describes where a flow goes. It returns an error if there is no configuration
// or no service with the flow's address. It must be called on the control goroutine.
func (c *Core) Explain(key flow.Key) (Explanation, error) {
	v := c.view.Load()
	if v.config == nil {
		return Explanation{}, fmt.Errorf("owned: explain %s: this balancer has no configuration yet", key)
	}
	service := v.config.ByAddress(key.Protocol, key.Service)
	if service == nil {
		return Explanation{}, fmt.Errorf("owned: explain %s: no service has the address %s %s", key, key.Protocol, key.Service)
	}
	id := flow.Hash(v.config.HashSeed, key)
	number := id.Slot()
	s := &c.slots[number]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	base := s.baseBackend(service, number)
	explanation := Explanation{
		Flow:          key.String(),
		ID:            id.String(),
		Service:       service.Name,
		Slot:          number,
		Owner:         c.peerName(v.owners[number].Owner),
		Held:          s.held,
		Default:       backendName(service, service.Defaults[number]),
		Base:          backendName(service, base),
		ConfigVersion: v.config.Version,
	}
	for _, replica := range v.owners[number].Replicas {
		explanation.Replicas = append(explanation.Replicas, c.peerName(replica))
	}
	record, known := s.flows.Get(id)
	explanation.Recorded = known
	if !known {
		explanation.Backend = explanation.Base
		explanation.Reason = "not on record here: the owner decides, and an open flow is on the base"
		return explanation, nil
	}
	explanation.Kind = record.Kind.String()
	explanation.State = record.State.String()
	explanation.Backend = backendName(service, record.Backend)
	explanation.IdleSeconds = c.recordSecond(time.Now()) - record.LastSeen
	explanation.Reason = recordReason(record)
	return explanation, nil
}

// recordReason returns the reason for a recorded flow's backend server. In these texts,
// the slot's default stands for its base.
func recordReason(record flow.Record) string {
	switch record.Kind {
	case flow.Default:
		return "this balancer owns the flow and placed it on the slot's default"
	case flow.Exception:
		return "this balancer owns the flow, which is an exception to the slot's default"
	case flow.Replica:
		return "this balancer keeps a copy of the owner's exception"
	}
	return "this balancer remembers the owner's answer"
}

func backendName(service *config.CompiledService, key flow.BackendKey) string {
	if backend := service.ByKey(key); backend != nil {
		return backend.Name
	}
	return "none"
}

// peerName returns the name of a balancer, or "none" if it is unknown.
func (c *Core) peerName(key flow.MemberKey) string {
	if key == c.key {
		return c.settings.Self.Name
	}
	if peer := c.members.Peer(key); peer != nil {
		return peer.Instance.Name
	}
	return "none"
}

// BackendStatus describes one backend server of a service, as this balancer sees it.
type BackendStatus struct {
	Service string
	Name    string
	Domain  string
	State   config.State
	Weight  uint32
	// OwnedFlows is the number of open flows that this balancer owns.
	OwnedFlows int64
	// ReportAge is the age of the newest load report, "none" if there is none.
	ReportAge string
	// ReportOpen is the number of open flows in the newest load report.
	ReportOpen uint32
	Healthy    bool
	Shedding   bool
	// DefaultedTo is the number of slots whose default this backend server is.
	DefaultedTo int
}

// Backends returns the state of all backend servers, or nil without a configuration.
func (c *Core) Backends() []BackendStatus {
	compiled := c.Compiled()
	if compiled == nil {
		return nil
	}
	var all []BackendStatus
	for _, service := range compiled.Services {
		slotCounts := make(map[flow.BackendKey]int)
		for _, backend := range service.Defaults {
			slotCounts[backend]++
		}
		for _, backend := range service.Backends {
			status := BackendStatus{
				Service:     service.Name,
				Name:        backend.Name,
				Domain:      backend.Domain,
				State:       backend.State,
				Weight:      uint32(backend.Weight),
				Healthy:     true,
				ReportAge:   "none",
				DefaultedTo: slotCounts[backend.Key],
			}
			c.addGaugeStatus(&status, backend.Key)
			all = append(all, status)
		}
	}
	return all
}

func (c *Core) addGaugeStatus(status *BackendStatus, key flow.BackendKey) {
	gauge := c.placer.Gauge(key)
	if gauge == nil {
		return
	}
	status.OwnedFlows = gauge.Open()
	if report := gauge.Report(); report != nil {
		status.ReportAge = time.Since(report.At).Round(time.Millisecond).String()
		status.ReportOpen = report.Open
		status.Healthy = report.Healthy
		status.Shedding = report.Shedding
	}
}
