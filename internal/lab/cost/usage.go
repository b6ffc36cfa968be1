package cost

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used of the machine so far, as the kernel counts it. Of threads that have ended only
// ReadWriteCalls are in it; the programs measured here keep their threads.
type Usage struct {
	CPU                 time.Duration // from the scheduler's nanoseconds, not from ticks
	RunQueueWait        time.Duration // able to run, with no core free
	VoluntarySwitches   int64         // a thread went to sleep, and something woke it
	InvoluntarySwitches int64
	ReadWriteCalls      int64 // system calls of the read and the write kind, those that found nothing as well
}

// readUsage reads a process's usage. A process that has ended is an error.
func readUsage(pid int) (Usage, error) {
	var usage Usage
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil || len(threads) == 0 {
		return usage, fmt.Errorf("process %d has gone", pid)
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread + "/schedstat")
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue // the thread has just ended
		}
		onCore, _ := strconv.ParseInt(fields[0], 10, 64)
		waited, _ := strconv.ParseInt(fields[1], 10, 64)
		usage.CPU += time.Duration(onCore)
		usage.RunQueueWait += time.Duration(waited)
		addNumbers(thread+"/status", map[string]*int64{
			"voluntary_ctxt_switches":    &usage.VoluntarySwitches,
			"nonvoluntary_ctxt_switches": &usage.InvoluntarySwitches,
		})
	}
	addNumbers(fmt.Sprintf("/proc/%d/io", pid), map[string]*int64{
		"syscr": &usage.ReadWriteCalls,
		"syscw": &usage.ReadWriteCalls,
	})
	return usage, nil
}

// Sub returns what was used since an earlier reading.
func (u Usage) Sub(earlier Usage) Usage {
	return Usage{
		CPU:                 u.CPU - earlier.CPU,
		RunQueueWait:        u.RunQueueWait - earlier.RunQueueWait,
		VoluntarySwitches:   u.VoluntarySwitches - earlier.VoluntarySwitches,
		InvoluntarySwitches: u.InvoluntarySwitches - earlier.InvoluntarySwitches,
		ReadWriteCalls:      u.ReadWriteCalls - earlier.ReadWriteCalls,
	}
}

// memory is a process's resident memory, in bytes.
type memory struct {
	resident  int64
	anonymous int64 // of it, what no file backs
}

// readMemory reads a process's memory; of one that has ended it is zero.
func readMemory(pid int) memory {
	var kibibytes memory
	addNumbers(fmt.Sprintf("/proc/%d/status", pid), map[string]*int64{
		"VmRSS":   &kibibytes.resident,
		"RssAnon": &kibibytes.anonymous,
	})
	return memory{resident: kibibytes.resident << 10, anonymous: kibibytes.anonymous << 10}
}

// readSlab reads the bytes that the kernel holds in small objects, sockets among them.
func readSlab() int64 {
	var kibibytes int64
	addNumbers("/proc/meminfo", map[string]*int64{"Slab": &kibibytes})
	return kibibytes << 10
}

// addNumbers adds the values of a file with a "name: value" on each line, some of them in kB, to the given numbers. A
// file that can't be read adds nothing.
func addNumbers(path string, numbers map[string]*int64) {
	text, _ := os.ReadFile(path)
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		number := numbers[name]
		if number == nil {
			continue
		}
		n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, " kB")), 10, 64)
		*number += n
	}
}
