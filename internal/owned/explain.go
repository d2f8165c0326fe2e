package owned

// What operators ask: where a flow goes and why, and what is known of backend
// servers.

import (
	"fmt"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
)

// Explanation says where a flow goes and why, as this balancer sees it.
type Explanation struct {
	Flow          string
	ID            string
	Service       string
	Slot          flow.Slot
	Owner         string
	Replicas      []string
	Held          bool
	Default       string
	Base          string
	Recorded      bool
	Kind          string
	State         string
	Backend       string
	IdleSeconds   flow.Second
	Reason        string
	ConfigVersion config.Version
}

// Explain tells where a flow goes. It may be called on the control goroutine only.
func (c *Core) Explain(key flow.Key) (Explanation, error) {
	v := c.view.Load()
	if v.config == nil {
		return Explanation{}, fmt.Errorf("owned: explain %s: no configuration is in force", key)
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
	base := s.base(service, number)
	explanation := Explanation{
		Flow:          key.String(),
		ID:            id.String(),
		Service:       service.Name,
		Slot:          number,
		Owner:         c.nameOf(v.owners[number].Owner),
		Held:          s.held,
		Default:       backendName(service, service.Defaults[number]),
		Base:          backendName(service, base),
		ConfigVersion: v.config.Version,
	}
	for _, replica := range v.owners[number].Replicas {
		explanation.Replicas = append(explanation.Replicas, c.nameOf(replica))
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
	explanation.IdleSeconds = c.second(time.Now()) - record.LastSeen
	explanation.Reason = reasonOf(record)
	return explanation, nil
}

func reasonOf(record flow.Record) string {
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

// nameOf returns the name of a balancer, "none" for the zero key.
func (c *Core) nameOf(key flow.MemberKey) string {
	if key == c.key {
		return c.settings.Self.Name
	}
	if known := c.members.Peer(key); known != nil {
		return known.Instance.Name
	}
	return "none"
}

// BackendStatus is what a balancer knows of one backend server.
type BackendStatus struct {
	Service     string
	Name        string
	Domain      string
	State       config.State
	Weight      uint32
	OwnedFlows  int64
	ReportAge   string
	ReportOpen  uint32
	Healthy     bool
	Shedding    bool
	DefaultedTo int
}

// Backends returns the state of all backend servers.
func (c *Core) Backends() []BackendStatus {
	compiled := c.Compiled()
	if compiled == nil {
		return nil
	}
	var all []BackendStatus
	for _, service := range compiled.Services {
		shares := make(map[flow.BackendKey]int)
		for _, backend := range service.Defaults {
			shares[backend]++
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
				DefaultedTo: shares[backend.Key],
			}
			c.addGauge(&status, backend.Key)
			all = append(all, status)
		}
	}
	return all
}

func (c *Core) addGauge(status *BackendStatus, key flow.BackendKey) {
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
