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

// usage is the resource usage of a process since its start. Memory is in
// kilobytes. octets is the number of bytes that the machine received over IP.
type usage struct {
	cpu       time.Duration
	resident  int
	anonymous int
	octets    int
}

// readUsage reads the processor time and resident memory of a process, and the
// bytes that the machine has received over IP.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
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
	resident, anonymous, err := residentMemory(pid)
	if err != nil {
		return usage{}, err
	}
	octets, err := receivedOctets()
	return usage{cpu: time.Duration(user+system) * time.Second / ticksPerSecond, resident: resident, anonymous: anonymous, octets: octets}, err
}

// residentMemory returns the resident memory of a process in kilobytes: the
// total, and the anonymous part without pages of the program file.
func residentMemory(pid int) (total, anonymous int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "VmRSS:":
			total, err = strconv.Atoi(fields[1])
		case "RssAnon:":
			anonymous, err = strconv.Atoi(fields[1])
		}
		if err != nil {
			return 0, 0, err
		}
	}
	return total, anonymous, nil
}

// receivedOctets returns the bytes received over IP, including headers. A loopback
// packet is counted once.
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
	return 0, fmt.Errorf("field InOctets is missing in /proc/net/netstat")
}

func describeMachine() string {
	return fmt.Sprintf("%d processors, %s, %s", runtime.NumCPU(), runtime.GOARCH, runtime.Version())
}
