package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process holds.
type Usage struct {
	// PeakMB is the most resident memory that it has had so far, ResidentMB what it has now, in megabytes
	// of 1,048,576 bytes.
	PeakMB, ResidentMB float64
	// Descriptors is the number of its open file descriptors.
	Descriptors int
}

// ReadUsage returns what a process holds, from /proc.
func ReadUsage(pid int) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, err
	}
	u := Usage{Descriptors: len(files)}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ":")
		kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		if err != nil {
			continue
		}
		switch name {
		case "VmHWM":
			u.PeakMB = kilobytes / 1024
		case "VmRSS":
			u.ResidentMB = kilobytes / 1024
		}
	}
	return u, nil
}
