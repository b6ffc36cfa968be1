package cost

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has had of the machine so far, as the kernel counts it. Threads that have ended are not in it but
// for Calls; the programs here keep theirs.
type Usage struct {
	CPU       time.Duration // on a core, in nanoseconds and not in ticks
	Waited    time.Duration // able to run, with no core free
	Sleeps    int64         // voluntary context switches: a thread went to sleep, and something woke it
	Preempted int64         // the other switches
	Calls     int64         // system calls of the read and the write kind, those that found nothing as well
}

// ReadUsage reads it; a process that has gone is an error.
func ReadUsage(pid int) (u Usage, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil || len(tasks) == 0 {
		return u, fmt.Errorf("process %d has gone", pid)
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t + "/schedstat")
		f := strings.Fields(string(text))
		if err != nil || len(f) < 2 {
			continue // a thread that ended just now
		}
		on, _ := strconv.ParseInt(f[0], 10, 64)
		waited, _ := strconv.ParseInt(f[1], 10, 64)
		u.CPU, u.Waited = u.CPU+time.Duration(on), u.Waited+time.Duration(waited)
		fields(t+"/status", map[string]*int64{"voluntary_ctxt_switches": &u.Sleeps, "nonvoluntary_ctxt_switches": &u.Preempted})
	}
	fields(fmt.Sprintf("/proc/%d/io", pid), map[string]*int64{"syscr": &u.Calls, "syscw": &u.Calls})
	return u, nil
}

// fields adds the numbers of a file of names and values.
func fields(path string, to map[string]*int64) {
	text, _ := os.ReadFile(path)
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if p := to[name]; p != nil {
			n, _ := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			*p += n
		}
	}
}

// Less is what came since an earlier reading.
func (u Usage) Less(o Usage) Usage {
	return Usage{u.CPU - o.CPU, u.Waited - o.Waited, u.Sleeps - o.Sleeps, u.Preempted - o.Preempted, u.Calls - o.Calls}
}
