package standin

import (
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// PinProcess keeps all threads of a process on some cores. Threads that begin later stay there, too.
func PinProcess(pid int, cores ...int) error {
	set := unix.CPUSet{}
	for _, core := range cores {
		set.Set(core)
	}
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(id, &set); err != nil && err != unix.ESRCH {
			return os.NewSyscallError("sched_setaffinity", err)
		}
	}
	return nil
}
