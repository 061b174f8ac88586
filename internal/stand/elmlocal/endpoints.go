package elmlocal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/elmcove/elmcove/internal/stand/elmudprelay"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

// Endpoint describes a started endpoint and its agent.
type Endpoint struct {
	// Agent is the instance name of the agent.
	Agent      string
	Service    string
	Datacentre string
	// URL is the base URL of the endpoint.
	URL string
	// AgentHTTP is the HTTP address of the agent.
	AgentHTTP string
}

func (s *Site) startEndpoints() error {
	for i := range s.plan.ModelEndpoints {
		name := fmt.Sprintf("%s-%d", s.plan.ModelService, i+1)
		if err := s.startEndpoint(name, s.plan.ModelService, "engine", i); err != nil {
			return err
		}
	}
	for i := range s.plan.PlainEndpoints {
		name := fmt.Sprintf("%s-%d", s.plan.PlainService, i+1)
		if err := s.startEndpoint(name, s.plan.PlainService, "service", i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startEndpoint(name, service, kind string, index int) error {
	endpoint, agentHTTP, link := s.newAddress(), s.newAddress(), s.newAddress()
	if shared := s.sharedEndpoint(service); shared != "" {
		endpoint = shared
	} else if err := s.startStandIn(name+"-endpoint", kind, endpoint); err != nil {
		return err
	}
	settings := s.settings(name, index)
	settings.HTTP = agentHTTP
	settings.Link = link
	settings.Service = service
	settings.Endpoint = "http://" + endpoint
	link, err := s.relay(name, link)
	if err != nil {
		return err
	}
	s.instances = append(s.instances, elmkvapi.Instance{
		Name:       name,
		Role:       elmkvapi.InstanceRoleAgent,
		Datacentre: settings.Datacentre,
		Address:    link,
		Service:    elmkvapi.NewOptString(service),
		State:      elmkvapi.InstanceStateLive,
	})
	s.Endpoints = append(s.Endpoints, Endpoint{
		Agent:      name,
		Service:    service,
		Datacentre: settings.Datacentre,
		URL:        settings.Endpoint,
		AgentHTTP:  agentHTTP,
	})
	return s.startWithSettings(name, "agent", settings)
}

// relay returns the link address to list for an agent. If the plan asks for
// relays, it starts one and returns its address.
func (s *Site) relay(name, link string) (string, error) {
	if !s.plan.Relayed {
		return link, nil
	}
	relay, err := elmudprelay.New(s.host+":0", link)
	if err != nil {
		return "", err
	}
	s.relays[name] = relay
	return relay.Address(), nil
}

// SetPartition sets the direction in which an agent is partitioned from the entries.
// Plan.Relayed must be set.
func (s *Site) SetPartition(agent string, partition elmudprelay.Partition) {
	s.relays[agent].SetPartition(partition)
}

// sharedEndpoint returns the address of the endpoint that the agents of a
// service share. It is empty if endpoints are not shared, or before the first
// endpoint of the service has started.
func (s *Site) sharedEndpoint(service string) string {
	if !s.plan.SharedEndpoints {
		return ""
	}
	for _, e := range s.Endpoints {
		if e.Service == service {
			return strings.TrimPrefix(e.URL, "http://")
		}
	}
	return ""
}

func (s *Site) startStandIn(name, kind, address string) error {
	step := s.plan.StepTime
	if kind == "service" {
		step = s.plan.CallTime
	}
	return s.start(name, "elmstand", "-kind", kind, "-http", address, "-step", step.String(),
		"-warm", strconv.Itoa(s.plan.WarmCapacity), "-cold", strconv.Itoa(s.plan.ColdCapacity))
}
