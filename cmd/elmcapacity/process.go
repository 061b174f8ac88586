package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
	kilobyte       = 1024
)

// usage is what a process or the machine has used so far.
type usage struct {
	cpu    time.Duration
	memory int
	own    int
	octets int
}

// readUsage reads the processor time and resident memory of a process, and
// the bytes that the machine has received over IP.
func readUsage(id int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		return usage{}, err
	}
	all, own, err := residentMemory(id)
	if err != nil {
		return usage{}, err
	}
	octets, err := receivedOctets()
	return usage{cpu: time.Duration(user+system) * time.Second / ticksPerSecond, memory: all, own: own, octets: octets}, err
}

// residentMemory returns the resident memory of a process in kilobytes, in all
// and without the pages of the program file.
func residentMemory(id int) (all, own int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "VmRSS:":
			all, err = strconv.Atoi(fields[1])
		case "RssAnon:":
			own, err = strconv.Atoi(fields[1])
		}
		if err != nil {
			return 0, 0, err
		}
	}
	return all, own, nil
}

// receivedOctets returns the bytes received over IP, headers included. On
// loopback each packet counts once.
func receivedOctets() (int, error) {
	text, err := os.ReadFile("/proc/net/netstat")
	if err != nil {
		return 0, err
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(line, "IpExt:")
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if names == nil {
			names = fields
			continue
		}
		for i, name := range names {
			if name == "InOctets" {
				return strconv.Atoi(fields[i])
			}
		}
	}
	return 0, fmt.Errorf("no InOctets in /proc/net/netstat")
}

func machine() string {
	return fmt.Sprintf("%d processors, %s, %s", runtime.NumCPU(), runtime.GOARCH, runtime.Version())
}
