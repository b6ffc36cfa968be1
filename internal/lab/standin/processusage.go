package standin

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ProcessUsage is what a process has used so far.
type ProcessUsage struct {
	CPU         time.Duration
	Resident    int64 // bytes of memory now
	MaxResident int64 // at most so far
}

const (
	// clockTick is the unit of CPU times in /proc.
	clockTick = 10 * time.Millisecond
	// The fields of /proc/PID/stat behind the command's name.
	userTimeField   = 11
	systemTimeField = 12

	maxResidentLine = "VmHWM:"
	residentLine    = "VmRSS:"
)

// ReadProcessUsage reads what a process has used. It is zero for a process that has ended.
func ReadProcessUsage(pid int) ProcessUsage {
	return ProcessUsage{
		CPU:         readCPU(pid),
		Resident:    readMemory(pid, residentLine),
		MaxResident: readMemory(pid, maxResidentLine),
	}
}

func readCPU(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	afterName := string(text[bytes.LastIndexByte(text, ')')+1:])
	fields := strings.Fields(afterName)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * clockTick
}

// readMemory reads one line of a process's status, in bytes.
func readMemory(pid int, name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, name); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
