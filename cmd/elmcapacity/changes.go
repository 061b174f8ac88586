package main

import (
	"fmt"
	"os"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

// measureChanges measures the cost of a configuration change for a watching entry,
// an agent and the network, by number of workspaces.
func (m *meter) measureChanges() error {
	fmt.Printf("\n## Changes, by workspaces\n\nOne entry that watches, %d agents, %d changes in a row.\n\n", changeAgents, changeCount)
	fmt.Print("| workspaces | entry: ms of processor a change | agent: ms of processor a change | bytes a change, all links and the platform |\n| --- | --- | --- | --- |\n")
	for _, count := range []int{100, 500, 1900} {
		if err := m.measureChange(count); err != nil {
			return err
		}
	}
	return nil
}

func (m *meter) measureChange(workspaces int) error {
	site, stop, err := m.start(1, 0, changeAgents, time.Millisecond)
	if err != nil {
		return err
	}
	defer stop()
	if err = m.applySample(site, workspaces); err != nil {
		return err
	}
	sleep(m.ctx, warmUpDuration)
	entryBefore, agentBefore, err := readEntryAndAgent(site)
	if err != nil {
		return err
	}
	commandOctets := 0
	for i := range changeCount {
		used, drainErr := m.drain(site, fmt.Sprintf("dispatch-%d", 100+i))
		if drainErr != nil {
			return drainErr
		}
		commandOctets += used
		sleep(m.ctx, changePause)
	}
	entryAfter, agentAfter, err := readEntryAndAgent(site)
	if err != nil {
		return err
	}
	distributed := entryAfter.octets - entryBefore.octets - commandOctets
	fmt.Printf("| %d | %.2f | %.2f | %d |\n", workspaces,
		milliseconds(entryAfter.cpu-entryBefore.cpu)/changeCount, milliseconds(agentAfter.cpu-agentBefore.cpu)/changeCount, distributed/changeCount)
	return nil
}

// applySample applies a configuration with the given number of workspaces and
// waits until it is in effect.
func (m *meter) applySample(site *elmlocal.Site, workspaces int) error {
	document, err := sampleDocument(workspaces)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp("", "elmcapacity-*.json")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // A leftover temporary file is harmless.
	if _, err = file.Write(document); err != nil {
		return err
	}
	_, err = site.Command(m.ctx, "apply", "-platform", site.Platform, "-base", file.Name(), "-reset", "-wait")
	return err
}

// drain changes the configuration by draining an endpoint, and returns the bytes
// that the operator's command itself transferred.
func (m *meter) drain(site *elmlocal.Site, name string) (int, error) {
	before, err := receivedOctets()
	if err != nil {
		return 0, err
	}
	if _, err = site.Command(m.ctx, "drain", "-platform", site.Platform, name); err != nil {
		return 0, err
	}
	after, err := receivedOctets()
	return after - before, err
}

// readEntryAndAgent reads the resource usage of one entry and one agent.
func readEntryAndAgent(site *elmlocal.Site) (entry, agent usage, err error) {
	if entry, err = readUsage(site.ProcessID("entry-1")); err != nil {
		return entry, agent, err
	}
	agent, err = readUsage(site.ProcessID("dispatch-1"))
	return entry, agent, err
}
